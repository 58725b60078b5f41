#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/forwarding/costs/answer_length_exchange.h"
#include "zinnia_decisions/forwarding/observed_state/crash_news.h"
#include "zinnia_decisions/forwarding/observed_state/instance_report.h"
#include "zinnia_decisions/forwarding/observed_state/member_loads.h"
#include "zinnia_decisions/forwarding/observed_state/news_memory.h"
#include "zinnia_decisions/forwarding/observed_state/relay_directory.h"
#include "zinnia_decisions/ports/report_transport.h"

namespace zinnia {

class InstanceDirectory;
class Logger;
class StoreMirror;

/** Receives the state reported by peers. Called on the control thread. */
class ReportSink {
 public:
  virtual ~ReportSink() = default;

  /** The requests in flight of a failure domain's instances. For the own domain, this instance is
      not included. */
  virtual void OnDomainUses(const FailureDomainName& domain, LoadTracker::Uses uses) = 0;
  virtual void OnPeerStalls(const std::vector<StallReport>& stalls) = 0;
  virtual void OnPeerServerState(const ServerStateReport& state) = 0;
  virtual void OnPeerSlowdowns(const std::vector<SlowdownReport>& slow_servers) = 0;
  virtual void OnPeerServerLimits(const std::vector<ServerLimitReport>& limits) = 0;

  /** Reports that were not received before. */
  virtual void OnPeerCrashes(const std::vector<CrashReport>& crashes) = 0;
  virtual void OnPeerQuarantines(const std::vector<QuarantineReport>& quarantines) = 0;

  /** Requests that were not received before. */
  virtual void OnPeerCleared(const std::vector<ClearedRequest>& requests) = 0;

  /** The lengths of answers that all other instances have counted, of some cells. */
  virtual void OnPeerAnswerLengths(const std::vector<AnswerLengthRow>& rows) = 0;
};

struct ReportExchangeSettings {
  /** Minimum time between two reports to the same peer. */
  std::chrono::milliseconds interval{200};

  /** Minimum time between two reports to a member, per member of the domain. Limits a relay to
      about a hundred reports a second in each direction, whatever the size of its domain. */
  std::chrono::milliseconds interval_per_member{10};

  /** Time between two reports to other domains. Longer than `interval` since traffic between
      domains is expensive, but well below SilenceLimit. */
  std::chrono::milliseconds inter_domain_interval{400};

  /** On a relay that does not report to each member in every interval, the sums over other domains
      are in one of this many reports. */
  std::uint64_t reports_between_sums = 2;
};

/** Exchanges state with other instances: requests in flight, stalled and slow servers, and store
    records that one side lacks, since the store may refuse one instance while it serves the others.

    Reports go over relays: members send to the relays of their failure domain, relays to their
    members and to the relays of other domains. Reports and responses carry the revision of the
    sender's mirror. An instance that is behind fetches the records from one peer at a time, since
    several copies of a large configuration could saturate a slow link.

    @see RelayDirectory, StoreMirror */
class ReportExchange final : public ReportHandler {
 public:
  /** Maximum number of quarantines of each kind in one report. */
  static constexpr std::size_t kMaxQuarantines = 16;

  /** All references must outlive this object. `seeds` are contacted while no peer is known. */
  ReportExchange(ReportTransport& transport,
                 Scheduler& scheduler,
                 const Clock& clock,
                 InstanceDirectory& instances,
                 StoreMirror& mirror,
                 ReportSink& sink,
                 Logger& logger,
                 std::vector<NetworkAddress> seeds,
                 ReportExchangeSettings settings);

  void Start();

  /** Sets the requests in flight of this instance for the next reports. */
  void SetUses(LoadTracker::Uses own) { m_uses = std::move(own); }

  /** Sets what this instance has counted of the lengths of answers, for the next reports. */
  void SetAnswerLengths(const std::vector<AnswerLengthRow>& changed) {
    m_answer_lengths.SetOwn(changed);
  }

  /** Reports a server's statement to the peers for a short time. */
  void AddServerState(const ServerStateReport& state) {
    m_server_states[state.server] = {m_clock.Now(), state};
  }

  /** Sets the slow servers for the next reports, found by this instance or reported by peers. */
  void SetSlowServers(std::vector<SlowdownReport> servers) { m_slow_servers = std::move(servers); }

  /** Sets the limits that servers gave, for the next reports. */
  void SetServerLimits(std::vector<ServerLimitReport> limits) {
    m_server_limits = std::move(limits);
  }

  /** Sets the limits and reports them at once: to the own domain and the relays of other domains if
      `found_here`, else only from a relay to its members. */
  void SendServerLimits(std::vector<ServerLimitReport> limits, bool found_here);

  /** Reports a stalled server at once to the own domain and the relays of other domains, which
      forward it to their members. */
  void SendStall(const BackendServerName& server);

  /** Reports requests in flight at a crash at once, as SendStall does. */
  void SendCrashes(const std::vector<CrashReport>& crashes);

  /** Reports at once that suspects don't crash servers. */
  void SendCleared(const std::vector<ClearedRequest>& requests);

  /** Sets what this instance refuses, for the next reports. Of each kind the first kMaxQuarantines
      are reported. */
  void SetQuarantines(std::vector<QuarantineReport> quarantines);

  /** Reports a new revision of the mirror at once to the instances that depend on this one. */
  void SendRevision();

  void SendLeaving();

  /** Whether this instance should watch the store: it is an assigned store watcher, has had no
      recent sign of one, or lacks for long what peers have. */
  bool ShouldWatchStore() const;

  /** Since when this instance has lacked records that peers have, in ms, or "no"; for the log. */
  std::string DescribeTimeBehind() const;

  /** The time since a store watcher was in contact, in ms, or "never"; for the log. */
  std::string DescribeStoreWatcherAge() const;

  bool IsAssignedStoreWatcher() const { return m_relays.IsStoreWatcher(); }
  std::size_t StoreWatchRank() const { return m_relays.StoreWatchRank(); }
  std::size_t StoreWatchers() const { return m_relays.StoreWatchers(); }

  /** Whether a peer reported recently that its store calls succeed. */
  bool AnyPeerSeesStableStore() const;

  /** Whether the store has served this instance or, as reported recently, a peer for so long that
      entries that lapsed in an outage would be back. */
  bool IsStoreSettled() const;

  MirrorDelta OnReport(const InstanceReport& report) override;

 private:
  enum class Recipient { kMember, kOwnRelay, kRemoteRelay };

  void Tick();
  void ReportToSeeds();
  void SendAsRelay();
  InstanceReport MakeReport(Recipient recipient);
  void AddLoads(Recipient recipient, InstanceReport& report);
  void SendToMembersInTurn();
  void SendToMembers();
  void SendToOwnDomain();
  void SendToRelays(Recipient recipient, const std::vector<Instance>& relays);
  void Send(const Instance& peer, Recipient recipient, InstanceReport report);
  Recipient RecipientTypeOf(const Instance& peer) const;

  /** How long a relay or the sign of a store watcher may be missing before this instance replaces
      it. */
  Duration SilenceLimit() const;
  std::uint64_t IntervalsBetweenMemberReports() const;
  std::optional<std::chrono::milliseconds> StoreWatcherAge() const;
  std::optional<std::chrono::milliseconds> StableStoreAge() const;
  std::optional<std::chrono::milliseconds> SettledStoreAge() const;
  void ApplyLoads(const InstanceReport& report, bool is_same_domain);
  void ApplyAnswerLengths(const InstanceReport& report, bool is_same_domain);
  AnswerLengthScope AnswerLengthScopeFor(Recipient recipient) const;
  void ApplyStalls(const InstanceReport& report);
  void ApplyCrashes(const InstanceReport& report);

  /** Fetches records from `peer` if it is at a newer revision and no other fetch is under way. */
  void FetchIfNewer(const NetworkAddress& peer, StoreRevision revision);

  /** Remembers since when this instance lacks what a peer has. */
  void NoteRevisionOfPeer(StoreRevision revision);
  std::optional<Duration> TimeBehind() const;
  void LogNotFetched(const NetworkAddress& peer, StoreRevision wanted, const Error& error) const;

  ReportTransport& m_transport;
  Scheduler& m_scheduler;
  const Clock& m_clock;
  InstanceDirectory& m_instances;
  StoreMirror& m_mirror;
  ReportSink& m_sink;
  Logger& m_logger;
  const std::vector<NetworkAddress> m_seeds;
  const ReportExchangeSettings m_settings;
  RelayDirectory m_relays;
  MemberLoads m_member_loads;
  AnswerLengthExchange m_answer_lengths;
  LoadTracker::Uses m_uses;

  /** Used by a relay: the sum over the own domain including this instance. */
  LoadTracker::Uses m_domain_sum;
  std::vector<SlowdownReport> m_slow_servers;
  std::vector<ServerLimitReport> m_server_limits;
  std::map<BackendServerName, std::pair<TimePoint, ServerStateReport>> m_server_states;

  /** Used by a relay: the last sums received from other domains, and when. */
  std::map<FailureDomainName, std::pair<TimePoint, LoadTracker::Uses>> m_other_domains;
  NewsMemory<BackendServerName> m_known_stalls;

  /** What is passed on, and when it was seen. */
  std::map<BackendServerName, TimePoint> m_stalls;
  CrashNews m_crash_news;
  std::vector<QuarantineReport> m_quarantines;
  bool m_leaving = false;
  TimePoint m_started_at{};
  std::optional<TimePoint> m_store_watcher_seen_at;
  std::optional<TimePoint> m_stable_store_seen_at;
  std::optional<TimePoint> m_settled_store_seen_at;
  std::optional<TimePoint> m_fetch_began_at;

  /** The first revision of a peer that this instance did not reach since, and when it was heard. */
  std::optional<std::pair<StoreRevision, TimePoint>> m_lacks;
  std::uint64_t m_fetch_number = 0;
  StoreRevision m_sent_revision;
  std::uint64_t m_ticks = 0;
  std::size_t m_next_member = 0;
  std::unique_ptr<ScheduledCall> m_timer;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace zinnia
