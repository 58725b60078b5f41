#include "zinnia_decisions/fleet_control/leaving_tracker.h"

#include <algorithm>
#include <utility>

namespace zinnia {
namespace {

constexpr std::size_t kMaxMarks = 16'384;

}  // namespace

std::string_view NameOf(LeavingSource source) {
  switch (source) {
    case LeavingSource::kList:
      return "list";
    case LeavingSource::kEngine:
      return "engine";
    case LeavingSource::kOperator:
      return "operator";
    case LeavingSource::kPeer:
      break;
  }
  return "peer";
}

bool LeavingTracker::Mark(const BackendServerName& server,
                          std::uint64_t incarnation,
                          LeavingSource source,
                          TimePoint now) {
  const auto found = m_marks.find(server);
  if (found != m_marks.end()) {
    if (found->second.incarnation >= incarnation) {
      return false;
    }
    found->second = {incarnation, source, now};
    return true;
  }
  if (m_marks.size() >= kMaxMarks) {
    DropOldest();
  }
  m_marks.emplace(server, LeavingMark{incarnation, source, now});
  return true;
}

bool LeavingTracker::SetDrains(std::set<BackendServerName> drains) {
  const bool changed = drains != m_drains;
  m_drains = std::move(drains);
  return changed;
}

bool LeavingTracker::IsLeaving(const BackendServerName& server, std::uint64_t incarnation) const {
  const auto found = m_marks.find(server);
  const bool marked = found != m_marks.end() && found->second.incarnation >= incarnation;
  return marked || m_drains.contains(server);
}

void LeavingTracker::DropOldest() {
  m_marks.erase(std::min_element(
      m_marks.begin(), m_marks.end(),
      [](const auto& left, const auto& right) { return left.second.since < right.second.since; }));
}

}  // namespace zinnia
