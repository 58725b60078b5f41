#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "zinnia_base/random/random_source.h"
#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/membership/member_table.h"
#include "zinnia_decisions/membership/membership_view.h"
#include "zinnia_decisions/membership/rumour_queue.h"

namespace zinnia {

class GossipHost;
class PeerTransport;

/** Settings of the failure detection. The defaults hold from 6 to 940 instances. */
struct MembershipSettings {
  Instance self;
  std::vector<NetworkAddress> seeds;
  Duration probe_interval = std::chrono::seconds(1);
  Duration acknowledgement_timeout = std::chrono::milliseconds(300);
  Duration suspicion_timeout = std::chrono::seconds(4);
  Duration repair_interval = std::chrono::seconds(5);
  Duration forget_dead_after = std::chrono::minutes(30);
  std::size_t indirect_probes = 3;

  /** Peers that hear an urgent rumour at once: from whoever found it, and from those who heard. */
  std::size_t origin_fanout = 8;
  std::size_t fanout = 4;
};

/** SWIM-style membership: each instance probes one other each interval, whatever their number.

    A missed acknowledgement leads to probes through others, then to suspicion, which the suspect
   can refute with a higher incarnation, then to death. Dead members are still probed now and then,
   so that the two sides of a cut find each other again. Rumours ride along on the probes; urgent
   ones are also pushed at once in a message of kind kAck with sequence 0, which acknowledges
   nothing.

    Lives on the control thread. Create, Start, feed OnProbe.

    @see MemberTable, RumourQueue, GossipHost
*/
class GossipMembership final : public MembershipView {
 public:
  GossipMembership(MembershipSettings settings,
                   Clock& clock,
                   Scheduler& scheduler,
                   PeerTransport& transport,
                   GossipHost& host,
                   std::uint64_t seed);
  ~GossipMembership() override;

  void Start();

  /** Tells the others that this instance leaves; `done` is called once that is sent. */
  void Leave(std::function<void()> done);

  void OnProbe(const ProbeMessage& message);

  /** Takes in the platform's list: unknown instances on it are believed alive until probed. */
  void OnListed(const std::vector<Instance>& instances);

  /** Queues a rumour for the probes. */
  void QueueRumour(Rumour rumour);

  /** Sends a rumour to a few peers at once. `originated_here`: this instance found it out itself.
      Without `also_queue` it is not repeated on probes; something else must repair a loss. */
  void SendUrgently(Rumour rumour, bool originated_here, bool also_queue);

  /** Pings a peer with a rumour. Gives the sequence that the acknowledgement will carry; it is
     given to whoever calls OnProbe, not kept here. */
  std::uint64_t PingWithRumour(const Instance& peer, Rumour rumour);

  /** Tells a few peers at once of this instance's new revision, without its content. */
  void PushRevision();

  const Instance& Self() const override { return m_settings.self; }
  std::vector<Instance> LiveInstances() const override;
  void AddListener(MembershipListener& listener) override;
  void RemoveListener(MembershipListener& listener) override;

  const MemberTable& table() const { return m_table; }
  std::uint64_t incarnation() const { return m_incarnation; }

 private:
  struct Relay {
    NetworkAddress requester;
    std::uint64_t sequence = 0;
    TimePoint at{};
  };

  void Tick();
  void DetectLocalPause();
  void FinishProbe();
  void StartProbe();
  void ProbeIndirectly();
  void ProbeDead();
  void PingUnknownSeed();
  void SendRepairRumours();
  void ExpireSuspicions();
  const Member* NextTarget();
  std::vector<Instance> ChooseLive(std::size_t count, const InstanceName& except);

  void ApplyMember(const MemberRumour& rumour);
  void RefuteIfNeeded(const MemberRumour& rumour);
  void OnPing(const ProbeMessage& message);
  void OnPingRequest(const ProbeMessage& message);
  void OnAcknowledgement(const ProbeMessage& message);
  void SendInitialRumours(const Instance& newcomer);
  void SendPing(const Instance& target, std::uint64_t sequence);
  void Send(const NetworkAddress& to, ProbeMessage message);
  void SendRumours(const NetworkAddress& to, const std::vector<Rumour>& rumours);
  void FlushUrgent();
  std::uint32_t Transmissions() const;
  void NotifyListeners();

  const MembershipSettings m_settings;
  Clock& m_clock;
  Scheduler& m_scheduler;
  PeerTransport& m_transport;
  GossipHost& m_host;
  RandomSource m_random;

  MemberTable m_table;
  RumourQueue m_queue;
  std::vector<MembershipListener*> m_listeners;
  std::uint64_t m_incarnation = 1;
  std::uint64_t m_next_sequence = 1;
  bool m_stopped = false;

  std::vector<InstanceName> m_probe_order;
  InstanceName m_probed;
  std::uint64_t m_probed_sequence = 0;
  bool m_acknowledged = true;
  TimePoint m_last_tick{};
  TimePoint m_last_dead_probe{};
  TimePoint m_last_seed_ping{};
  TimePoint m_started_at{};
  std::map<std::uint64_t, Relay> m_relays;

  std::vector<Rumour> m_urgent;
  bool m_urgent_originated_here = false;
  std::unique_ptr<ScheduledCall> m_tick_call;
  std::unique_ptr<ScheduledCall> m_indirect_call;
  std::unique_ptr<ScheduledCall> m_flush_call;
  std::unique_ptr<ScheduledCall> m_leave_call;
};

}  // namespace zinnia
