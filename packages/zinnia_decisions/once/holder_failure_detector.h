#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "zinnia_decisions/once/once_parts.h"
#include "zinnia_decisions/once/once_settings.h"
#include "zinnia_decisions/once/reply_time_estimator.h"
#include "zinnia_world/fleet/instance.h"

namespace zinnia {

class ScheduledCall;

/** The partition used in probes. Every running instance replies to a report on it immediately,
    without a store call. */
inline constexpr std::uint32_t kNoPartition = UINT32_MAX;

/** Failure detector for the holders of partitions, shared by all partitions, so that each partition
    of a failed holder need not detect the failure on its own.

    When a reply is late or a connection is refused, the instance is suspected and probed. Probes
    need no store call, so a slow store does not delay their replies. Any reply ends the suspicion.
    Without one, the instance counts as lost after `silent_takeover_after` (longer if its earlier
    probe replies were slow), or after `refused_takeover_after` if it refuses connections. A false
    detection causes an unnecessary takeover but does not affect correctness.

    @see PartitionRole, ReplyTimeEstimator
*/
class HolderFailureDetector {
 public:
  /** `on_silent` is called at each check that finds an instance still silent, before and after
      LostSince reports it as lost. */
  HolderFailureDetector(const OnceParts& parts,
                        const OnceSettings& settings,
                        std::function<void(const Instance&)> on_silent);
  ~HolderFailureDetector();

  /** Returns the time after which a reply from `instance` is late, counted from the sending. */
  Duration ReplyDeadline(const Instance& instance) const;

  /** Records a reply from `instance`, whether a result or an error. */
  void NoteReply(const Instance& instance, TimePoint sent_at);
  void NoteLate(const Instance& instance, TimePoint sent_at) {
    SuspectInstance(instance, sent_at, false);
  }
  void NoteRefused(const Instance& instance, TimePoint sent_at) {
    SuspectInstance(instance, sent_at, true);
  }

  /** Returns the time since which `instance` counts as lost, or nullopt if it does not. */
  std::optional<TimePoint> LostSince(const Instance& instance) const;

 private:
  struct Peer {
    Instance instance;
    ReplyTimeEstimator replies;
    ReplyTimeEstimator probe_reply_times;
    std::optional<TimePoint> suspected_since;
    std::optional<TimePoint> lost_since;
    bool refused = false;
    TimePoint check_due{};
    std::unique_ptr<ScheduledCall> timer;
  };

  Peer& PeerOf(const Instance& instance);
  const Peer* Find(const Instance& instance) const;
  void SuspectInstance(const Instance& instance, TimePoint sent_at, bool refused);
  void EndSuspicion(Peer& peer);
  void ProbeInstance(const Instance& instance);
  void CheckLater(Peer& peer, Duration delay);
  void Check(const std::string& name);
  Duration SilenceTimeout(const Peer& peer) const;

  OnceParts m_parts;
  const OnceSettings& m_settings;
  std::function<void(const Instance&)> m_on_silent;
  std::map<std::string, Peer> m_peers;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace zinnia
