#include "zinnia_adapters/forwarding/prompt_part_watch.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <map>
#include <utility>

#include "zinnia_adapters/forwarding/log_text.h"
#include "zinnia_base/logging/logger.h"
#include "zinnia_decisions/ports/metrics.h"

namespace zinnia {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/** Sources of news, as logged. */
constexpr std::string_view kSelf = "self";
constexpr std::string_view kPeer = "peer";

/** Maximum number of parts reported for one crash. */
constexpr std::size_t kMaxReportedPerCrash = 64;

}  // namespace

PromptPartWatch::PromptPartWatch(const Clock& clock,
                                 Logger& logger,
                                 Metrics& metrics,
                                 OnQuarantined callback)
    : m_clock(clock),
      m_logger(logger),
      m_metrics(metrics),
      m_on_quarantined(std::move(callback)),
      m_quarantine(clock, {}) {}

/** A stream that had been running there for long says that its parts did no harm when it began, and
    nothing of those that had just begun. */
std::vector<CrashReport> PromptPartWatch::OnServerCrash(
    const std::vector<BrokenAttempt>& attempts) {
  std::map<Fingerprint, CrashReport> by_part;
  for (const BrokenAttempt& attempt : attempts) {
    if (attempt.onset == CrashOnset::kRunning) {
      OnSurvived(attempt.prompt_parts, attempt.broken_at - attempt.ran);
      continue;
    }
    for (const Fingerprint& part : attempt.prompt_parts) {
      const CrashReport report = ReportOf(attempt, part);
      CrashReport& known = by_part.try_emplace(part, report).first->second;
      if (std::pair(report.onset, report.ran) > std::pair(known.onset, known.ran)) {
        known = report;
      }
    }
  }
  std::vector<CrashReport> reports;
  reports.reserve(by_part.size());
  for (const auto& [part, report] : by_part) {
    reports.push_back(report);
  }
  std::stable_partition(reports.begin(), reports.end(), [](const CrashReport& report) {
    return report.onset == CrashOnset::kBegun;
  });
  reports.resize(std::min(reports.size(), kMaxReportedPerCrash));
  for (const CrashReport& report : reports) {
    m_quarantine.OnCrash(report);
  }
  return reports;
}

CrashReport PromptPartWatch::ReportOf(const BrokenAttempt& attempt, const Fingerprint& part) const {
  return {part,
          attempt.server,
          attempt.onset,
          duration_cast<milliseconds>(attempt.broken_at - attempt.sent_at),
          duration_cast<milliseconds>(attempt.ran),
          duration_cast<milliseconds>(m_clock.Now() - attempt.broken_at),
          SuspectKind::kPromptPart};
}

void PromptPartWatch::OnSurvived(const std::vector<Fingerprint>& parts, TimePoint began_at) {
  m_quarantine.OnSurvived(parts, began_at);
}

void PromptPartWatch::OnPeerCrash(const CrashReport& crash) {
  m_quarantine.OnCrash(crash);
}

void PromptPartWatch::OnPeerQuarantine(const QuarantineReport& quarantine) {
  if (m_quarantine.OnQuarantine(quarantine)) {
    Report(quarantine.request, kPeer);
  }
}

void PromptPartWatch::Report(const Fingerprint& part, std::string_view heard_from) {
  const Duration left = m_quarantine.TimeUntilRelease({part}).value_or(Duration::zero());
  m_metrics.Count("prompt_parts_quarantined");
  m_logger.Log(
      LogLevel::kWarning, "prompt_part_quarantined",
      {{"part", part.ToHex()},
       {"heard_from", std::string(heard_from)},
       {"crashed_servers", fmt::format("{}", fmt::join(m_quarantine.CrashedServers(part), ","))},
       {"release_in_ms", Milliseconds(left)}});
  m_on_quarantined(m_quarantine.ReportOf(part));
}

void PromptPartWatch::OnPeerCleared(const ClearedRequest& cleared) {
  m_quarantine.OnCleared(cleared);
}

bool PromptPartWatch::IsRefused(const std::vector<Fingerprint>& parts) const {
  return m_quarantine.FindQuarantined(parts).has_value();
}

bool PromptPartWatch::IsSuspect(const std::vector<Fingerprint>& parts) const {
  return m_quarantine.HasStrongSuspect(parts);
}

std::optional<Duration> PromptPartWatch::TimeUntilRelease(
    const std::vector<Fingerprint>& parts) const {
  return m_quarantine.TimeUntilRelease(parts);
}

std::vector<QuarantineReport> PromptPartWatch::TakeQuarantines(std::size_t most) {
  for (const Fingerprint& part : m_quarantine.RemoveExpired()) {
    Report(part, kSelf);
  }
  m_metrics.SetGauge("prompt_part_quarantines_in_force",
                     static_cast<double>(m_quarantine.CountInForce()));
  m_metrics.SetGauge("prompt_parts_on_probation",
                     static_cast<double>(m_quarantine.CountOnProbation()));
  return m_quarantine.InForce(most);
}

std::vector<ClearedRequest> PromptPartWatch::TakeCleared() {
  std::vector<ClearedRequest> parts = m_quarantine.TakeCleared();
  for (const ClearedRequest& part : parts) {
    m_metrics.Count("prompt_parts_cleared");
    m_logger.Log(LogLevel::kInfo, "prompt_part_cleared",
                 {{"part", part.request.ToHex()}, {"began_ms", Milliseconds(part.age)}});
  }
  return parts;
}

}  // namespace zinnia
