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

/** Settings of failure detection. The defaults suit 6 to 940 instances. */
struct MembershipSettings {
  Instance self;
  std::vector<NetworkAddress> seeds;
  Duration probe_interval = std::chrono::seconds(1);
  Duration acknowledgement_timeout = std::chrono::milliseconds(300);
  Duration suspicion_timeout = std::chrono::seconds(4);
  Duration repair_interval = std::chrono::seconds(5);
  Duration forget_dead_after = std::chrono::minutes(30);
  std::size_t indirect_probes = 3;

  /** Peers that the originator and each forwarder send an urgent rumour to at once. */
  std::size_t origin_fanout = 8;
  std::size_t fanout = 4;
};

/** SWIM-style membership: each instance probes one other per interval, whatever their number.

    A missed acknowledgement leads to indirect probes, then to suspicion, which the suspect can
    refute with a higher incarnation, then to the dead state. Dead members are still probed
    occasionally, so that the sides of a network partition find each other again. Rumours are
    piggybacked on probes; urgent ones are also sent at once in a kAck message with sequence 0,
    which acknowledges nothing.

    Call on the control thread only.

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

  /** Announces that this instance leaves, then calls `done`. */
  void Leave(std::function<void()> done);

  void OnProbe(const ProbeMessage& message);

  /** Adds the instances of the platform's list; unknown ones are assumed alive until probed. */
  void OnListed(const std::vector<Instance>& instances);

  /** Queues a rumour to be piggybacked on probes. */
  void QueueRumour(Rumour rumour);

  /** Sends a rumour to a few peers at once. `originated_here`: not received from a peer. Without
      `also_queue` it is not repeated on probes, and the caller must handle its loss. */
  void SendUrgently(Rumour rumour, bool originated_here, bool also_queue);

  /** Pings a peer with a rumour and returns the sequence number of the ping. The caller must match
      it with the acknowledgement passed to OnProbe. */
  std::uint64_t PingWithRumour(const Instance& peer, Rumour rumour);

  /** Sends this instance's new revision, without its content, to a few peers at once. */
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
