#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/forwarding/beliefs/instance_report.h"
#include "zinnia_decisions/forwarding/beliefs/member_loads.h"
#include "zinnia_decisions/forwarding/beliefs/relay_directory.h"
#include "zinnia_decisions/ports/report_transport.h"

namespace zinnia {

class InstanceDirectory;
class StoreMirror;

/** Hears what peers told. Called on the control thread. */
class ReportSink {
 public:
  virtual ~ReportSink() = default;

  /** What the instances of a failure domain have in flight; of the own domain, all but this one. */
  virtual void OnDomainUses(const FailureDomainName& domain, LoadTracker::Uses uses) = 0;
  virtual void OnPeerStalls(const std::vector<StallReport>& stalls) = 0;
  virtual void OnPeerServerState(const ServerStateReport& news) = 0;
  virtual void OnPeerSlowdowns(const std::vector<SlowdownReport>& slow_servers) = 0;
  virtual void OnPeerServerLimits(const std::vector<ServerLimitNews>& limits) = 0;
};

/** Intervals of ReportExchange. */
struct ReportExchangeSettings {
  /** The shortest between two reports to one peer; loads are about twice as old when a path is
      chosen. */
  std::chrono::milliseconds interval{200};

  /** Between two reports to a member there is at least so much for each member of the domain, so
      that a relay sends and takes in a hundred a second at most, whatever the size of its domain.
   */
  std::chrono::milliseconds interval_per_member{10};

  /** Between two reports to other domains: requests seldom leave theirs, and bytes between domains
      are dear. A reader's word must come often enough to be believed, see SilenceLimit. */
  std::chrono::milliseconds inter_domain_interval{400};

  /** Sums over other domains are in every so many of the reports to members that come less often
      than each interval. */
  std::uint64_t reports_between_sums = 2;
};

/** Tells peers what this instance has in flight and found stalled, and fills the gaps of its copy
    of the store from theirs: the store may refuse one instance while it serves the others.

    News goes over relays: members tell the relays of their failure domain, relays tell their
   members and the relays of other domains. Reports and their answers say how far each side knows
   the records; who is behind fetches them from one peer. Were each answer to carry them, many peers
    would send the same configuration at once, and on a slow link none of the copies would arrive
    within its limit.

    @see RelayDirectory, StoreMirror
*/
class ReportExchange final : public ReportHandler {
 public:
  /** All must outlive it. `seeds` are asked while no peer is known. */
  ReportExchange(ReportTransport& transport,
                 Scheduler& scheduler,
                 const Clock& clock,
                 InstanceDirectory& instances,
                 StoreMirror& mirror,
                 ReportSink& sink,
                 std::vector<NetworkAddress> seeds,
                 ReportExchangeSettings settings);

  void Start();

  /** What to tell of this instance's traffic from now on. */
  void SetUses(LoadTracker::Uses own) { m_uses = std::move(own); }

  /** Tells peers, with the next reports to each, what a server said of its layers. */
  void AddServerState(const ServerStateReport& news) {
    m_server_states[news.server] = {m_clock.Now(), news};
  }

  /** Servers that this instance knows to be slow, by its own questions or by peers. */
  void SetSlowServers(std::vector<SlowdownReport> servers) { m_slow_servers = std::move(servers); }

  /** What servers said of the requests that they take, for the reports from now on. */
  void SetServerLimits(std::vector<ServerLimitNews> limits) { m_server_limits = std::move(limits); }

  /** The same, told at once: the relays of all domains if it was heard here, who tell their
   * members.
   */
  void SendServerLimits(std::vector<ServerLimitNews> limits, bool heard_here);

  /** Tells the relays of all domains at once, who tell their members: each millisecond later costs
      callers a pause, and a small instance would take long to tell two hundred peers itself. */
  void SendStall(const BackendServerName& server);

  /** Tells those who rely on this instance at once how far the store's records are known now. */
  void SendRevision();

  void SendLeaving();

  /** Decides whether this instance waits for the store's changes: the readers of the fleet do, and
      every one that has not heard lately, over any number of relays, that some reader does. */
  bool ShouldWatchStore() const;

  /** How long ago a reader is known to have been in contact, in ms, for the log. */
  std::string DescribeStoreWatcherAge() const;

  /** Whether this instance is one of the fleet's readers. */
  bool IsAssignedStoreWatcher() const { return m_relays.IsStoreWatcher(); }

  /** Whether some peer said lately that the store serves it without failures. */
  bool AnyPeerSeesStableStore() const;

  MirrorDelta OnReport(const InstanceReport& report) override;

 private:
  enum class Recipient { kMember, kOwnRelay, kRemoteRelay };

  void Tick();
  void AskSeeds();
  void SendAsRelay();
  InstanceReport MakeReport(Recipient recipient);
  void AddLoads(Recipient recipient, InstanceReport& report);
  void SendToMembersInTurn();
  void SendToMembers();
  void SendToOwnDomain();
  void SendToRelays(Recipient recipient, const std::vector<Instance>& relays);
  void Send(const Instance& peer, Recipient recipient, InstanceReport report);
  Recipient KindOf(const Instance& peer) const;

  /** How long a relay, or the word of a reader, may keep away before this instance helps itself. */
  Duration SilenceLimit() const;
  std::uint64_t IntervalsBetweenMemberReports() const;
  std::optional<std::chrono::milliseconds> StoreWatcherAge() const;
  std::optional<std::chrono::milliseconds> StableStoreAge() const;
  void ApplyLoads(const InstanceReport& report, bool is_same_domain);
  void ApplyStalls(const InstanceReport& report);

  /** Called when `peer` turns out to know the store's records up to `revision`. */
  void FetchIfNewer(const NetworkAddress& peer, std::uint64_t revision);

  ReportTransport& m_transport;
  Scheduler& m_scheduler;
  const Clock& m_clock;
  InstanceDirectory& m_instances;
  StoreMirror& m_mirror;
  ReportSink& m_sink;
  const std::vector<NetworkAddress> m_seeds;
  const ReportExchangeSettings m_settings;
  RelayDirectory m_relays;
  MemberLoads m_member_loads;
  LoadTracker::Uses m_uses;

  /** The sum over the own domain with this instance; a relay's. */
  LoadTracker::Uses m_domain_sum;
  std::vector<SlowdownReport> m_slow_servers;
  std::vector<ServerLimitNews> m_server_limits;
  std::map<BackendServerName, std::pair<TimePoint, ServerStateReport>> m_server_states;

  /** A relay's: what the relays of other domains said of theirs, and when. */
  std::map<FailureDomainName, std::pair<TimePoint, LoadTracker::Uses>> m_other_domains;
  std::map<BackendServerName, TimePoint> m_stalls;
  bool m_leaving = false;
  TimePoint m_started_at{};
  std::optional<TimePoint> m_store_watcher_seen_at;
  std::optional<TimePoint> m_stable_store_seen_at;
  std::optional<TimePoint> m_fetch_began_at;
  std::uint64_t m_fetch_number = 0;
  std::uint64_t m_sent_revision = 0;
  std::uint64_t m_ticks = 0;
  std::size_t m_next_member = 0;
  std::unique_ptr<ScheduledCall> m_timer;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace zinnia
