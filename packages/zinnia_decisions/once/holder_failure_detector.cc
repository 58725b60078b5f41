#include "zinnia_decisions/once/holder_failure_detector.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/once/alive_guard.h"
#include "zinnia_decisions/ports/peer_transport.h"

namespace zinnia {
namespace {

/** Bounds of the reply deadline, which is learned from earlier replies. A reply within the minimum
   is a sign of life, however fast earlier replies were. */
constexpr std::chrono::milliseconds kMinReplyDeadline{20};
constexpr std::chrono::milliseconds kMaxReplyDeadline{350};

/** Delay from the first probe to the first check, which reads the partition's head again. */
constexpr std::chrono::milliseconds kFirstCheckDelay{40};

/** A check that is later than this means that this instance was suspended. */
constexpr std::chrono::milliseconds kSuspendedAfter{100};

/** The silence timeout as a multiple of the usual deadline for probe replies: replies that are
   slower than usual by less than this are still waited for. */
constexpr int kSilenceTimeoutFactor = 4;

/** Stops probing an instance this long after it was lost. */
constexpr std::chrono::seconds kForgetLostAfter{30};

/** When this many instances are tracked, those that are not suspected are dropped. */
constexpr std::size_t kMostPeers = 2'048;

std::string NameOf(const Instance& instance) {
  return fmt::format("{}/{}", instance.name, instance.start);
}

}  // namespace

HolderFailureDetector::HolderFailureDetector(const OnceParts& parts,
                                             const OnceSettings& settings,
                                             std::function<void(const Instance&)> on_silent)
    : m_parts(parts), m_settings(settings), m_on_silent(std::move(on_silent)) {}

HolderFailureDetector::~HolderFailureDetector() = default;

HolderFailureDetector::Peer& HolderFailureDetector::PeerOf(const Instance& instance) {
  if (m_peers.size() >= kMostPeers) {
    std::erase_if(m_peers, [](const auto& item) { return !item.second.suspected_since; });
  }
  Peer& peer = m_peers[NameOf(instance)];
  peer.instance = instance;
  return peer;
}

const HolderFailureDetector::Peer* HolderFailureDetector::Find(const Instance& instance) const {
  const auto found = m_peers.find(NameOf(instance));
  return found == m_peers.end() ? nullptr : &found->second;
}

Duration HolderFailureDetector::ReplyDeadline(const Instance& instance) const {
  const Peer* peer = Find(instance);
  return std::clamp<Duration>(peer != nullptr ? peer->replies.Deadline() : Duration::zero(),
                              kMinReplyDeadline, kMaxReplyDeadline);
}

void HolderFailureDetector::NoteReply(const Instance& instance, TimePoint sent_at) {
  Peer& peer = PeerOf(instance);
  peer.replies.Add(m_parts.clock.Now() - sent_at);
  EndSuspicion(peer);
}

std::optional<TimePoint> HolderFailureDetector::LostSince(const Instance& instance) const {
  const Peer* peer = Find(instance);
  return peer != nullptr ? peer->lost_since : std::nullopt;
}

void HolderFailureDetector::SuspectInstance(const Instance& instance,
                                            TimePoint sent_at,
                                            bool refused) {
  Peer& peer = PeerOf(instance);
  peer.refused = refused;
  if (!peer.suspected_since) {
    peer.suspected_since = sent_at;
    ProbeInstance(instance);
    CheckLater(peer, std::min<Duration>(kFirstCheckDelay, m_settings.sign_of_life_interval));
  }
}

void HolderFailureDetector::EndSuspicion(Peer& peer) {
  peer.suspected_since.reset();
  peer.lost_since.reset();
  peer.timer.reset();
  peer.refused = false;
}

void HolderFailureDetector::ProbeInstance(const Instance& instance) {
  IntentOutcome nothing;
  nothing.partition = kNoPartition;
  const TimePoint sent_at = m_parts.clock.Now();
  m_parts.peers.ReportOutcome(
      instance.peer_address, nothing,
      WhileAlive(m_alive, [this, instance, sent_at](const Result<void>& result) {
        const ErrorKind kind = result ? ErrorKind::kInternal : result.error().kind;
        if (kind == ErrorKind::kPeerUnavailable) {
          return NoteRefused(instance, sent_at);
        }
        if (kind != ErrorKind::kOutcomeUnknown) {
          Peer& peer = PeerOf(instance);
          peer.probe_reply_times.Add(m_parts.clock.Now() - sent_at);
          EndSuspicion(peer);
        }
      }));
}

void HolderFailureDetector::CheckLater(Peer& peer, Duration delay) {
  peer.check_due = m_parts.clock.Now() + delay;
  peer.timer =
      m_parts.scheduler.ScheduleAfter(delay, [this, name = NameOf(peer.instance)] { Check(name); });
}

void HolderFailureDetector::Check(const std::string& name) {
  Peer& peer = m_peers.at(name);
  const TimePoint now = m_parts.clock.Now();
  // After this instance was suspended, replies that are still in flight would look like silence,
  // and partitions would be taken from live holders.
  if (now - peer.check_due > kSuspendedAfter) {
    peer.suspected_since = now;
  }
  if (peer.lost_since && now - *peer.lost_since > kForgetLostAfter) {
    return EndSuspicion(peer);
  }
  const Instance instance = peer.instance;
  if (!peer.lost_since && now - *peer.suspected_since >= SilenceTimeout(peer)) {
    peer.lost_since = now;
  }
  CheckLater(peer, m_settings.sign_of_life_interval);
  ProbeInstance(instance);
  m_on_silent(instance);
}

Duration HolderFailureDetector::SilenceTimeout(const Peer& peer) const {
  if (peer.refused) {
    return m_settings.refused_takeover_after;
  }
  return std::clamp<Duration>(kSilenceTimeoutFactor * peer.probe_reply_times.Deadline(),
                              m_settings.silent_takeover_after, m_settings.takeover_after);
}

}  // namespace zinnia
