#include "zinnia_decisions/forwarding/observed_state/server_health.h"

#include <algorithm>
#include <cmath>

namespace zinnia {
namespace {

/** Weight of one outcome in the moving average: five consecutive failures raise it to about 0.8. */
constexpr double kOutcomeWeight = 0.28;

/** Half-life of the failure rate. A recovered server is tried again within seconds. */
constexpr std::chrono::duration<double> kHalfLife{3.0};

/** Half-life of the first-event delay; shorter, since queues change faster than failure rates. */
constexpr std::chrono::duration<double> kDelayHalfLife{0.7};

/** Minimum interval between attempts at a suspect server. Covers the delay of a first event and the
    detection of a silent server. */
constexpr Duration kSuspectAttemptInterval = std::chrono::milliseconds(500);

/** Minimum interval between probes of a suspect server. */
constexpr Duration kSuspectProbeInterval = std::chrono::milliseconds(500);

/** A server's report of its slowdown expires after this time. */
constexpr Duration kSlowdownLifetime = std::chrono::seconds(3);

/** Minimum interval between slowdown queries to a server. Slow servers stay slow for seconds. */
constexpr Duration kSlowdownQueryInterval = std::chrono::milliseconds(500);

/** Servers with at least this slowdown factor are reported as slow. */
constexpr double kSlowServerThreshold = 1.3;

/** Records of servers that aren't excluded are removed once there are this many. */
constexpr std::size_t kMaxRecords = 4'096;

}  // namespace

ServerHealth::Record& ServerHealth::UpdateRecord(const BackendServerName& server) {
  const TimePoint now = m_clock.Now();
  if (m_records.size() >= kMaxRecords) {
    std::erase_if(m_records,
                  [now](const auto& entry) { return entry.second.excluded_until < now; });
  }
  Record& record = m_records[server];
  const std::chrono::duration<double> age = now - record.updated_at;
  record.failure_rate *= std::exp2(-age / kHalfLife);
  record.first_event_ms *= std::exp2(-age / kDelayHalfLife);
  record.updated_at = now;
  return record;
}

void ServerHealth::Exclude(const BackendServerName& server, Duration duration) {
  Record& record = UpdateRecord(server);
  record.excluded_until = std::max(record.excluded_until, m_clock.Now() + duration);
}

void ServerHealth::ExcludeWithBackoff(const BackendServerName& server,
                                      Duration first,
                                      Duration longest) {
  if (IsExcluded(server)) {
    return;  // Concurrent requests that were refused together count as one refusal.
  }
  Record& record = UpdateRecord(server);
  record.last_exclusion = std::clamp(record.last_exclusion * 2, first, longest);
  record.excluded_until = m_clock.Now() + record.last_exclusion;
}

void ServerHealth::MarkSuspect(const BackendServerName& server, Duration duration) {
  Exclude(server, duration);
  Record& record = m_records[server];
  record.is_suspect = true;
  record.has_answered = false;
}

std::vector<BackendServerName> ServerHealth::TakeSuspectsToProbe() {
  const TimePoint now = m_clock.Now();
  std::vector<BackendServerName> due;
  for (auto& [server, record] : m_records) {
    if (record.is_suspect && !record.has_answered && now >= record.excluded_until &&
        now >= record.next_probe_at) {
      record.next_probe_at = now + kSuspectProbeInterval;
      due.push_back(server);
    }
  }
  return due;
}

void ServerHealth::OnProbeAnswered(const BackendServerName& server) {
  const auto record = m_records.find(server);
  if (record != m_records.end()) {
    record->second.has_answered = true;
  }
}

void ServerHealth::OnAttempt(const BackendServerName& server) {
  const auto record = m_records.find(server);
  if (record != m_records.end() && record->second.is_suspect) {
    record->second.next_attempt_at = m_clock.Now() + kSuspectAttemptInterval;
  }
}

void ServerHealth::OnProgress(const BackendServerName& server) {
  const auto record = m_records.find(server);
  if (record != m_records.end()) {
    record->second.is_suspect = false;
    record->second.last_exclusion = Duration::zero();
  }
}

void ServerHealth::OnOutcome(const BackendServerName& server, bool succeeded) {
  Record& record = UpdateRecord(server);
  const double value = succeeded ? 0.0 : 1.0;
  record.failure_rate += kOutcomeWeight * (value - record.failure_rate);
}

void ServerHealth::OnFirstEvent(const BackendServerName& server, Duration delay) {
  Record& record = UpdateRecord(server);
  const std::chrono::duration<double, std::milli> milliseconds = delay;
  record.first_event_ms += kOutcomeWeight * (milliseconds.count() - record.first_event_ms);
}

Duration ServerHealth::FirstEventDelay(const BackendServerName& server) const {
  const auto record = m_records.find(server);
  if (record == m_records.end()) {
    return Duration::zero();
  }
  const std::chrono::duration<double> age = m_clock.Now() - record->second.updated_at;
  const std::chrono::duration<double, std::milli> delay(record->second.first_event_ms *
                                                        std::exp2(-age / kDelayHalfLife));
  return std::chrono::duration_cast<Duration>(delay);
}

void ServerHealth::OnSlowdownReport(const SlowdownReport& report) {
  Record& record = UpdateRecord(report.server);
  const TimePoint known_at = m_clock.Now() - report.age;
  if (!record.slowdown_known_at || known_at >= *record.slowdown_known_at) {
    record.slowdown = std::max(1.0, report.slowdown_factor);
    record.slowdown_known_at = known_at;
  }
}

double ServerHealth::SlowdownFactor(const BackendServerName& server) const {
  const auto record = m_records.find(server);
  const bool is_known = record != m_records.end() && record->second.slowdown_known_at &&
                        m_clock.Now() - *record->second.slowdown_known_at < kSlowdownLifetime;
  return is_known ? record->second.slowdown : 1.0;
}

bool ServerHealth::TryBeginSlowdownQuery(const BackendServerName& server) {
  Record& record = UpdateRecord(server);
  const TimePoint now = m_clock.Now();
  const auto is_fresh = [now](const std::optional<TimePoint>& at) {
    return at && now - *at < kSlowdownQueryInterval;
  };
  if (is_fresh(record.slowdown_known_at) || is_fresh(record.slowdown_queried_at)) {
    return false;
  }
  record.slowdown_queried_at = now;
  return true;
}

std::vector<SlowdownReport> ServerHealth::SlowServers() const {
  std::vector<SlowdownReport> slow;
  for (const auto& [server, record] : m_records) {
    if (SlowdownFactor(server) >= kSlowServerThreshold) {
      slow.push_back({server, record.slowdown,
                      std::chrono::duration_cast<std::chrono::milliseconds>(
                          m_clock.Now() - *record.slowdown_known_at)});
    }
  }
  return slow;
}

bool ServerHealth::IsSuspect(const BackendServerName& server) const {
  const auto found = m_records.find(server);
  return found != m_records.end() && found->second.is_suspect;
}

bool ServerHealth::IsExcluded(const BackendServerName& server) const {
  const auto record = m_records.find(server);
  if (record == m_records.end()) {
    return false;
  }
  const TimePoint now = m_clock.Now();
  const bool may_be_attempted =
      record->second.has_answered && now >= record->second.next_attempt_at;
  return now < record->second.excluded_until || (record->second.is_suspect && !may_be_attempted);
}

double ServerHealth::FailureRate(const BackendServerName& server) const {
  const auto record = m_records.find(server);
  if (record == m_records.end()) {
    return 0.0;
  }
  const std::chrono::duration<double> age = m_clock.Now() - record->second.updated_at;
  return record->second.failure_rate * std::exp2(-age / kHalfLife);
}

}  // namespace zinnia
