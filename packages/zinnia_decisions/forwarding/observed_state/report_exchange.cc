#include "zinnia_decisions/forwarding/observed_state/report_exchange.h"

#include <algorithm>
#include <utility>

#include "zinnia_base/logging/logger.h"
#include "zinnia_decisions/forwarding/observed_state/instance_directory.h"
#include "zinnia_decisions/forwarding/observed_state/server_directory.h"
#include "zinnia_decisions/forwarding/observed_state/store_mirror.h"
#include "zinnia_decisions/once/alive_guard.h"

namespace zinnia {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/** Stalls are reported for this long; older ones have ended or been handled. */
constexpr Duration kStallReportLifetime = std::chrono::seconds(1);

/** How long a server's statement is reported: long enough for a report to each peer. Every receiver
    repeats it for as long, so it must be short beside the time between two changes of a server. */
constexpr Duration kServerStateLifetime = milliseconds(600);

/** Added to the intervals of two relays, for slow links and busy processors. Changes must be in
    force within two seconds in small fleets and four in large ones, also if this instance has to
    start watching the store itself. */
constexpr Duration kSilenceAllowance = milliseconds(800);

/** Added to that for the store's last word to a store watcher: what it is old by the time when the
   next of them hears again, beyond what kSilenceAllowance covers. */
constexpr Duration kStoreWordAge = milliseconds(150);

/** After this time another peer may be asked; long enough for 250 kB on a shared 20 Mbit/s link. */
constexpr Duration kFetchTimeout = milliseconds(700);

/** After lacking what peers have for so long, an instance asks the store itself: it hears reports,
   and so of store watchers, although it can't fetch. Outlasts one fetch that gets no answer. */
constexpr Duration kLongestBehind = milliseconds(800);

/** Outlasts the loss of a few reports. */
constexpr Duration kStableStoreLifetime = milliseconds(1'200);

std::optional<milliseconds> AgeOf(const std::optional<TimePoint>& seen_at, TimePoint now) {
  if (!seen_at) {
    return std::nullopt;
  }
  return duration_cast<milliseconds>(now - *seen_at);
}

void UpdateSeenAt(const std::optional<milliseconds>& age,
                  TimePoint now,
                  std::optional<TimePoint>& seen_at) {
  if (age && (!seen_at || now - *age > *seen_at)) {
    seen_at = now - *age;
  }
}

}  // namespace

ReportExchange::ReportExchange(ReportTransport& transport,
                               Scheduler& scheduler,
                               const Clock& clock,
                               InstanceDirectory& instances,
                               StoreMirror& mirror,
                               ReportSink& sink,
                               Logger& logger,
                               std::vector<NetworkAddress> seeds,
                               ReportExchangeSettings settings)
    : m_transport(transport),
      m_scheduler(scheduler),
      m_clock(clock),
      m_instances(instances),
      m_mirror(mirror),
      m_sink(sink),
      m_logger(logger),
      m_seeds(std::move(seeds)),
      m_settings(settings),
      m_relays(clock, instances),
      m_member_loads(clock),
      m_answer_lengths(clock),
      m_known_stalls(clock),
      m_crash_news(clock) {}

void ReportExchange::Start() {
  m_started_at = m_clock.Now();
  Tick();
}

std::uint64_t ReportExchange::IntervalsBetweenMemberReports() const {
  const auto wanted = m_settings.interval_per_member * m_relays.Members().size();
  const auto intervals = (wanted + m_settings.interval / 2) / m_settings.interval;
  return std::max<std::uint64_t>(1, static_cast<std::uint64_t>(intervals));
}

Duration ReportExchange::SilenceLimit() const {
  return kSilenceAllowance + 2 * m_settings.interval * IntervalsBetweenMemberReports();
}

void ReportExchange::Tick() {
  // First, or whatever throws below would end all later reports.
  m_timer = m_scheduler.ScheduleAfter(m_settings.interval, [this] { Tick(); });
  m_relays.Refresh(SilenceLimit());
  if (m_relays.Members().empty() && m_relays.RemoteRelays().empty()) {
    ReportToSeeds();
  }
  if (m_relays.IsRelay()) {
    SendAsRelay();
  } else if (m_ticks % IntervalsBetweenMemberReports() == 0) {
    SendToRelays(Recipient::kOwnRelay, m_relays.OwnRelays());
  }
  ++m_ticks;
}

void ReportExchange::ReportToSeeds() {
  for (const NetworkAddress& seed : m_seeds) {
    if (seed != m_instances.Self().peer_address) {
      Instance unknown;
      unknown.peer_address = seed;
      Send(unknown, Recipient::kOwnRelay, MakeReport(Recipient::kOwnRelay));
    }
  }
}

void ReportExchange::SendAsRelay() {
  m_domain_sum = m_member_loads.Sum(m_uses);
  m_sink.OnDomainUses(m_instances.Self().failure_domain, m_member_loads.Sum({}));
  m_sink.OnPeerAnswerLengths(
      m_answer_lengths.ReportFor(AnswerLengthScope::kOthers, m_instances.Self().name, true).rows);
  SendToMembersInTurn();
  const auto inter_domain_ticks =
      static_cast<std::uint64_t>(m_settings.inter_domain_interval / m_settings.interval);
  if (m_relays.IsFirstRelay() && m_ticks % inter_domain_ticks == 0) {
    SendToRelays(Recipient::kRemoteRelay, m_relays.RemoteRelays());
    SendToRelays(Recipient::kRemoteRelay, m_relays.SilentRemoteRelays());
  }
}

/** Sends to a part of the members in each interval, so that a relay's load is even. */
void ReportExchange::SendToMembersInTurn() {
  const std::vector<Instance>& members = m_relays.Members();
  const std::size_t parts = IntervalsBetweenMemberReports();
  const std::size_t count = (members.size() + parts - 1) / parts;
  const InstanceReport report = MakeReport(Recipient::kMember);
  for (std::size_t sent = 0; sent < count; ++sent) {
    const Instance& member = members[m_next_member++ % members.size()];
    Send(member, RecipientTypeOf(member), report);
  }
}

void ReportExchange::SendToMembers() {
  const InstanceReport report = MakeReport(Recipient::kMember);
  for (const Instance& member : m_relays.Members()) {
    Send(member, RecipientTypeOf(member), report);
  }
}

void ReportExchange::SendToOwnDomain() {
  if (m_relays.IsRelay()) {
    SendToMembers();
  } else {
    SendToRelays(Recipient::kOwnRelay, m_relays.OwnRelays());
  }
}

void ReportExchange::SendToRelays(Recipient recipient, const std::vector<Instance>& relays) {
  const InstanceReport report = MakeReport(recipient);
  for (const Instance& relay : relays) {
    Send(relay, recipient, report);
  }
}

ReportExchange::Recipient ReportExchange::RecipientTypeOf(const Instance& peer) const {
  const std::vector<Instance>& own = m_relays.OwnRelays();
  const bool is_relay = std::any_of(own.begin(), own.end(),
                                    [&](const Instance& relay) { return relay.name == peer.name; });
  return is_relay ? Recipient::kOwnRelay : Recipient::kMember;
}

std::optional<milliseconds> ReportExchange::StoreWatcherAge() const {
  const TimePoint now = m_clock.Now();
  std::optional<TimePoint> seen_at = m_store_watcher_seen_at;
  if (m_mirror.IsWatching()) {
    UpdateSeenAt(AgeOf(m_mirror.Contact().LastAnswer(), now), now, seen_at);
  }
  return AgeOf(seen_at, now);
}

std::string ReportExchange::DescribeStoreWatcherAge() const {
  const auto age = AgeOf(m_store_watcher_seen_at, m_clock.Now());
  return age ? std::to_string(age->count()) : "never";
}

std::optional<milliseconds> ReportExchange::StableStoreAge() const {
  if (m_mirror.Contact().IsStableFor(ServerDirectory::kRemovalGracePeriod)) {
    return milliseconds(0);
  }
  return AgeOf(m_stable_store_seen_at, m_clock.Now());
}

std::optional<milliseconds> ReportExchange::SettledStoreAge() const {
  if (m_mirror.Contact().HasServedFor(ServerDirectory::kRemovalGracePeriod)) {
    return milliseconds(0);
  }
  return AgeOf(m_settled_store_seen_at, m_clock.Now());
}

bool ReportExchange::IsStoreSettled() const {
  const auto age = SettledStoreAge();
  return age && *age < kStableStoreLifetime;
}

void ReportExchange::AddLoads(Recipient recipient, InstanceReport& report) {
  const FailureDomainName& own = m_instances.Self().failure_domain;
  if (!m_relays.IsRelay()) {
    report.uses = m_uses;
    return;
  }
  const std::uint64_t intervals = IntervalsBetweenMemberReports();
  const bool includes_sums =
      intervals == 1 || m_ticks / intervals % m_settings.reports_between_sums == 0;
  report.domain_uses[own] = m_domain_sum;
  if (recipient == Recipient::kRemoteRelay) {
    return;
  }
  report.uses = m_uses;
  if (includes_sums) {
    for (const auto& [domain, uses] : m_other_domains) {
      if (m_clock.Now() - uses.first < LoadTracker::kReportLifetime) {
        report.domain_uses[domain] = uses.second;
      }
    }
  }
}

InstanceReport ReportExchange::MakeReport(Recipient recipient) {
  const TimePoint now = m_clock.Now();
  std::erase_if(m_stalls,
                [now](const auto& stall) { return now - stall.second > kStallReportLifetime; });
  InstanceReport report;
  report.instance = m_instances.Self();
  report.revision = m_mirror.IsFilled() ? m_mirror.Revision() : StoreRevision();
  AddLoads(recipient, report);
  std::erase_if(m_server_states, [now](const auto& entry) {
    return now - entry.second.first > kServerStateLifetime;
  });
  for (const auto& [server, timed_state] : m_server_states) {
    report.server_states.push_back(timed_state.second);
  }
  report.slow_servers = m_slow_servers;
  report.server_limits = m_server_limits;
  report.crashes = m_crash_news.Recent();
  report.cleared_requests = m_crash_news.RecentlyCleared();
  report.quarantines = m_quarantines;
  report.leaving = m_leaving;
  report.store_watcher_age = StoreWatcherAge();
  report.stable_store_age = StableStoreAge();
  report.settled_store_age = SettledStoreAge();
  for (const auto& [server, seen_at] : m_stalls) {
    report.stalls.push_back({server, duration_cast<milliseconds>(now - seen_at)});
  }
  return report;
}

void ReportExchange::Send(const Instance& peer, Recipient recipient, InstanceReport report) {
  const FailureDomainName& own = m_instances.Self().failure_domain;
  const auto sum = report.domain_uses.find(own);
  if (sum != report.domain_uses.end() && recipient != Recipient::kRemoteRelay) {
    sum->second = m_member_loads.SumWithout(peer.name, sum->second);
  }
  if (recipient == Recipient::kMember && m_relays.IsRelay()) {
    report.uses.clear();
  }
  report.answer_lengths = m_answer_lengths.ReportFor(AnswerLengthScopeFor(recipient), peer.name);
  m_transport.Exchange(
      peer.peer_address, report,
      WhileAlive(m_alive, [this, address = peer.peer_address](const Result<MirrorDelta>& answer) {
        if (answer) {
          FetchIfNewer(address, answer->revision);
        }
      }));
}

void ReportExchange::NoteRevisionOfPeer(StoreRevision revision) {
  if (TimeBehind()) {
    return;
  }
  m_lacks.reset();
  if (revision > m_mirror.Revision() && m_mirror.IsPlausibleEra(revision.era)) {
    m_lacks.emplace(revision, m_clock.Now());
  }
}

std::optional<Duration> ReportExchange::TimeBehind() const {
  if (!m_lacks || m_lacks->first <= m_mirror.Revision()) {
    return std::nullopt;
  }
  return m_clock.Now() - m_lacks->second;
}

std::string ReportExchange::DescribeTimeBehind() const {
  const auto behind = TimeBehind();
  return behind ? std::to_string(duration_cast<milliseconds>(*behind).count()) : "no";
}

void ReportExchange::FetchIfNewer(const NetworkAddress& peer, StoreRevision revision) {
  NoteRevisionOfPeer(revision);
  const TimePoint now = m_clock.Now();
  const bool is_behind =
      revision > m_mirror.Revision() || (revision != StoreRevision() && !m_mirror.IsFilled());
  if (!is_behind || !m_mirror.IsPlausibleEra(revision.era) ||
      (m_fetch_began_at && now - *m_fetch_began_at < kFetchTimeout)) {
    return;
  }
  m_fetch_began_at = now;
  const std::uint64_t number = ++m_fetch_number;
  InstanceReport report;
  report.instance = m_instances.Self();
  report.revision = m_mirror.IsFilled() ? m_mirror.Revision() : StoreRevision();
  report.wants_records = true;
  m_transport.Exchange(
      peer, report,
      WhileAlive(m_alive, [this, number, peer, revision](const Result<MirrorDelta>& delta) {
        if (number == m_fetch_number) {
          m_fetch_began_at.reset();
        }
        if (delta) {
          m_mirror.Merge(*delta);
        } else {
          LogNotFetched(peer, revision, delta.error());
        }
      }));
}

void ReportExchange::LogNotFetched(const NetworkAddress& peer,
                                   StoreRevision wanted,
                                   const Error& error) const {
  m_logger.Log(LogLevel::kWarning, "records_not_fetched",
               {{"peer", peer.ToString()},
                {"wanted", std::to_string(wanted.number)},
                {"revision", std::to_string(m_mirror.Revision().number)},
                {"reason", Describe(error)}});
}

void ReportExchange::SendStall(const BackendServerName& server) {
  const bool is_new = !m_stalls.contains(server);
  m_stalls[server] = m_clock.Now();
  m_known_stalls.Learn(server, m_clock.Now());
  if (!is_new) {
    return;
  }
  SendToOwnDomain();
  SendToRelays(Recipient::kRemoteRelay, m_relays.RemoteRelays());
}

void ReportExchange::SendCrashes(const std::vector<CrashReport>& crashes) {
  if (m_crash_news.TakeNew(crashes).empty()) {
    return;
  }
  SendToOwnDomain();
  SendToRelays(Recipient::kRemoteRelay, m_relays.RemoteRelays());
}

void ReportExchange::SendCleared(const std::vector<ClearedRequest>& requests) {
  if (m_crash_news.TakeNewlyCleared(requests).empty()) {
    return;
  }
  SendToOwnDomain();
  SendToRelays(Recipient::kRemoteRelay, m_relays.RemoteRelays());
}

void ReportExchange::SetQuarantines(std::vector<QuarantineReport> quarantines) {
  std::map<SuspectKind, std::size_t> counts;
  std::erase_if(quarantines, [&counts](const QuarantineReport& quarantine) {
    return ++counts[quarantine.kind] > kMaxQuarantines;
  });
  m_quarantines = std::move(quarantines);
}

void ReportExchange::SendServerLimits(std::vector<ServerLimitReport> limits, bool found_here) {
  SetServerLimits(std::move(limits));
  if (found_here) {
    SendToOwnDomain();
    SendToRelays(Recipient::kRemoteRelay, m_relays.RemoteRelays());
  } else if (m_relays.IsRelay()) {
    SendToMembers();
  }
}

void ReportExchange::SendRevision() {
  if (m_mirror.Revision() <= m_sent_revision) {
    return;
  }
  m_sent_revision = m_mirror.Revision();
  if (m_relays.IsRelay()) {
    SendToMembers();
  } else if (m_mirror.IsWatching()) {
    SendToRelays(Recipient::kOwnRelay, m_relays.OwnRelays());
  }
  if (m_relays.IsStoreWatcher()) {
    SendToRelays(Recipient::kRemoteRelay, m_relays.RemoteRelays());
  }
}

void ReportExchange::SendLeaving() {
  m_leaving = true;
  SendToOwnDomain();
  if (m_relays.IsRelay()) {
    SendToRelays(Recipient::kRemoteRelay, m_relays.RemoteRelays());
  }
}

bool ReportExchange::ShouldWatchStore() const {
  const TimePoint last_seen = m_store_watcher_seen_at.value_or(m_started_at);
  const auto behind = TimeBehind();
  return m_relays.IsStoreWatcher() || (behind && *behind >= kLongestBehind) ||
         m_clock.Now() - last_seen >= SilenceLimit() + kStoreWordAge;
}

bool ReportExchange::AnyPeerSeesStableStore() const {
  return m_stable_store_seen_at && m_clock.Now() - *m_stable_store_seen_at < kStableStoreLifetime;
}

void ReportExchange::ApplyLoads(const InstanceReport& report, bool is_same_domain) {
  if (is_same_domain) {
    m_member_loads.Set(report.instance.name, report.uses);
  }
  const FailureDomainName& own = m_instances.Self().failure_domain;
  for (const auto& [domain, uses] : report.domain_uses) {
    // A relay computes the sum over its own domain itself.
    if (domain == own && (!is_same_domain || m_relays.IsRelay())) {
      continue;
    }
    if (!is_same_domain) {
      m_other_domains[domain] = {m_clock.Now(), uses};
    }
    m_sink.OnDomainUses(domain, uses);
  }
}

AnswerLengthScope ReportExchange::AnswerLengthScopeFor(Recipient recipient) const {
  if (!m_relays.IsRelay() || recipient == Recipient::kOwnRelay) {
    return AnswerLengthScope::kSender;
  }
  return recipient == Recipient::kMember ? AnswerLengthScope::kOthers : AnswerLengthScope::kDomain;
}

void ReportExchange::ApplyAnswerLengths(const InstanceReport& report, bool is_same_domain) {
  const AnswerLengthReport& lengths = report.answer_lengths;
  const bool is_new = m_answer_lengths.Apply(report.instance, is_same_domain, lengths);
  // A relay adds up the others itself.
  if (is_new && is_same_domain && lengths.scope == AnswerLengthScope::kOthers &&
      !m_relays.IsRelay()) {
    m_sink.OnPeerAnswerLengths(lengths.rows);
  }
}

void ReportExchange::ApplyStalls(const InstanceReport& report) {
  std::vector<StallReport> new_stalls;
  for (const StallReport& stall : report.stalls) {
    const TimePoint seen_at = m_clock.Now() - stall.age;
    if (!m_stalls.contains(stall.server) && m_known_stalls.Learn(stall.server, seen_at)) {
      m_stalls[stall.server] = seen_at;
      new_stalls.push_back(stall);
    }
  }
  if (new_stalls.empty()) {
    return;
  }
  m_sink.OnPeerStalls(new_stalls);
  if (m_relays.IsRelay()) {
    SendToMembers();
  }
}

void ReportExchange::ApplyCrashes(const InstanceReport& report) {
  const std::vector<CrashReport> new_crashes = m_crash_news.TakeNew(report.crashes);
  const std::vector<ClearedRequest> cleared =
      m_crash_news.TakeNewlyCleared(report.cleared_requests);
  if (!new_crashes.empty()) {
    m_sink.OnPeerCrashes(new_crashes);
  }
  if (!report.quarantines.empty()) {
    m_sink.OnPeerQuarantines(report.quarantines);
  }
  if (!cleared.empty()) {
    m_sink.OnPeerCleared(cleared);
  }
  if (m_relays.IsRelay() && (!new_crashes.empty() || !cleared.empty())) {
    SendToMembers();
  }
}

MirrorDelta ReportExchange::OnReport(const InstanceReport& report) {
  const TimePoint now = m_clock.Now();
  if (report.leaving) {
    m_instances.OnPeerLeft(report.instance.name);
  } else {
    m_instances.OnPeerSeen(report.instance);
  }
  UpdateSeenAt(report.store_watcher_age, now, m_store_watcher_seen_at);
  UpdateSeenAt(report.stable_store_age, now, m_stable_store_seen_at);
  UpdateSeenAt(report.settled_store_age, now, m_settled_store_seen_at);
  if (report.wants_records) {
    return m_mirror.IsFilled() && report.revision < m_mirror.Revision()
               ? m_mirror.ChangesAfter(report.revision)
               : MirrorDelta{};
  }
  const bool is_same_domain = report.instance.failure_domain == m_instances.Self().failure_domain;
  ApplyLoads(report, is_same_domain);
  ApplyAnswerLengths(report, is_same_domain);
  for (const ServerStateReport& state : report.server_states) {
    m_sink.OnPeerServerState(state);
  }
  if (!report.slow_servers.empty()) {
    m_sink.OnPeerSlowdowns(report.slow_servers);
  }
  if (!report.server_limits.empty()) {
    m_sink.OnPeerServerLimits(report.server_limits);
  }
  ApplyStalls(report);
  ApplyCrashes(report);
  if (!report.leaving) {
    FetchIfNewer(report.instance.peer_address, report.revision);
  }
  MirrorDelta revision_only;
  revision_only.revision = m_mirror.IsFilled() ? m_mirror.Revision() : StoreRevision();
  return revision_only;
}

}  // namespace zinnia
