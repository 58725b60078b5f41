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
  static constexpr Duration kHeardLifetime = std::chrono::seconds(5);

  InstanceDirectory(const Clock& clock, Instance self);

  void OnRecord(const Instance& instance) { m_recorded[instance.name] = instance; }
  void OnRecordRemoved(const InstanceName& name) { m_recorded.erase(name); }
  void OnHeard(const Instance& instance);

  /** It said that it stops. */
  void OnLeft(const InstanceName& name);

  const Instance& Self() const override { return m_self; }
  std::vector<Instance> LiveInstances() const override;
  void AddListener(MembershipListener&) override {}
  void RemoveListener(MembershipListener&) override {}

  /** All but this one. */
  std::vector<Instance> Peers() const;

 private:
  struct Heard {
    Instance instance;
    TimePoint at{};
  };

  const Clock& m_clock;
  const Instance m_self;
  std::map<InstanceName, Instance> m_recorded;
  std::map<InstanceName, Heard> m_heard;
};

}  // namespace zinnia
