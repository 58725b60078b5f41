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

/** The partition that a sign of life is asked for with: a report on it is answered at once and from
    memory by any running instance, whatever the store does. */
inline constexpr std::uint32_t kNoPartition = UINT32_MAX;

/** What this instance knows of the silence of others; one for all partitions.

    What fails without it: each partition of a lost holder gathers its own evidence, so that
   bookings fail for seconds, or a shorter patience takes partitions from holders whose store is
   slow.

    Once an answer is late, or a call was refused, the instance is asked for signs of life, which
    need no store. Any answer to any call ends the suspicion. Without one, the instance is lost
   after `silent_takeover_after` (longer if its signs of life were slow before), or after
    `refused_takeover_after` if connections are refused. Wrong belief costs a takeover, never
   safety.

    @see PartitionRole, ReplyTimeEstimator
*/
class HolderWatch {
 public:
  /** `on_silent` is called at each sign of life that an instance misses; ask LostSince whether it
      is lost by then. */
  HolderWatch(const OnceParts& parts,
              const OnceSettings& settings,
              std::function<void(const Instance&)> on_silent);
  ~HolderWatch();

  /** When a call to `instance` is late, counted from when it was sent. */
  Duration ReplyDeadline(const Instance& instance) const;

  /** An answer came, whatever it says. */
  void NoteReply(const Instance& instance, TimePoint sent_at);
  void NoteLate(const Instance& instance, TimePoint sent_at) {
    SuspectInstance(instance, sent_at, false);
  }
  void NoteRefused(const Instance& instance, TimePoint sent_at) {
    SuspectInstance(instance, sent_at, true);
  }

  /** Since when the instance counts as lost; nothing if it does not. */
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
