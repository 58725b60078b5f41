#include "zinnia_adapters/fleet_news/report_codec.h"

#include <algorithm>
#include <optional>
#include <string>

#include "zinnia_decisions/forwarding/costs/answer_length_packing.h"

namespace zinnia::report_codec {
namespace {

std::string ToText(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

capnp::Data::Reader ToData(const std::string& bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

std::string FromData(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

constexpr std::uint32_t kNoAge = 0xffff'ffff;

std::uint32_t WriteAge(const std::optional<std::chrono::milliseconds>& age) {
  if (!age) {
    return kNoAge;
  }
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age->count(), 0, kNoAge - 1));
}

/** `now`: what an older version says instead. */
std::optional<std::chrono::milliseconds> ReadAge(std::uint32_t age_ms, bool now) {
  if (age_ms != kNoAge) {
    return std::chrono::milliseconds(age_ms);
  }
  return now ? std::optional(std::chrono::milliseconds(0)) : std::nullopt;
}

std::uint32_t WriteMilliseconds(std::chrono::milliseconds duration) {
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(duration.count(), 0, kNoAge));
}

/** Returns no value for a kind of a later version. */
std::optional<SuspectKind> ReadKind(std::uint8_t kind) {
  return kind < kSuspectKinds.size() ? std::optional(kSuspectKinds.at(kind)) : std::nullopt;
}

void WriteCrashes(wire::NewsReport::Builder to, const std::vector<CrashReport>& crashes) {
  auto rows = to.initCrashes(static_cast<unsigned>(crashes.size()));
  unsigned index = 0;
  for (const CrashReport& crash : crashes) {
    auto row = rows[index++];
    row.setRequestHigh(crash.request.high);
    row.setRequestLow(crash.request.low);
    row.setServer(crash.server);
    row.setOnset(static_cast<std::uint8_t>(crash.onset));
    row.setInFlightMs(WriteMilliseconds(crash.in_flight));
    row.setRanMs(WriteMilliseconds(crash.ran));
    row.setAgeMs(WriteMilliseconds(crash.age));
    row.setKind(static_cast<std::uint8_t>(crash.kind));
  }
}

/** An onset of a later version counts as unknown. */
CrashOnset ReadOnset(std::uint8_t onset) {
  return onset <= static_cast<std::uint8_t>(CrashOnset::kRunning) ? static_cast<CrashOnset>(onset)
                                                                  : CrashOnset::kUnknown;
}

std::vector<CrashReport> ReadCrashes(wire::NewsReport::Reader from) {
  std::vector<CrashReport> crashes;
  for (const auto row : from.getCrashes()) {
    if (const auto kind = ReadKind(row.getKind())) {
      crashes.push_back({{row.getRequestHigh(), row.getRequestLow()},
                         ToText(row.getServer()),
                         ReadOnset(row.getOnset()),
                         std::chrono::milliseconds(row.getInFlightMs()),
                         std::chrono::milliseconds(row.getRanMs()),
                         std::chrono::milliseconds(row.getAgeMs()),
                         *kind});
    }
  }
  return crashes;
}

void WriteQuarantines(wire::NewsReport::Builder to,
                      const std::vector<QuarantineReport>& quarantines) {
  auto rows = to.initQuarantines(static_cast<unsigned>(quarantines.size()));
  unsigned index = 0;
  for (const QuarantineReport& quarantine : quarantines) {
    auto row = rows[index++];
    row.setRequestHigh(quarantine.request.high);
    row.setRequestLow(quarantine.request.low);
    row.setRemainingMs(WriteMilliseconds(quarantine.remaining));
    row.setDurationMs(WriteMilliseconds(quarantine.duration));
    row.setKind(static_cast<std::uint8_t>(quarantine.kind));
  }
}

std::vector<QuarantineReport> ReadQuarantines(wire::NewsReport::Reader from) {
  std::vector<QuarantineReport> quarantines;
  for (const auto row : from.getQuarantines()) {
    if (const auto kind = ReadKind(row.getKind())) {
      quarantines.push_back({{row.getRequestHigh(), row.getRequestLow()},
                             std::chrono::milliseconds(row.getRemainingMs()),
                             std::chrono::milliseconds(row.getDurationMs()),
                             *kind});
    }
  }
  return quarantines;
}

void WriteCleared(wire::NewsReport::Builder to, const std::vector<ClearedRequest>& requests) {
  auto rows = to.initClearedRequests(static_cast<unsigned>(requests.size()));
  unsigned index = 0;
  for (const ClearedRequest& cleared : requests) {
    auto row = rows[index++];
    row.setHigh(cleared.request.high);
    row.setLow(cleared.request.low);
    row.setAgeMs(WriteMilliseconds(cleared.age));
    row.setKind(static_cast<std::uint8_t>(cleared.kind));
  }
}

std::vector<ClearedRequest> ReadCleared(wire::NewsReport::Reader from) {
  std::vector<ClearedRequest> requests;
  for (const auto row : from.getClearedRequests()) {
    if (const auto kind = ReadKind(row.getKind())) {
      requests.push_back(
          {{row.getHigh(), row.getLow()}, std::chrono::milliseconds(row.getAgeMs()), *kind});
    }
  }
  return requests;
}

void WriteAnswerLengths(wire::NewsReport::Builder to, const AnswerLengthReport& lengths) {
  if (lengths.rows.empty()) {
    return;
  }
  to.setAnswerLengthScope(static_cast<std::uint8_t>(lengths.scope));
  to.setAnswerLengthSequence(lengths.sequence);
  auto rows = to.initAnswerLengths(static_cast<unsigned>(lengths.rows.size()));
  unsigned index = 0;
  for (const AnswerLengthRow& row : lengths.rows) {
    auto written = rows[index++];
    written.setCell(row.cell);
    written.setCounts(ToData(PackAnswerLengths(row.counts)));
  }
}

AnswerLengthReport ReadAnswerLengths(wire::NewsReport::Reader from) {
  AnswerLengthReport lengths;
  if (from.getAnswerLengthScope() > static_cast<std::uint8_t>(AnswerLengthScope::kOthers)) {
    return lengths;  // Of a later version.
  }
  lengths.scope = static_cast<AnswerLengthScope>(from.getAnswerLengthScope());
  lengths.sequence = from.getAnswerLengthSequence();
  for (const auto row : from.getAnswerLengths()) {
    lengths.rows.push_back({row.getCell(), UnpackAnswerLengths(FromData(row.getCounts()))});
  }
  return lengths;
}

void WriteUses(capnp::List<wire::NewsServerUse>::Builder to, const LoadTracker::Uses& uses) {
  unsigned index = 0;
  for (const auto& [server, use] : uses) {
    auto row = to[index++];
    row.setServer(server);
    row.setRequests(use.requests);
    row.setTokenLayers(use.token_layers);
    row.setBegun(use.first_stage_requests);
  }
}

LoadTracker::Uses ReadUses(capnp::List<wire::NewsServerUse>::Reader from) {
  LoadTracker::Uses uses;
  for (const auto use : from) {
    uses[ToText(use.getServer())] = {use.getRequests(), use.getTokenLayers(), use.getBegun()};
  }
  return uses;
}

}  // namespace

void Write(wire::NewsReport::Builder to, const InstanceReport& report) {
  auto instance = to.initInstance();
  instance.setName(report.instance.name);
  instance.setIp(report.instance.peer_address.ip);
  instance.setPort(report.instance.peer_address.port);
  instance.setFailureDomain(report.instance.failure_domain);
  instance.setStart(report.instance.start);
  instance.setCores(report.instance.cores);
  instance.setLinkMbps(report.instance.link_mbps);
  instance.setRequestsPort(report.instance.requests_port);
  to.setRevision(report.revision.number);
  to.setEra(report.revision.era);
  to.setLeaving(report.leaving);
  to.setIsReader(report.store_watcher_age == std::chrono::milliseconds(0));
  to.setStoreIsSteady(report.stable_store_age == std::chrono::milliseconds(0));
  to.setReaderAgeMs(WriteAge(report.store_watcher_age));
  to.setSteadyAgeMs(WriteAge(report.stable_store_age));
  to.setSettledAgeMs(WriteAge(report.settled_store_age));
  to.setWithoutRecords(!report.wants_records);
  WriteUses(to.initUses(static_cast<unsigned>(report.uses.size())), report.uses);
  auto domains = to.initDomainUses(static_cast<unsigned>(report.domain_uses.size()));
  unsigned domain_index = 0;
  for (const auto& [domain, uses] : report.domain_uses) {
    auto row = domains[domain_index++];
    row.setFailureDomain(domain);
    WriteUses(row.initUses(static_cast<unsigned>(uses.size())), uses);
  }
  auto server_news = to.initLayers(static_cast<unsigned>(report.server_states.size()));
  for (unsigned index = 0; index < report.server_states.size(); ++index) {
    server_news[index].setServer(report.server_states[index].server);
    server_news[index].setFirst(report.server_states[index].layers.first);
    server_news[index].setEnd(report.server_states[index].layers.end);
    server_news[index].setLeaving(report.server_states[index].leaving);
    server_news[index].setAnnounced(report.server_states[index].announced);
  }
  auto slow = to.initSlowServers(static_cast<unsigned>(report.slow_servers.size()));
  for (unsigned index = 0; index < report.slow_servers.size(); ++index) {
    slow[index].setServer(report.slow_servers[index].server);
    slow[index].setPace(static_cast<float>(report.slow_servers[index].slowdown_factor));
    slow[index].setAgeMs(static_cast<std::uint32_t>(report.slow_servers[index].age.count()));
  }
  auto limits = to.initServerLimits(static_cast<unsigned>(report.server_limits.size()));
  for (unsigned index = 0; index < report.server_limits.size(); ++index) {
    const ServerLimitReport& news = report.server_limits[index];
    limits[index].setServer(news.server);
    limits[index].setRequestsPerSecond(news.requests_per_second.value_or(0.0));
    limits[index].setEnded(!news.requests_per_second);
    limits[index].setAgeMs(WriteAge(news.age));
  }
  WriteCrashes(to, report.crashes);
  WriteQuarantines(to, report.quarantines);
  WriteCleared(to, report.cleared_requests);
  WriteAnswerLengths(to, report.answer_lengths);
  auto stalls = to.initStalls(static_cast<unsigned>(report.stalls.size()));
  for (unsigned stall = 0; stall < report.stalls.size(); ++stall) {
    stalls[stall].setServer(report.stalls[stall].server);
    stalls[stall].setAgeMs(static_cast<std::uint32_t>(report.stalls[stall].age.count()));
  }
}

InstanceReport Read(wire::NewsReport::Reader from) {
  InstanceReport report;
  const auto instance = from.getInstance();
  report.instance.name = ToText(instance.getName());
  report.instance.peer_address = {ToText(instance.getIp()), instance.getPort()};
  report.instance.failure_domain = ToText(instance.getFailureDomain());
  report.instance.start = instance.getStart();
  report.revision = {from.getEra(), from.getRevision()};
  report.leaving = from.getLeaving();
  report.instance.cores = from.getInstance().getCores();
  report.instance.link_mbps = from.getInstance().getLinkMbps();
  report.instance.requests_port = from.getInstance().getRequestsPort();
  report.store_watcher_age = ReadAge(from.getReaderAgeMs(), from.getIsReader());
  report.stable_store_age = ReadAge(from.getSteadyAgeMs(), from.getStoreIsSteady());
  report.settled_store_age = ReadAge(from.getSettledAgeMs(), false);
  report.wants_records = !from.getWithoutRecords();
  report.uses = ReadUses(from.getUses());
  for (const auto domain : from.getDomainUses()) {
    report.domain_uses[ToText(domain.getFailureDomain())] = ReadUses(domain.getUses());
  }
  for (const auto news : from.getLayers()) {
    report.server_states.push_back({ToText(news.getServer()),
                                    {news.getFirst(), news.getEnd()},
                                    news.getLeaving(),
                                    news.getAnnounced()});
  }
  for (const auto slow : from.getSlowServers()) {
    report.slow_servers.push_back(
        {ToText(slow.getServer()), slow.getPace(), std::chrono::milliseconds(slow.getAgeMs())});
  }
  for (const auto limit : from.getServerLimits()) {
    const auto rate = limit.getEnded() ? std::nullopt : std::optional(limit.getRequestsPerSecond());
    report.server_limits.push_back(
        {ToText(limit.getServer()), rate, std::chrono::milliseconds(limit.getAgeMs())});
  }
  report.crashes = ReadCrashes(from);
  report.quarantines = ReadQuarantines(from);
  report.cleared_requests = ReadCleared(from);
  report.answer_lengths = ReadAnswerLengths(from);
  for (const auto stall : from.getStalls()) {
    report.stalls.push_back(
        {ToText(stall.getServer()), std::chrono::milliseconds(stall.getAgeMs())});
  }
  return report;
}

void Write(wire::NewsDelta::Builder to, const MirrorDelta& delta) {
  to.setComplete(delta.complete);
  to.setRevision(delta.revision.number);
  to.setEra(delta.revision.era);
  auto records = to.initRecords(static_cast<unsigned>(delta.records.size()));
  for (unsigned index = 0; index < delta.records.size(); ++index) {
    const MirroredRecord& record = delta.records[index];
    records[index].setKey(record.key);
    records[index].setRevision(record.revision.number);
    records[index].setEra(record.revision.era);
    records[index].setRemoved(!record.value);
    if (record.value) {
      records[index].setValue(ToData(*record.value));
    }
  }
}

MirrorDelta Read(wire::NewsDelta::Reader from) {
  MirrorDelta delta;
  delta.complete = from.getComplete();
  delta.revision = {from.getEra(), from.getRevision()};
  for (const auto record : from.getRecords()) {
    MirroredRecord read;
    read.key = ToText(record.getKey());
    read.revision = {record.getEra(), record.getRevision()};
    if (!record.getRemoved()) {
      read.value = FromData(record.getValue());
    }
    delta.records.push_back(std::move(read));
  }
  return delta;
}

}  // namespace zinnia::report_codec
