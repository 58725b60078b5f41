#include "zinnia_decisions/forwarding/admission/capacity_queue.h"

#include <algorithm>
#include <tuple>

namespace zinnia {
namespace {

// A shortage is over after this time without a refusal.
constexpr Duration kShortageEndsAfter = std::chrono::milliseconds(1'000);

// A client that returns sooner than the minimum meets the same shortage. The maximum covers the
// time in which lost layers are loaded elsewhere, up to three seconds.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(500);
constexpr Duration kMaxRetryAfter = std::chrono::milliseconds(3'000);

}  // namespace

std::uint64_t CapacityQueue::Enter(const WaitingRequest& request) {
  if (m_waiting.size() >= kMaxWaiting) {
    return kNoTicket;
  }
  m_waiting[++m_last_ticket] = request;
  return m_last_ticket;
}

std::vector<std::uint64_t> CapacityQueue::OrderedTickets() const {
  const TimePoint now = m_clock.Now();
  const auto rank = [&](std::uint64_t ticket) {
    const WaitingRequest& request = m_waiting.at(ticket);
    const bool is_late = request.start_deadline < now;
    return std::make_tuple(request.priority, is_late,
                           is_late ? request.arrived_at : request.start_deadline, ticket);
  };
  std::vector<std::uint64_t> tickets;
  for (const auto& [ticket, request] : m_waiting) {
    tickets.push_back(ticket);
  }
  std::sort(tickets.begin(), tickets.end(),
            [&](std::uint64_t one, std::uint64_t other) { return rank(one) < rank(other); });
  return tickets;
}

bool CapacityQueue::IsOverdue(std::uint64_t ticket) const {
  return m_clock.Now() - m_waiting.at(ticket).arrived_at >= kMaxWait;
}

Duration CapacityQueue::OnRefused() {
  const TimePoint now = m_clock.Now();
  if (!m_shortage_since || now - m_last_refused_at > kShortageEndsAfter) {
    m_shortage_since = now;
  }
  m_last_refused_at = now;
  return std::clamp(now - *m_shortage_since, kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace zinnia
