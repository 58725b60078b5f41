#pragma once

#include <map>
#include <string>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/membership/membership_view.h"
#include "zinnia_world/fleet/instance.h"

namespace zinnia {

/** Which instances live, from two sources: their lease-bound records in the platform's store, and
    the peers that were heard of lately. One source alone would forget everybody in an outage of the
    store, or know nobody after a start. */
class InstanceDirectory final : public MembershipView {
 public:
  /** How long a peer that is not on record counts as alive after it was last heard. */
  static constexpr Duration kPeerLifetime = std::chrono::seconds(5);

  InstanceDirectory(const Clock& clock, Instance self);

  void OnRecord(const Instance& instance);
  void OnRecordRemoved(const InstanceName& name);
  void OnPeerSeen(const Instance& instance);

  /** It said that it stops. */
  void OnPeerLeft(const InstanceName& name);

  const Instance& Self() const override { return m_self; }
  std::vector<Instance> LiveInstances() const override { return Live(); }
  void AddListener(MembershipListener&) override {}
  void RemoveListener(MembershipListener&) override {}

  /** The same without a copy, for who asks several times a second. Valid until the next call of
     this object. A peer that is no longer heard may be in it for `kLiveListLifetime` longer. */
  const std::vector<Instance>& Live() const;

  /** When it was last heard; nothing if it never was, or is forgotten. */
  const TimePoint* LastSeen(const InstanceName& name) const;

 private:
  /** News asks who lives some hundred times a second, and sorting and copying two hundred names
     each time would be most of its work on a small instance. */
  static constexpr Duration kLiveListLifetime = std::chrono::milliseconds(250);

  struct Heard {
    Instance instance;
    TimePoint at{};
  };

  void Count() const;

  const Clock& m_clock;
  const Instance m_self;
  std::map<InstanceName, Instance> m_recorded;
  std::map<InstanceName, Heard> m_seen_peers;
  mutable std::vector<Instance> m_live;
  mutable TimePoint m_live_built_at{};
};

}  // namespace zinnia
