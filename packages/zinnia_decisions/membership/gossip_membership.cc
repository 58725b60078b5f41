#include "zinnia_decisions/membership/gossip_membership.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "zinnia_decisions/membership/gossip_host.h"
#include "zinnia_decisions/membership/message_size.h"
#include "zinnia_decisions/ports/peer_transport.h"

namespace zinnia {
namespace {

constexpr Duration kFrequentSeedPingPeriod = std::chrono::seconds(30);
constexpr std::size_t kMaxRelays = 256;
constexpr std::size_t kMaxDatagramsPerSend = 8;
constexpr std::size_t kMaxInitialMemberRumours = 16;
constexpr std::size_t kRepairBytes = 500;
constexpr Duration kFlushDelay = std::chrono::milliseconds(2);
constexpr Duration kLeaveRepeatDelay = std::chrono::milliseconds(200);

}  // namespace

GossipMembership::GossipMembership(MembershipSettings settings,
                                   Clock& clock,
                                   Scheduler& scheduler,
                                   PeerTransport& transport,
                                   GossipHost& host,
                                   std::uint64_t seed)
    : m_settings(std::move(settings)),
      m_clock(clock),
      m_scheduler(scheduler),
      m_transport(transport),
      m_host(host),
      m_random(seed) {}

GossipMembership::~GossipMembership() = default;

void GossipMembership::Start() {
  m_last_tick = m_clock.Now();
  m_last_dead_probe = m_clock.Now();
  m_started_at = m_clock.Now();
  QueueRumour(MemberRumour{m_settings.self, m_incarnation, MemberState::kAlive});
  for (const NetworkAddress& seed : m_settings.seeds) {
    if (seed != m_settings.self.peer_address) {
      Send(seed, {ProbeKind::kPing, m_next_sequence++});
    }
  }
  const auto spread = static_cast<std::uint64_t>(m_settings.probe_interval.count());
  m_tick_call =
      m_scheduler.ScheduleAfter(Duration(RandomBelow(m_random, spread)), [this] { Tick(); });
}

void GossipMembership::Leave(std::function<void()> done) {
  const MemberRumour left{m_settings.self, m_incarnation, MemberState::kLeft};
  for (const Instance& peer : ChooseLive(m_settings.origin_fanout, "")) {
    SendRumours(peer.peer_address, {left});
  }
  m_tick_call.reset();
  m_indirect_call.reset();
  m_leave_call =
      m_scheduler.ScheduleAfter(kLeaveRepeatDelay, [this, left, done = std::move(done)]() mutable {
        for (const Instance& peer : ChooseLive(m_settings.origin_fanout, "")) {
          SendRumours(peer.peer_address, {left});
        }
        m_stopped = true;
        std::exchange(done, nullptr)();
      });
}

void GossipMembership::Tick() {
  m_tick_call = m_scheduler.ScheduleAfter(m_settings.probe_interval, [this] { Tick(); });
  DetectLocalPause();
  FinishProbe();
  ExpireSuspicions();
  StartProbe();
  ProbeDead();
  PingUnknownSeed();
}

// After a pause of this process, acknowledgements are still unread and healthy peers would be
// declared dead. A late tick indicates a pause and restarts the timers.
void GossipMembership::DetectLocalPause() {
  const TimePoint now = m_clock.Now();
  if (now - m_last_tick > 2 * m_settings.probe_interval) {
    m_acknowledged = true;
    m_table.RestartSuspicionTimers(now);
  }
  m_last_tick = now;
}

void GossipMembership::FinishProbe() {
  const Member* member = m_acknowledged ? nullptr : m_table.Find(m_probed);
  if (member != nullptr && member->state == MemberState::kAlive) {
    ApplyMember({member->instance, member->incarnation, MemberState::kSuspect});
  }
}

void GossipMembership::StartProbe() {
  m_acknowledged = true;
  const Member* target = NextTarget();
  if (target == nullptr) {
    return;
  }
  m_acknowledged = false;
  m_probed = target->instance.name;
  m_probed_sequence = m_next_sequence++;
  SendPing(target->instance, m_probed_sequence);
  m_indirect_call =
      m_scheduler.ScheduleAfter(m_settings.acknowledgement_timeout, [this] { ProbeIndirectly(); });
}

void GossipMembership::ProbeIndirectly() {
  const Member* target = m_acknowledged ? nullptr : m_table.Find(m_probed);
  if (target == nullptr) {
    return;
  }
  for (const Instance& helper : ChooseLive(m_settings.indirect_probes, m_probed)) {
    ProbeMessage request{ProbeKind::kPingRequest, m_probed_sequence};
    request.target = target->instance;
    Send(helper.peer_address, std::move(request));
  }
}

// After a network partition each side considers the other dead and would never contact it again.
void GossipMembership::ProbeDead() {
  const TimePoint now = m_clock.Now();
  if (now - m_last_dead_probe < m_settings.repair_interval) {
    return;
  }
  m_last_dead_probe = now;
  m_table.RemoveExpired(now - m_settings.forget_dead_after);
  std::vector<const Member*> dead;
  for (const auto& [name, member] : m_table.members()) {
    if (member.state == MemberState::kDead) {
      dead.push_back(&member);
    }
  }
  if (!dead.empty()) {
    SendPing(dead[RandomBelow(m_random, dead.size())]->instance, m_next_sequence++);
  }
  SendRepairRumours();
}

// A seed may not be listening yet when the first pings are sent. Without retries, and with an empty
// platform list, the fleet could stay split in two. Pings every tick at first, then at the repair
// interval.
void GossipMembership::PingUnknownSeed() {
  const TimePoint now = m_clock.Now();
  const bool eager = now - m_started_at < kFrequentSeedPingPeriod;
  if (!eager && now - m_last_seed_ping < m_settings.repair_interval) {
    return;
  }
  std::vector<NetworkAddress> unknown_seeds = m_settings.seeds;
  std::erase(unknown_seeds, m_settings.self.peer_address);
  for (const auto& [name, member] : m_table.members()) {
    std::erase(unknown_seeds, member.instance.peer_address);
  }
  if (!unknown_seeds.empty()) {
    m_last_seed_ping = now;
    Send(unknown_seeds[RandomBelow(m_random, unknown_seeds.size())],
         {ProbeKind::kPing, m_next_sequence++});
  }
}

// All transmissions of a rumour may be lost. Without repair, an instance that missed one would keep
// sending new work to a leaving server.
void GossipMembership::SendRepairRumours() {
  const std::vector<Rumour> rumours = m_host.RumoursForRepair(kRepairBytes);
  if (rumours.empty()) {
    return;
  }
  for (const Instance& peer : ChooseLive(1, "")) {
    SendRumours(peer.peer_address, rumours);
  }
}

void GossipMembership::ExpireSuspicions() {
  const TimePoint deadline = m_clock.Now() - m_settings.suspicion_timeout;
  for (MemberRumour& suspect : m_table.SuspectsSince(deadline)) {
    suspect.state = MemberState::kDead;
    ApplyMember(suspect);
  }
}

const Member* GossipMembership::NextTarget() {
  while (true) {
    if (m_probe_order.empty()) {
      for (const auto& [name, member] : m_table.members()) {
        if (IsLive(member.state)) {
          m_probe_order.push_back(name);
        }
      }
      if (m_probe_order.empty()) {
        return nullptr;
      }
      std::shuffle(m_probe_order.begin(), m_probe_order.end(), m_random);
    }
    const InstanceName name = std::move(m_probe_order.back());
    m_probe_order.pop_back();
    const Member* member = m_table.Find(name);
    if (member != nullptr && IsLive(member->state)) {
      return member;
    }
  }
}

std::vector<Instance> GossipMembership::ChooseLive(std::size_t count, const InstanceName& except) {
  std::vector<Instance> live = m_table.Live();
  std::erase_if(live, [&except](const Instance& instance) { return instance.name == except; });
  const std::size_t kept = std::min(count, live.size());
  for (std::size_t index = 0; index < kept; ++index) {
    std::swap(live[index], live[index + RandomBelow(m_random, live.size() - index)]);
  }
  live.resize(kept);
  return live;
}

void GossipMembership::OnListed(const std::vector<Instance>& instances) {
  for (const Instance& instance : instances) {
    const Member* member = m_table.Find(instance.name);
    const bool is_newer = member == nullptr || member->instance.start < instance.start;
    if (is_newer && instance.name != m_settings.self.name) {
      m_table.Apply({instance, 0, MemberState::kAlive}, m_clock.Now());
      NotifyListeners();
    }
  }
}

void GossipMembership::ApplyMember(const MemberRumour& rumour) {
  if (rumour.instance.name == m_settings.self.name) {
    RefuteIfNeeded(rumour);
    return;
  }
  const Member* before = m_table.Find(rumour.instance.name);
  const bool was_live = before != nullptr && IsLive(before->state);
  // All instances read the platform's list, so that a listed instance is alive is not forwarded.
  const bool listed = before != nullptr && before->incarnation == 0 && was_live &&
                      rumour.state == MemberState::kAlive &&
                      before->instance.start == rumour.instance.start;
  if (!m_table.Apply(rumour, m_clock.Now())) {
    return;
  }
  if (!listed) {
    QueueRumour(rumour);
  }
  if (was_live != IsLive(rumour.state)) {
    NotifyListeners();
  }
}

void GossipMembership::RefuteIfNeeded(const MemberRumour& rumour) {
  const bool matches_own_start = rumour.instance.start == m_settings.self.start;
  const bool wrong = rumour.state == MemberState::kSuspect || rumour.state == MemberState::kDead;
  if (matches_own_start && wrong && rumour.incarnation >= m_incarnation) {
    m_incarnation = rumour.incarnation + 1;
    QueueRumour(MemberRumour{m_settings.self, m_incarnation, MemberState::kAlive});
  }
}

void GossipMembership::OnProbe(const ProbeMessage& message) {
  const Member* known = m_table.Find(message.sender.name);
  const bool stale = known != nullptr && known->instance.start > message.sender.start;
  if (m_stopped || stale || message.sender.name == m_settings.self.name) {
    return;
  }
  const bool was_live =
      known != nullptr && known->instance.start == message.sender.start && IsLive(known->state);
  ApplyMember({message.sender, message.sender_incarnation, MemberState::kAlive});
  m_table.SetMemberRevision(message.sender.name, message.revision);
  for (const Rumour& rumour : message.rumours) {
    if (const auto* member = std::get_if<MemberRumour>(&rumour)) {
      ApplyMember(*member);
    } else {
      m_host.OnRumour(rumour, message.sender);
    }
  }
  m_host.OnPeerRevision(message.sender, message.revision);
  switch (message.kind) {
    case ProbeKind::kPing:
      OnPing(message);
      break;
    case ProbeKind::kPingRequest:
      OnPingRequest(message);
      break;
    case ProbeKind::kAck:
      OnAcknowledgement(message);
      break;
  }
  const Member* sender = m_table.Find(message.sender.name);
  // Only an instance that has just started has no configuration. Sending the initial rumours to
  // every listed instance on its first message would cost too much bandwidth in a large fleet.
  const bool fresh = message.revision == 0 && m_host.OwnRevision() > 0;
  if ((!was_live || fresh) && sender != nullptr && IsLive(sender->state)) {
    SendInitialRumours(message.sender);
  }
}

void GossipMembership::OnPing(const ProbeMessage& message) {
  ProbeMessage answer{ProbeKind::kAck, message.sequence};
  const Member* sender = m_table.Find(message.sender.name);
  if (sender != nullptr && sender->state != MemberState::kAlive) {
    answer.rumours.emplace_back(MemberRumour{sender->instance, sender->incarnation, sender->state});
  }
  Send(message.sender.peer_address, std::move(answer));
}

void GossipMembership::OnPingRequest(const ProbeMessage& message) {
  if (!message.target || m_relays.size() >= kMaxRelays) {
    return;
  }
  const TimePoint now = m_clock.Now();
  std::erase_if(m_relays, [&](const auto& row) {
    return now - row.second.at > 2 * m_settings.probe_interval;
  });
  const std::uint64_t sequence = m_next_sequence++;
  m_relays[sequence] = {message.sender.peer_address, message.sequence, now};
  SendPing(*message.target, sequence);
}

void GossipMembership::OnAcknowledgement(const ProbeMessage& message) {
  if (message.sequence == 0) {
    return;
  }
  const InstanceName& responder = message.target ? message.target->name : message.sender.name;
  if (message.sequence == m_probed_sequence && responder == m_probed) {
    m_acknowledged = true;
  }
  const auto relay = m_relays.find(message.sequence);
  if (relay != m_relays.end()) {
    ProbeMessage forwarded{ProbeKind::kAck, relay->second.sequence};
    forwarded.target = message.sender;
    Send(relay->second.requester, std::move(forwarded));
    m_relays.erase(relay);
  }
}

void GossipMembership::SendInitialRumours(const Instance& newcomer) {
  std::vector<Rumour> rumours = m_host.RumoursForNewMember();
  for (const Instance& instance : ChooseLive(kMaxInitialMemberRumours, newcomer.name)) {
    const Member& member = *m_table.Find(instance.name);
    rumours.emplace_back(MemberRumour{member.instance, member.incarnation, member.state});
  }
  SendRumours(newcomer.peer_address, rumours);
}

void GossipMembership::SendPing(const Instance& target, std::uint64_t sequence) {
  ProbeMessage ping{ProbeKind::kPing, sequence};
  const Member* member = m_table.Find(target.name);
  if (member != nullptr && member->state != MemberState::kAlive) {
    ping.rumours.emplace_back(MemberRumour{member->instance, member->incarnation, member->state});
  }
  Send(target.peer_address, std::move(ping));
}

std::uint64_t GossipMembership::PingWithRumour(const Instance& peer, Rumour rumour) {
  const std::uint64_t sequence = m_next_sequence++;
  ProbeMessage ping{ProbeKind::kPing, sequence};
  ping.rumours.push_back(std::move(rumour));
  Send(peer.peer_address, std::move(ping));
  return sequence;
}

void GossipMembership::Send(const NetworkAddress& to, ProbeMessage message) {
  message.sender = m_settings.self;
  message.sender_incarnation = m_incarnation;
  message.revision = m_host.OwnRevision();
  const std::size_t used = EstimateSize(message);
  if (used < kMaxDatagramBytes) {
    for (Rumour& rumour : m_queue.Take(kMaxDatagramBytes - used)) {
      message.rumours.push_back(std::move(rumour));
    }
  }
  m_transport.SendProbe(to, message);
}

void GossipMembership::SendRumours(const NetworkAddress& to, const std::vector<Rumour>& rumours) {
  ProbeMessage message{ProbeKind::kAck, 0};
  message.sender = m_settings.self;
  message.sender_incarnation = m_incarnation;
  message.revision = m_host.OwnRevision();
  const std::size_t max_bytes = kMaxDatagramBytes - EstimateSize(message);
  std::size_t used = 0;
  std::size_t datagrams = 0;
  for (const Rumour& rumour : rumours) {
    const std::size_t size = EstimateSize(rumour);
    if (used + size > max_bytes && !message.rumours.empty()) {
      m_transport.SendProbe(to, message);
      message.rumours.clear();
      used = 0;
      if (++datagrams == kMaxDatagramsPerSend) {
        return;
      }
    }
    message.rumours.push_back(rumour);
    used += size;
  }
  m_transport.SendProbe(to, message);
}

void GossipMembership::QueueRumour(Rumour rumour) {
  m_queue.Add(std::move(rumour), Transmissions());
}

void GossipMembership::SendUrgently(Rumour rumour, bool originated_here, bool also_queue) {
  if (also_queue) {
    QueueRumour(rumour);
  }
  m_urgent.push_back(std::move(rumour));
  m_urgent_originated_here = m_urgent_originated_here || originated_here;
  if (!m_flush_call) {
    m_flush_call = m_scheduler.ScheduleAfter(kFlushDelay, [this] { FlushUrgent(); });
  }
}

void GossipMembership::PushRevision() {
  for (const Instance& peer : ChooseLive(m_settings.fanout, "")) {
    SendRumours(peer.peer_address, {});
  }
}

void GossipMembership::FlushUrgent() {
  const std::vector<Rumour> rumours = std::exchange(m_urgent, {});
  const bool originated_here = std::exchange(m_urgent_originated_here, false);
  m_flush_call.reset();
  const std::size_t doublings = std::bit_width(m_table.LiveCount() + 1);
  const std::size_t onward = std::clamp<std::size_t>(doublings, 4, m_settings.fanout + 2) - 2;
  const std::size_t fanout = originated_here ? m_settings.origin_fanout : onward;
  for (const Instance& peer : ChooseLive(fanout, "")) {
    SendRumours(peer.peer_address, rumours);
  }
}

std::uint32_t GossipMembership::Transmissions() const {
  constexpr std::uint32_t kTransmissionsPerDoubling = 2;
  return kTransmissionsPerDoubling *
         static_cast<std::uint32_t>(std::bit_width(m_table.LiveCount() + 1));
}

std::vector<Instance> GossipMembership::LiveInstances() const {
  std::vector<Instance> live = m_table.Live();
  const auto place = std::lower_bound(
      live.begin(), live.end(), m_settings.self.name,
      [](const Instance& instance, const InstanceName& name) { return instance.name < name; });
  live.insert(place, m_settings.self);
  return live;
}

void GossipMembership::AddListener(MembershipListener& listener) {
  m_listeners.push_back(&listener);
}

void GossipMembership::RemoveListener(MembershipListener& listener) {
  std::erase(m_listeners, &listener);
}

void GossipMembership::NotifyListeners() {
  const std::vector<MembershipListener*> listeners = m_listeners;
  for (MembershipListener* listener : listeners) {
    listener->OnMembershipChanged();
  }
}

}  // namespace zinnia
