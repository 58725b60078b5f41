#pragma once

#include <map>
#include <string>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/membership/membership_view.h"
#include "zinnia_world/fleet/instance.h"

namespace zinnia {

/** The live instances, from two sources: lease-bound records in the platform's store, and peers
    whose reports arrived recently. Records alone would be lost in a store outage; reports alone
    know nobody after a start. */
class InstanceDirectory final : public MembershipView {
 public:
  /** How long a peer without a record counts as live after its last report. */
  static constexpr Duration kPeerLifetime = std::chrono::seconds(5);

  InstanceDirectory(const Clock& clock, Instance self);

  void OnRecord(const Instance& instance);
  void OnRecordRemoved(const InstanceName& name);

  /** The store came back from an older copy that lacks the record. The instance counts as live for
      `kPeerLifetime` longer, in which it registers again. */
  void OnRecordForgotten(const InstanceName& name);
  void OnPeerSeen(const Instance& instance);

  void OnPeerLeft(const InstanceName& name);

  const Instance& Self() const override { return m_self; }
  std::vector<Instance> LiveInstances() const override { return Live(); }
  void AddListener(MembershipListener&) override {}
  void RemoveListener(MembershipListener&) override {}

  /** LiveInstances without a copy. Valid until the next call of this object. A peer that stopped
      reporting may be in it for up to `kLiveListLifetime` longer. */
  const std::vector<Instance>& Live() const;

  /** When the last report arrived; null if none did or the instance has left. */
  const TimePoint* LastSeen(const InstanceName& name) const;

 private:
  /** Limits how often the list is rebuilt: reports need it some hundred times a second, and sorting
      and copying hundreds of names each time is expensive on a small instance. */
  static constexpr Duration kLiveListLifetime = std::chrono::milliseconds(250);

  struct SeenPeer {
    Instance instance;
    TimePoint at{};
  };

  void RebuildLive() const;

  const Clock& m_clock;
  const Instance m_self;
  std::map<InstanceName, Instance> m_recorded;
  std::map<InstanceName, SeenPeer> m_seen_peers;

  /** Instances whose records the store forgot, and when. */
  std::map<InstanceName, SeenPeer> m_forgotten;
  mutable std::vector<Instance> m_live;
  mutable TimePoint m_live_built_at{};
};

}  // namespace zinnia
