#pragma once

#include <map>
#include <set>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

class LoadTracker;
class ServerHealth;
struct EngineProfile;
struct ForwardingView;

/** This instance's share of the memory on replacement servers after a loss.

    All instances move their streams of a lost server within the same 100 ms and from the same load
    reports. Each takes only its share of the free memory: in proportion to the memory that its
    streams had on the lost servers, which it knows exactly for itself and as a sum for the others.
    Shares are rounded to whole streams at random but without coordination, by a hash of instance
    and servers, so that the sum over all instances is the free memory on average. Servers that hold
    the same layers are rounded together: an instance whose share of each is a fraction of a stream
    still gets the whole streams that its shares add up to.

    Loads are read once per round. Within a round the moves of other instances are not reported yet;
    later reports include them.
*/
class MoveQuotas {
 public:
  /** Duration of a round: the age of most load reports. */
  static constexpr Duration kRoundDuration = std::chrono::milliseconds(1'000);

  /** All references must outlive the object. */
  MoveQuotas(const Clock& clock,
             const LoadTracker& loads,
             const ServerHealth& health,
             InstanceName self);

  /** Begins a round, or adds `lost` to the present one. Call before the streams are moved. */
  void OnServersLost(const ForwardingView& view, const std::set<BackendServerName>& lost);

  /** Ratio of the others' memory on the lost servers to that of this instance. */
  double OthersRatio(const ServiceName& service) const;

  /** Number of streams that this instance may still move to a server in this round. Streams of any
      size count as one: if small ones could use the rest of a quota, instances with many streams
      would always use more than their share. */
  double Room(const BackendServerName& server) const;

  /** `streams`: 1 for a stream that would use all layers of the server, else the part that it
      would use. */
  bool HasRoom(const BackendServerName& server, double streams) const;

  /** A stream is moved to a server. */
  void Add(const BackendServerName& server, double streams) { m_taken[server] += streams; }

 private:
  /** The memory of this instance on the lost servers relative to that of all. */
  struct Demand {
    double share = 1.0;
    double others_ratio = 0.0;

    /** Mean size of this instance's streams there. The mean over all instances would let those with
        larger streams use more than their share. */
    double tokens_per_stream = 0.0;
  };

  Demand DemandOf(const ForwardingView& view,
                  const ServiceName& service,
                  const EngineProfile& engine) const;

  /** Free memory of a server less a margin for the rounding of all instances, in streams. */
  double FreeStreams(const ForwardingView& view,
                     const EngineProfile& engine,
                     const BackendServerName& server,
                     const Demand& demand) const;
  void Divide(const ForwardingView& view, const ServiceName& service);

  const Clock& m_clock;
  const LoadTracker& m_loads;
  const ServerHealth& m_health;
  const InstanceName m_self;

  TimePoint m_round_ends_at{};
  std::set<BackendServerName> m_lost;
  std::map<ServiceName, double> m_others_ratios;
  std::map<BackendServerName, double> m_quotas;
  std::map<BackendServerName, double> m_taken;
};

}  // namespace zinnia
