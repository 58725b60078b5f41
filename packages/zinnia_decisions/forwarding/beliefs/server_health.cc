#include "zinnia_decisions/forwarding/beliefs/server_health.h"

#include <algorithm>
#include <cmath>

namespace zinnia {
namespace {

/** The weight of one outcome: five failures in a row bring the share to about 0.8. */
constexpr double kOutcomeWeight = 0.28;

/** Half of the evidence is forgotten in this time, so a recovered server is tried within seconds.
 */
constexpr std::chrono::duration<double> kHalfLife{3.0};

/** Waiting requests come and go faster. */
constexpr std::chrono::duration<double> kDelayHalfLife{0.7};

/** A request that tries a suspect server has this long to get through before the next one may:
   about the time of a first event, and of finding that a server is silent. */
constexpr Duration kTryOfSuspect = std::chrono::milliseconds(500);

/** A suspect that may still be dead is asked again after this. */
constexpr Duration kSuspectAskedAgainAfter = std::chrono::milliseconds(500);

/** A server's word on its pace counts for this long; its own values lag by some hundred ms. */
constexpr Duration kPaceLifetime = std::chrono::seconds(3);

/** A server is not asked again before this. Slow servers stay so for seconds. */
constexpr Duration kPaceAskedAgainAfter = std::chrono::milliseconds(500);

/** From this pace on a server is worth telling of. */
constexpr double kSlowPace = 1.3;

/** Records of servers that have left are dropped beyond this number. */
constexpr std::size_t kMostRecords = 4'096;

}  // namespace

ServerHealth::Record& ServerHealth::Touch(const BackendServerName& server) {
  const TimePoint now = m_clock.Now();
  if (m_records.size() >= kMostRecords) {
    std::erase_if(m_records,
                  [now](const auto& entry) { return entry.second.excluded_until < now; });
  }
  Record& record = m_records[server];
  const std::chrono::duration<double> age = now - record.changed_at;
  record.failure_share *= std::exp2(-age / kHalfLife);
  record.first_event_ms *= std::exp2(-age / kDelayHalfLife);
  record.changed_at = now;
  return record;
}

void ServerHealth::Exclude(const BackendServerName& server, Duration duration) {
  Record& record = Touch(server);
  record.excluded_until = std::max(record.excluded_until, m_clock.Now() + duration);
}

void ServerHealth::ExcludeLonger(const BackendServerName& server,
                                 Duration first,
                                 Duration longest) {
  if (IsExcluded(server)) {
    return;  // Requests that were on their way together are one refusal.
  }
  Record& record = Touch(server);
  record.last_exclusion = std::clamp(record.last_exclusion * 2, first, longest);
  record.excluded_until = m_clock.Now() + record.last_exclusion;
}

void ServerHealth::Suspect(const BackendServerName& server, Duration duration) {
  Exclude(server, duration);
  Record& record = m_records[server];
  record.is_suspect = true;
  record.has_answered = false;
}

std::vector<BackendServerName> ServerHealth::TakeSuspectsToAsk() {
  const TimePoint now = m_clock.Now();
  std::vector<BackendServerName> due;
  for (auto& [server, record] : m_records) {
    if (record.is_suspect && !record.has_answered && now >= record.excluded_until &&
        now >= record.next_question_at) {
      record.next_question_at = now + kSuspectAskedAgainAfter;
      due.push_back(server);
    }
  }
  return due;
}

void ServerHealth::OnAnswered(const BackendServerName& server) {
  const auto record = m_records.find(server);
  if (record != m_records.end()) {
    record->second.has_answered = true;
  }
}

void ServerHealth::OnTried(const BackendServerName& server) {
  const auto record = m_records.find(server);
  if (record != m_records.end() && record->second.is_suspect) {
    record->second.next_try_at = m_clock.Now() + kTryOfSuspect;
  }
}

void ServerHealth::OnReached(const BackendServerName& server) {
  const auto record = m_records.find(server);
  if (record != m_records.end()) {
    record->second.is_suspect = false;
    record->second.last_exclusion = Duration::zero();
  }
}

void ServerHealth::OnOutcome(const BackendServerName& server, bool good) {
  Record& record = Touch(server);
  const double value = good ? 0.0 : 1.0;
  record.failure_share += kOutcomeWeight * (value - record.failure_share);
}

void ServerHealth::OnFirstEvent(const BackendServerName& server, Duration delay) {
  Record& record = Touch(server);
  const std::chrono::duration<double, std::milli> milliseconds = delay;
  record.first_event_ms += kOutcomeWeight * (milliseconds.count() - record.first_event_ms);
}

Duration ServerHealth::FirstEventDelay(const BackendServerName& server) const {
  const auto record = m_records.find(server);
  if (record == m_records.end()) {
    return Duration::zero();
  }
  const std::chrono::duration<double> age = m_clock.Now() - record->second.changed_at;
  const std::chrono::duration<double, std::milli> delay(record->second.first_event_ms *
                                                        std::exp2(-age / kDelayHalfLife));
  return std::chrono::duration_cast<Duration>(delay);
}

void ServerHealth::NotePace(const SlowdownReport& news) {
  Record& record = Touch(news.server);
  const TimePoint known_at = m_clock.Now() - news.age;
  if (!record.pace_known_at || known_at >= *record.pace_known_at) {
    record.pace = std::max(1.0, news.slowdown_factor);
    record.pace_known_at = known_at;
  }
}

double ServerHealth::Pace(const BackendServerName& server) const {
  const auto record = m_records.find(server);
  const bool is_known = record != m_records.end() && record->second.pace_known_at &&
                        m_clock.Now() - *record->second.pace_known_at < kPaceLifetime;
  return is_known ? record->second.pace : 1.0;
}

bool ServerHealth::TakePaceQuestion(const BackendServerName& server) {
  Record& record = Touch(server);
  const TimePoint now = m_clock.Now();
  const auto is_fresh = [now](const std::optional<TimePoint>& at) {
    return at && now - *at < kPaceAskedAgainAfter;
  };
  if (is_fresh(record.pace_known_at) || is_fresh(record.pace_asked_at)) {
    return false;
  }
  record.pace_asked_at = now;
  return true;
}

std::vector<SlowdownReport> ServerHealth::SlowServers() const {
  std::vector<SlowdownReport> slow;
  for (const auto& [server, record] : m_records) {
    if (Pace(server) >= kSlowPace) {
      slow.push_back({server, record.pace,
                      std::chrono::duration_cast<std::chrono::milliseconds>(
                          m_clock.Now() - *record.pace_known_at)});
    }
  }
  return slow;
}

bool ServerHealth::IsExcluded(const BackendServerName& server) const {
  const auto record = m_records.find(server);
  if (record == m_records.end()) {
    return false;
  }
  const TimePoint now = m_clock.Now();
  const bool may_be_tried = record->second.has_answered && now >= record->second.next_try_at;
  return now < record->second.excluded_until || (record->second.is_suspect && !may_be_tried);
}

double ServerHealth::FailureShare(const BackendServerName& server) const {
  const auto record = m_records.find(server);
  if (record == m_records.end()) {
    return 0.0;
  }
  const std::chrono::duration<double> age = m_clock.Now() - record->second.changed_at;
  return record->second.failure_share * std::exp2(-age / kHalfLife);
}

}  // namespace zinnia
