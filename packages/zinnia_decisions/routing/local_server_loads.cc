#include "zinnia_decisions/routing/local_server_loads.h"

namespace zinnia {
namespace {

constexpr std::size_t kMaxRecordedChanges = 256;

}  // namespace

void LocalServerLoad::OnSent(TimePoint now) {
  ++m_in_flight;
  RecordChange(now, 1);
}

void LocalServerLoad::OnFinished(TimePoint now) {
  if (m_in_flight > 0) {
    --m_in_flight;
    RecordChange(now, -1);
  }
}

double LocalServerLoad::ChangeSince(TimePoint since) {
  while (!m_changes.empty() && m_changes.front().first <= since) {
    m_changes.pop_front();
  }
  int change = 0;
  for (const auto& [at, step] : m_changes) {
    change += step;
  }
  return change;
}

void LocalServerLoad::RecordChange(TimePoint now, int change) {
  m_changes.emplace_back(now, change);
  if (m_changes.size() > kMaxRecordedChanges) {
    m_changes.pop_front();
  }
}

}  // namespace zinnia
