#include "zinnia_decisions/membership/rumour_queue.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "zinnia_decisions/membership/message_size.h"

namespace zinnia {
namespace {

constexpr std::size_t kMaxRumours = 4096;

struct Subject {
  std::string operator()(const MemberRumour& rumour) const { return "m " + rumour.instance.name; }
  std::string operator()(const LeavingRumour& rumour) const { return "l " + rumour.server; }
  std::string operator()(const CrashRumour& rumour) const {
    // Several instances may report one crash, each with its own requests.
    const std::uint64_t first = rumour.fingerprints.empty() ? 0 : rumour.fingerprints.front().low;
    return fmt::format("x {} {} {:x} {}", rumour.server, rumour.incarnation, first, rumour.alone);
  }
  std::string operator()(const ConfigurationRumour& rumour) const {
    return fmt::format("c {}", rumour.delta.revision);
  }
};

}  // namespace

std::string SubjectOf(const Rumour& rumour) {
  return std::visit(Subject{}, rumour);
}

void RumourQueue::Add(Rumour rumour, std::uint32_t transmissions) {
  const std::size_t size = EstimateSize(rumour);
  const std::string subject = SubjectOf(rumour);
  if (m_items.size() >= kMaxRumours && !m_items.contains(subject)) {
    EvictMostSent();
  }
  m_items.insert_or_assign(subject, Item{std::move(rumour), size, 0, transmissions});
}

std::vector<Rumour> RumourQueue::Take(std::size_t max_bytes) {
  std::vector<std::map<std::string, Item>::iterator> order;
  for (auto item = m_items.begin(); item != m_items.end(); ++item) {
    order.push_back(item);
  }
  std::stable_sort(order.begin(), order.end(), [](const auto& left, const auto& right) {
    return left->second.sent < right->second.sent;
  });
  std::vector<Rumour> taken;
  for (const auto& entry : order) {
    Item& item = entry->second;
    if (item.size > max_bytes) {
      continue;
    }
    max_bytes -= item.size;
    taken.push_back(item.rumour);
    if (++item.sent >= item.transmissions) {
      m_items.erase(entry);
    }
  }
  return taken;
}

void RumourQueue::EvictMostSent() {
  const auto most = std::max_element(
      m_items.begin(), m_items.end(),
      [](const auto& left, const auto& right) { return left.second.sent < right.second.sent; });
  m_items.erase(most);
}

}  // namespace zinnia
