#include "zinnia_adapters/peers/wire_conversion.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <optional>
#include <utility>

#include "zinnia_adapters/peers/wire_text.h"
#include "zinnia_base/errors/error_exception.h"

namespace zinnia::wire_conversion {
namespace {

// Without these, the overloads below would hide the public ones from each other.
using wire_conversion::Read;
using wire_conversion::Write;

[[noreturn]] void Refuse(const std::string& what) {
  throw ErrorException(MakeError(ErrorKind::kInvalidRequest, "peer message: " + what));
}

template <typename Enum, typename WireEnum>
Enum ReadEnum(WireEnum from, Enum last) {
  const auto number = static_cast<unsigned>(from);
  if (number > static_cast<unsigned>(last)) {
    Refuse("unknown enumerator " + std::to_string(number));
  }
  return static_cast<Enum>(number);
}

template <typename WireEnum, typename Enum>
WireEnum WriteEnum(Enum value) {
  return static_cast<WireEnum>(value);
}

template <typename List>
void RequireAtMost(const List& list, unsigned most, const char* name) {
  if (list.size() > most) {
    Refuse(std::string("too many ") + name);
  }
}

void Write(wire::Fingerprint::Builder to, const Fingerprint& fingerprint) {
  to.setHigh(fingerprint.high);
  to.setLow(fingerprint.low);
}

Fingerprint Read(wire::Fingerprint::Reader from) {
  return {from.getHigh(), from.getLow()};
}

void Write(wire::Instance::Builder to, const Instance& instance) {
  to.setName(ToWireText(instance.name));
  to.setIp(ToWireText(instance.peer_address.ip));
  to.setPort(instance.peer_address.port);
  to.setFailureDomain(ToWireText(instance.failure_domain));
  to.setRegion(ToWireText(instance.region));
  to.setStart(instance.start);
}

Instance Read(wire::Instance::Reader from) {
  const NetworkAddress address{FromWireText(from.getIp()), from.getPort()};
  if (NetworkAddress::Parse(address.ToString()).has_error()) {
    Refuse("an instance's address is not an IP number");
  }
  return {FromWireText(from.getName()), address, FromWireText(from.getFailureDomain()),
          FromWireText(from.getRegion()), from.getStart()};
}

void Write(wire::MemberRumour::Builder to, const MemberRumour& rumour) {
  Write(to.initInstance(), rumour.instance);
  to.setIncarnation(rumour.incarnation);
  to.setState(WriteEnum<wire::MemberState>(rumour.state));
}

MemberRumour Read(wire::MemberRumour::Reader from) {
  return {Read(from.getInstance()), from.getIncarnation(),
          ReadEnum(from.getState(), MemberState::kLeft)};
}

void Write(wire::LeavingRumour::Builder to, const LeavingRumour& rumour) {
  to.setServer(ToWireText(rumour.server));
  to.setIncarnation(rumour.incarnation);
}

LeavingRumour Read(wire::LeavingRumour::Reader from) {
  return {FromWireText(from.getServer()), from.getIncarnation()};
}

void Write(wire::CrashRumour::Builder to, const CrashRumour& rumour) {
  to.setServer(ToWireText(rumour.server));
  to.setIncarnation(rumour.incarnation);
  to.setAgeMs(rumour.age_ms);
  to.setAlone(rumour.alone);
  auto fingerprints = to.initFingerprints(rumour.fingerprints.size());
  for (unsigned i = 0; i < fingerprints.size(); ++i) {
    Write(fingerprints[i], rumour.fingerprints[i]);
  }
}

CrashRumour Read(wire::CrashRumour::Reader from) {
  const auto fingerprints = from.getFingerprints();
  RequireAtMost(fingerprints, kMostFingerprints, "fingerprints");
  CrashRumour rumour{
      FromWireText(from.getServer()), from.getIncarnation(), {}, from.getAgeMs(), from.getAlone()};
  for (const auto fingerprint : fingerprints) {
    rumour.fingerprints.push_back(Read(fingerprint));
  }
  return rumour;
}

void Write(wire::ConfigurationEntry::Builder to, const ConfigurationEntry& entry) {
  to.setPath(ToWireText(entry.path));
  to.setRevision(entry.revision);
  to.setRemoved(!entry.value);
  if (entry.value) {
    to.setValue(ToWireText(*entry.value));
  }
}

ConfigurationEntry Read(wire::ConfigurationEntry::Reader from) {
  ConfigurationEntry entry{FromWireText(from.getPath()), from.getRevision(), std::nullopt};
  if (!from.getRemoved()) {
    entry.value = FromWireText(from.getValue());
  }
  return entry;
}

void Write(wire::Rumour::Builder to, const Rumour& rumour) {
  if (const auto* member = std::get_if<MemberRumour>(&rumour)) {
    Write(to.initMember(), *member);
  } else if (const auto* leaving = std::get_if<LeavingRumour>(&rumour)) {
    Write(to.initLeaving(), *leaving);
  } else if (const auto* crash = std::get_if<CrashRumour>(&rumour)) {
    Write(to.initCrash(), *crash);
  } else {
    Write(to.initConfiguration(), std::get<ConfigurationRumour>(rumour).delta);
  }
}

/** Nothing for a kind that only newer instances know: its sender's other rumours still count. */
std::optional<Rumour> Read(wire::Rumour::Reader from) {
  switch (from.which()) {
    case wire::Rumour::MEMBER:
      return Read(from.getMember());
    case wire::Rumour::LEAVING:
      return Read(from.getLeaving());
    case wire::Rumour::CRASH:
      return Read(from.getCrash());
    case wire::Rumour::CONFIGURATION:
      return ConfigurationRumour{Read(from.getConfiguration())};
  }
  return std::nullopt;
}

void Write(wire::RecordedAnswer::Builder to, const RecordedAnswer& answer) {
  to.setStatus(answer.status);
  to.setContentType(ToWireText(answer.content_type));
  to.setBody(ToWireData(answer.body));
  to.setBodyDropped(answer.body_dropped);
}

RecordedAnswer Read(wire::RecordedAnswer::Reader from) {
  return {from.getStatus(), FromWireText(from.getContentType()), FromWireData(from.getBody()),
          from.getBodyDropped()};
}

ErrorKind KindNamed(std::string_view name) {
  for (int number = 0; number <= static_cast<int>(ErrorKind::kInternal); ++number) {
    const auto kind = static_cast<ErrorKind>(number);
    if (NameOf(kind) == name) {
      return kind;
    }
  }
  return ErrorKind::kInternal;
}

}  // namespace

void Write(wire::Probe::Builder to, const ProbeMessage& message) {
  to.setKind(WriteEnum<wire::ProbeKind>(message.kind));
  to.setSequence(message.sequence);
  Write(to.initSender(), message.sender);
  to.setSenderIncarnation(message.sender_incarnation);
  if (message.target) {
    Write(to.initTarget(), *message.target);
  }
  to.setRevision(message.revision);
  auto rumours = to.initRumours(message.rumours.size());
  for (unsigned i = 0; i < rumours.size(); ++i) {
    Write(rumours[i], message.rumours[i]);
  }
}

ProbeMessage Read(wire::Probe::Reader from) {
  const auto rumours = from.getRumours();
  RequireAtMost(rumours, kMostRumours, "rumours");
  ProbeMessage message;
  message.kind = ReadEnum(from.getKind(), ProbeKind::kAck);
  message.sequence = from.getSequence();
  message.sender = Read(from.getSender());
  message.sender_incarnation = from.getSenderIncarnation();
  if (from.hasTarget()) {
    message.target = Read(from.getTarget());
  }
  message.revision = from.getRevision();
  for (const auto rumour : rumours) {
    if (auto known = Read(rumour)) {
      message.rumours.push_back(std::move(*known));
    }
  }
  return message;
}

void Write(wire::ConfigurationDelta::Builder to, const ConfigurationDelta& delta) {
  to.setAfter(delta.after);
  to.setRevision(delta.revision);
  auto entries = to.initEntries(delta.entries.size());
  for (unsigned i = 0; i < entries.size(); ++i) {
    Write(entries[i], delta.entries[i]);
  }
}

ConfigurationDelta Read(wire::ConfigurationDelta::Reader from) {
  const auto entries = from.getEntries();
  RequireAtMost(entries, kMostEntries, "entries");
  ConfigurationDelta delta{from.getAfter(), from.getRevision(), {}};
  for (const auto entry : entries) {
    delta.entries.push_back(Read(entry));
  }
  return delta;
}

void Write(wire::IntentRequest::Builder to, const IntentRequest& request) {
  to.setPartition(request.partition);
  to.setOrganisation(ToWireText(request.organisation));
  to.setKey(ToWireText(request.key));
  Write(to.initRequest(), request.request);
  to.setAskingInstance(ToWireText(request.asking_instance));
  to.setRequestId(ToWireText(request.request_id));
}

IntentRequest Read(wire::IntentRequest::Reader from) {
  return {from.getPartition(),
          FromWireText(from.getOrganisation()),
          FromWireText(from.getKey()),
          Read(from.getRequest()),
          FromWireText(from.getAskingInstance()),
          FromWireText(from.getRequestId())};
}

void Write(wire::IntentReply::Builder to, const IntentReply& reply) {
  to.setVerdict(WriteEnum<wire::IntentVerdict>(reply.verdict));
  to.setEpoch(reply.epoch);
  if (reply.answer) {
    Write(to.initAnswer(), *reply.answer);
  }
  to.setValidForMs(reply.valid_for_ms);
}

IntentReply Read(wire::IntentReply::Reader from) {
  IntentReply reply;
  reply.verdict = ReadEnum(from.getVerdict(), IntentVerdict::kKeyReused);
  reply.epoch = from.getEpoch();
  if (from.hasAnswer()) {
    reply.answer = Read(from.getAnswer());
  }
  reply.valid_for_ms = from.getValidForMs();
  return reply;
}

void Write(wire::IntentOutcome::Builder to, const IntentOutcome& outcome) {
  to.setPartition(outcome.partition);
  to.setOrganisation(ToWireText(outcome.organisation));
  to.setKey(ToWireText(outcome.key));
  to.setRequestId(ToWireText(outcome.request_id));
  if (outcome.answer) {
    Write(to.initAnswer(), *outcome.answer);
  }
}

IntentOutcome Read(wire::IntentOutcome::Reader from) {
  IntentOutcome outcome{from.getPartition(), FromWireText(from.getOrganisation()),
                        FromWireText(from.getKey()), FromWireText(from.getRequestId()),
                        std::nullopt};
  if (from.hasAnswer()) {
    outcome.answer = Read(from.getAnswer());
  }
  return outcome;
}

void Write(wire::Error::Builder to, const Error& error) {
  const std::string kind(NameOf(error.kind));
  to.setKind(ToWireText(kind));
  to.setMessage(ToWireText(error.message));
  to.setRemedy(ToWireText(error.remedy));
  to.setWasRun(WriteEnum<wire::WasRun>(error.was_run));
  to.setHasRetryAfter(error.retry_after.has_value());
  if (error.retry_after) {
    to.setRetryAfterMs(std::max<std::int64_t>(error.retry_after->count(), 0));
  }
}

Error Read(wire::Error::Reader from) {
  Error error = MakeError(KindNamed(FromWireText(from.getKind())), FromWireText(from.getMessage()));
  error.remedy = FromWireText(from.getRemedy());
  error.was_run = ReadEnum(from.getWasRun(), WasRun::kUnknown);
  if (from.getHasRetryAfter()) {
    constexpr std::uint64_t kLongest = std::numeric_limits<std::uint32_t>::max();
    error.retry_after = std::chrono::milliseconds(std::min(from.getRetryAfterMs(), kLongest));
  }
  return error;
}

}  // namespace zinnia::wire_conversion
