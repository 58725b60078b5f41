#include "zinnia_decisions/forwarding/crashes/request_quarantine.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace zinnia {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr std::size_t kLeastCrashes = 3;

/** A request is proven by so many crashes in a row that they would happen to a harmless one with at
    most this probability, at the rate at which servers crash without it. */
constexpr double kMaxErrorProbability = 1e-6;

/** Span over which that rate is taken. */
constexpr Duration kRateSpan = std::chrono::seconds(10);

/** The rate counts as at most one crash in so many beginnings. */
constexpr double kMaxCoincidence = 0.5;

/** Crashes that don't count by themselves prove the cause when there are so many times more. */
constexpr std::size_t kUncertainCrashFactor = 2;

/** Requests of which peers are told at once that they end well. */
constexpr std::size_t kMaxCleared = 64;

/** Servers that end closer together than this may have a common cause. */
constexpr Duration kCommonCauseWindow = milliseconds(200);

/** Error of times that peers report. Must be short beside the time for which requests run. */
constexpr Duration kTimeTolerance = milliseconds(20);

/** The part of the requests that is evicted at once, as 1 in so many. */
constexpr std::size_t kEvictedPart = 8;

/** How much longer than until a crash a request must run elsewhere to be cleared of it. */
constexpr Duration kSurvivalMargin = std::chrono::seconds(1);

}  // namespace

std::vector<RequestQuarantine::Crash> RequestQuarantine::InOrder(const Request& request) {
  std::vector<Crash> crashes;
  crashes.reserve(request.crashes.size());
  for (const auto& [server, crash] : request.crashes) {
    crashes.push_back(crash);
  }
  std::sort(crashes.begin(), crashes.end(),
            [](const Crash& left, const Crash& right) { return left.at < right.at; });
  return crashes;
}

RequestQuarantine::Evidence RequestQuarantine::EvidenceAgainst(const Request& request) {
  const std::vector<Crash> crashes = InOrder(request);
  const bool is_one_moment =
      !crashes.empty() && crashes.back().at - crashes.front().at < kCommonCauseWindow;
  Evidence evidence;
  std::optional<TimePoint> previous;
  for (const Crash& crash : crashes) {
    const bool is_independent = !previous || crash.sent_at + kTimeTolerance >= *previous;
    const bool may_have_begun =
        crash.onset == CrashOnset::kUnknown && (!previous || !is_one_moment);
    const bool counts = crash.onset == CrashOnset::kBegun || may_have_begun;
    if (is_independent) {
      ++evidence.independent;
      evidence.counted += counts ? 1 : 0;
      previous = crash.at;
    }
  }
  return evidence;
}

bool RequestQuarantine::OnCrash(const CrashReport& report) {
  const TimePoint now = m_clock.Now();
  const TimePoint at = now - report.age;
  if (report.age < milliseconds(0) || now - at >= m_settings.evidence_lifetime) {
    return false;
  }
  if (AddIfCleared(report.request)) {
    return false;
  }
  Request& request = m_requests[report.request];
  const Crash crash{at, at - report.in_flight, report.ran, report.onset};
  const auto [known, is_new] = request.crashes.emplace(report.server, crash);
  if (!is_new) {
    // Had a copy that ran for longer been harmful, the server would have crashed before.
    if (std::pair(crash.onset, crash.ran) <= std::pair(known->second.onset, known->second.ran)) {
      return false;
    }
    known->second = crash;
  }
  QuarantineIfProven(request);
  EvictOverLimit();
  return true;
}

RequestQuarantine::Suspects RequestQuarantine::StrongSuspects() const {
  Suspects suspects;
  for (const auto& [fingerprint, request] : m_requests) {
    if (request.crashes.size() > 1 && EvidenceAgainst(request).counted > 1) {
      suspects.push_back(&request);
    }
  }
  return suspects;
}

/** Where a harmful request ends servers, a strong suspect is in flight at each crash. */
std::size_t RequestQuarantine::CountUnrelatedCrashes(const Suspects& suspects) const {
  const TimePoint since = m_clock.Now() - kRateSpan;
  std::set<BackendServerName> servers;
  for (const auto& [fingerprint, request] : m_requests) {
    for (const auto& [server, crash] : request.crashes) {
      if (crash.at >= since) {
        servers.insert(server);
      }
    }
  }
  for (const Request* suspect : suspects) {
    for (const auto& [server, crash] : suspect->crashes) {
      servers.erase(server);
    }
  }
  return servers.size();
}

std::size_t RequestQuarantine::CrashesThatProve(const Suspects& suspects) const {
  using Seconds = std::chrono::duration<double>;
  const double crashes_per_server =
      static_cast<double>(CountUnrelatedCrashes(suspects)) / static_cast<double>(m_servers);
  const double coincidence = crashes_per_server * (Seconds(kOnsetTime) / Seconds(kRateSpan));
  if (coincidence <= 0.0) {
    return kLeastCrashes;
  }
  const double crashes =
      std::log(kMaxErrorProbability) / std::log(std::min(coincidence, kMaxCoincidence));
  return std::max(kLeastCrashes, static_cast<std::size_t>(std::ceil(crashes)));
}

/** A suspect that was the only one at some crash is needed to explain it, and so explains all
   others that it was at. Suspects that were at the same crashes explain nothing of each other. */
bool RequestQuarantine::IsExplained(const Request& request, const Suspects& suspects) {
  std::map<BackendServerName, Suspects> suspects_at;
  for (const Request* suspect : suspects) {
    for (const auto& [server, crash] : suspect->crashes) {
      suspects_at[server].push_back(suspect);
    }
  }
  const auto is_needed = [&suspects_at](const Request* suspect) {
    return std::any_of(suspect->crashes.begin(), suspect->crashes.end(),
                       [&](const auto& crash) { return suspects_at.at(crash.first).size() == 1; });
  };
  return std::all_of(request.crashes.begin(), request.crashes.end(), [&](const auto& crash) {
    const auto others = suspects_at.find(crash.first);
    return others != suspects_at.end() &&
           std::any_of(others->second.begin(), others->second.end(), [&](const Request* suspect) {
             return suspect != &request && is_needed(suspect);
           });
  });
}

/** Whether another suspect was at all crashes of the request and at further ones. */
bool RequestQuarantine::IsOutmatched(const Request& request, const Suspects& suspects) {
  return std::any_of(suspects.begin(), suspects.end(), [&request](const Request* suspect) {
    return suspect->crashes.size() > request.crashes.size() &&
           std::all_of(
               request.crashes.begin(), request.crashes.end(),
               [suspect](const auto& crash) { return suspect->crashes.contains(crash.first); });
  });
}

bool RequestQuarantine::IsProven(const Request& request, std::size_t unconfirmed) const {
  const Evidence evidence = EvidenceAgainst(request);
  const std::size_t counted =
      std::max(evidence.counted, evidence.independent / kUncertainCrashFactor) + unconfirmed;
  if (counted < kLeastCrashes) {
    return false;
  }
  const Suspects suspects = StrongSuspects();
  return counted >= CrashesThatProve(suspects) && !IsExplained(request, suspects) &&
         !IsOutmatched(request, suspects);
}

void RequestQuarantine::QuarantineIfProven(Request& request) {
  if (IsInForce(request)) {
    return;
  }
  const bool is_repeated = request.quarantine > Duration::zero() && !request.was_explained;
  if (!is_repeated && !IsProven(request, 0)) {
    return;
  }
  request.quarantine = is_repeated ? std::min(request.quarantine * 2, m_settings.longest_quarantine)
                                   : m_settings.first_quarantine;
  request.released_at = m_clock.Now() + request.quarantine;
  request.was_explained = false;
}

/** Its duration stays, so that it is not taken over again from peers that still report it. */
void RequestQuarantine::ReleaseExplained() {
  if (CountInForce() == 0) {
    return;
  }
  const Suspects suspects = StrongSuspects();
  for (auto& [fingerprint, request] : m_requests) {
    const bool is_explained = IsExplained(request, suspects) || IsOutmatched(request, suspects);
    if (IsInForce(request) && !request.crashes.empty() && is_explained) {
      request.released_at = m_clock.Now();
      request.was_explained = true;
    }
  }
}

void RequestQuarantine::OnEndedWell(const Fingerprint& request) {
  m_ended_well.Add(request, m_clock.Now());
  if (m_requests.erase(request) > 0) {
    AddIfCleared(request);
  }
}

void RequestQuarantine::OnCleared(const ClearedRequest& cleared) {
  m_ended_well.Add(cleared.request, m_clock.Now() - cleared.age);
  if (EndedWellLately(cleared.request)) {
    m_requests.erase(cleared.request);
    m_cleared.erase(cleared.request);
  }
}

bool RequestQuarantine::AddIfCleared(const Fingerprint& request) {
  const std::optional<TimePoint> ended_at = m_ended_well.LastEndOf(request);
  if (!ended_at) {
    return false;
  }
  if (m_cleared.size() < kMaxCleared || m_cleared.contains(request)) {
    m_cleared[request] = *ended_at;
  }
  return true;
}

std::vector<ClearedRequest> RequestQuarantine::TakeCleared() {
  std::vector<ClearedRequest> cleared;
  for (const auto& [request, ended_at] : std::exchange(m_cleared, {})) {
    cleared.push_back({request, duration_cast<milliseconds>(m_clock.Now() - ended_at)});
  }
  return cleared;
}

void RequestQuarantine::OnRunning(const Fingerprint& request, Duration ran) {
  const auto found = m_requests.find(request);
  if (found == m_requests.end()) {
    return;
  }
  std::erase_if(found->second.crashes,
                [ran](const auto& crash) { return crash.second.ran + kSurvivalMargin <= ran; });
  if (found->second.crashes.empty()) {
    m_requests.erase(found);
  }
}

bool RequestQuarantine::OnQuarantine(const QuarantineReport& report) {
  const bool is_plausible = report.remaining > milliseconds(0) &&
                            report.remaining <= report.duration &&
                            report.duration <= m_settings.longest_quarantine;
  if (!is_plausible) {
    return false;
  }
  if (AddIfCleared(report.request)) {
    return false;
  }
  Request& request = m_requests[report.request];
  if (report.duration <= request.quarantine) {
    return false;
  }
  request.quarantine = report.duration;
  request.released_at = m_clock.Now() + report.remaining;
  EvictOverLimit();
  return true;
}

bool RequestQuarantine::IsInForce(const Request& request) const {
  return request.quarantine > Duration::zero() && m_clock.Now() < request.released_at;
}

std::optional<Duration> RequestQuarantine::TimeUntilRelease(const Fingerprint& request) const {
  const auto found = m_requests.find(request);
  if (found == m_requests.end() || !IsInForce(found->second)) {
    return std::nullopt;
  }
  return found->second.released_at - m_clock.Now();
}

bool RequestQuarantine::WouldBeQuarantined(const Fingerprint& request,
                                           std::size_t unconfirmed) const {
  if (EndedWellLately(request)) {
    return false;
  }
  const auto found = m_requests.find(request);
  if (found == m_requests.end()) {
    return unconfirmed >= kLeastCrashes;
  }
  const bool was_quarantined =
      found->second.quarantine > Duration::zero() && !found->second.was_explained;
  return IsInForce(found->second) || (was_quarantined && unconfirmed > 0) ||
         IsProven(found->second, unconfirmed);
}

bool RequestQuarantine::MustWait(const Fingerprint& request, std::size_t unconfirmed) const {
  if (EndedWellLately(request)) {
    return false;
  }
  const auto found = m_requests.find(request);
  if (found == m_requests.end()) {
    return unconfirmed >= 2;
  }
  const bool is_recent =
      unconfirmed > 0 || m_clock.Now() - LastCrashOf(found->second) < kCommonCauseWindow;
  return is_recent && found->second.crashes.size() + unconfirmed >= 2;
}

std::vector<BackendServerName> RequestQuarantine::CrashedServers(const Fingerprint& request) const {
  std::vector<BackendServerName> servers;
  const auto found = m_requests.find(request);
  if (found != m_requests.end()) {
    for (const auto& [server, crash] : found->second.crashes) {
      servers.push_back(server);
    }
  }
  return servers;
}

QuarantineReport RequestQuarantine::ReportOf(const Fingerprint& request) const {
  const Request& quarantined = m_requests.at(request);
  assert(IsInForce(quarantined) && "only a request that is refused has a quarantine");
  return {request, duration_cast<milliseconds>(quarantined.released_at - m_clock.Now()),
          duration_cast<milliseconds>(quarantined.quarantine)};
}

std::vector<QuarantineReport> RequestQuarantine::InForce(std::size_t most) const {
  std::vector<std::pair<TimePoint, QuarantineReport>> rows;
  for (const auto& [fingerprint, request] : m_requests) {
    if (IsInForce(request)) {
      rows.push_back({request.released_at - request.quarantine, ReportOf(fingerprint)});
    }
  }
  std::sort(rows.begin(), rows.end(), [](const auto& left, const auto& right) {
    return std::pair(left.first, left.second.request) >
           std::pair(right.first, right.second.request);
  });
  std::vector<QuarantineReport> reports;
  for (const auto& [since, report] : rows) {
    if (reports.size() < most) {
      reports.push_back(report);
    }
  }
  return reports;
}

std::size_t RequestQuarantine::CountInForce() const {
  return static_cast<std::size_t>(
      std::count_if(m_requests.begin(), m_requests.end(),
                    [this](const auto& request) { return IsInForce(request.second); }));
}

TimePoint RequestQuarantine::LastCrashOf(const Request& request) {
  TimePoint last{};
  for (const auto& [server, crash] : request.crashes) {
    last = std::max(last, crash.at);
  }
  return last;
}

/** A request that was quarantined is remembered for as long again after its release, so that one
    more crash is enough. */
bool RequestQuarantine::IsExpired(const Request& request) const {
  const TimePoint now = m_clock.Now();
  if (request.quarantine > Duration::zero()) {
    return now >= request.released_at + m_settings.longest_quarantine;
  }
  return request.crashes.empty();
}

void RequestQuarantine::RemoveExpired() {
  const TimePoint now = m_clock.Now();
  for (auto& [fingerprint, request] : m_requests) {
    std::erase_if(request.crashes, [&](const auto& crash) {
      return now - crash.second.at >= m_settings.evidence_lifetime;
    });
  }
  std::erase_if(m_requests, [this](const auto& request) { return IsExpired(request.second); });
  ReleaseExplained();
}

/** Evicts several at once, since each search looks at all. */
void RequestQuarantine::EvictOverLimit() {
  if (m_requests.size() <= m_settings.max_requests) {
    return;
  }
  std::vector<std::tuple<bool, TimePoint, Fingerprint>> order;
  order.reserve(m_requests.size());
  for (const auto& [fingerprint, request] : m_requests) {
    order.emplace_back(IsInForce(request), LastCrashOf(request), fingerprint);
  }
  const std::size_t evicted =
      m_requests.size() - m_settings.max_requests + m_settings.max_requests / kEvictedPart;
  const auto end = order.begin() + static_cast<std::ptrdiff_t>(evicted);
  std::nth_element(order.begin(), end, order.end());
  std::for_each(order.begin(), end,
                [this](const auto& row) { m_requests.erase(std::get<Fingerprint>(row)); });
}

}  // namespace zinnia
