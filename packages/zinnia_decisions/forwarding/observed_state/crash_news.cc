#include "zinnia_decisions/forwarding/observed_state/crash_news.h"

#include <algorithm>

#include "zinnia_decisions/forwarding/crashes/recent_requests.h"

namespace zinnia {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/** Outlasts the loss of a few reports. */
constexpr Duration kLifetime = milliseconds(1'500);

/** For each kind of suspect. */
constexpr std::size_t kMaxEntries = 4'096;

}  // namespace

CrashNews::Key CrashNews::KeyOf(const CrashReport& crash) {
  const bool is_part = crash.kind == SuspectKind::kPromptPart;
  return {crash.request, crash.server, is_part ? crash.onset : CrashOnset::kUnknown};
}

std::vector<CrashReport> CrashNews::TakeNew(const std::vector<CrashReport>& crashes) {
  RemoveOld();
  std::vector<CrashReport> taken;
  for (const CrashReport& crash : crashes) {
    const bool is_recent = crash.age >= milliseconds(0) && crash.age < kLifetime;
    const Key key = KeyOf(crash);
    const TimePoint crashed_at = m_clock.Now() - crash.age;
    News& news = NewsOf(crash.kind);
    if (is_recent && news.crashes.size() < kMaxEntries &&
        news.known_crashes.Learn(key, crashed_at)) {
      news.crashes.insert_or_assign(key, Entry{crash, crashed_at});
      taken.push_back(crash);
    }
  }
  return taken;
}

std::vector<ClearedRequest> CrashNews::TakeNewlyCleared(
    const std::vector<ClearedRequest>& requests) {
  RemoveOld();
  const TimePoint now = m_clock.Now();
  std::vector<ClearedRequest> taken;
  for (const ClearedRequest& cleared : requests) {
    const bool is_recent =
        cleared.age >= milliseconds(0) && cleared.age < RecentRequests::kLifetime;
    const TimePoint ended_at = now - cleared.age;
    News& news = NewsOf(cleared.kind);
    if (is_recent && news.cleared.size() < kMaxReports &&
        news.known_cleared.Learn(cleared.request, ended_at)) {
      news.cleared.insert_or_assign(cleared.request, Cleared{ended_at, now});
      taken.push_back(cleared);
    }
  }
  return taken;
}

std::vector<ClearedRequest> CrashNews::RecentlyCleared() {
  RemoveOld();
  std::vector<ClearedRequest> requests;
  for (const SuspectKind kind : kSuspectKinds) {
    for (const auto& [request, cleared] : NewsOf(kind).cleared) {
      requests.push_back(
          {request, duration_cast<milliseconds>(m_clock.Now() - cleared.ended_at), kind});
    }
  }
  return requests;
}

std::vector<CrashReport> CrashNews::Recent() {
  RemoveOld();
  std::vector<CrashReport> reports;
  for (const SuspectKind kind : kSuspectKinds) {
    AppendRecent(NewsOf(kind), reports);
  }
  return reports;
}

void CrashNews::AppendRecent(const News& news, std::vector<CrashReport>& reports) const {
  std::vector<Entry> entries;
  entries.reserve(news.crashes.size());
  for (const auto& [key, entry] : news.crashes) {
    entries.push_back(entry);
  }
  const auto is_first = [](const Entry& left, const Entry& right) {
    const bool left_begun = left.report.onset == CrashOnset::kBegun;
    const bool right_begun = right.report.onset == CrashOnset::kBegun;
    return left_begun != right_begun ? left_begun : left.crashed_at > right.crashed_at;
  };
  const std::size_t count = std::min(entries.size(), kMaxReports);
  std::partial_sort(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(count),
                    entries.end(), is_first);
  for (std::size_t index = 0; index < count; ++index) {
    reports.push_back(entries[index].report);
    reports.back().age = duration_cast<milliseconds>(m_clock.Now() - entries[index].crashed_at);
  }
}

void CrashNews::RemoveOld() {
  const TimePoint now = m_clock.Now();
  for (News& news : m_kinds) {
    std::erase_if(news.crashes,
                  [now](const auto& entry) { return now - entry.second.crashed_at >= kLifetime; });
    std::erase_if(news.cleared,
                  [now](const auto& entry) { return now - entry.second.heard_at >= kLifetime; });
  }
}

}  // namespace zinnia
