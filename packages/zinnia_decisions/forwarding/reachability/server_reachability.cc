#include "zinnia_decisions/forwarding/reachability/server_reachability.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace zinnia {
namespace {

constexpr std::array<std::pair<Reachability, std::string_view>, 3> kNames{
    {{Reachability::kReached, "reached"},
     {Reachability::kSuspected, "suspected"},
     {Reachability::kNone, "none"}}};

/** Servers to which connections must have failed before others are tried. */
constexpr std::size_t kFailuresToSuspect = 3;

/** How long a failure counts, and how long a suspicion that turned out wrong is not raised again.
 */
constexpr Duration kFailureLifetime = std::chrono::seconds(1);

/** Servers that are tried on a suspicion. */
constexpr std::size_t kTriedOnSuspicion = 3;

/** Servers that are tried, this often, while none is reached. */
constexpr std::size_t kTriedWhileCutOff = 2;
constexpr Duration kTryInterval = std::chrono::milliseconds(300);

}  // namespace

std::string_view NameOf(Reachability reachability) {
  const auto* const found = std::find_if(
      kNames.begin(), kNames.end(), [&](const auto& row) { return row.first == reachability; });
  assert(found != kNames.end() && "each value has a name");
  return found->second;
}

void ServerReachability::OnConnected() {
  if (m_state == Reachability::kSuspected) {
    m_next_try_at = m_clock.Now() + kFailureLifetime;
  }
  m_state = Reachability::kReached;
  m_failed_at.clear();
  m_tried.clear();
}

void ServerReachability::OnConnectFailed(const BackendServerName& server) {
  m_failed_at[server] = m_clock.Now();
  if (m_state == Reachability::kSuspected && m_tried.erase(server) > 0 && m_tried.empty()) {
    m_state = Reachability::kNone;
    m_next_try_at = m_clock.Now() + kTryInterval;
  }
}

void ServerReachability::ForgetOldFailures() {
  const TimePoint now = m_clock.Now();
  std::erase_if(m_failed_at,
                [now](const auto& failure) { return now - failure.second >= kFailureLifetime; });
}

bool ServerReachability::IsTryDue(std::size_t servers) {
  const TimePoint now = m_clock.Now();
  ForgetOldFailures();
  if (m_state == Reachability::kSuspected && now - m_suspected_at >= kFailureLifetime) {
    m_state = Reachability::kReached;  // A server that was tried has left.
    m_tried.clear();
  }
  if (m_state == Reachability::kSuspected || now < m_next_try_at || servers == 0) {
    return false;
  }
  return m_state == Reachability::kNone ||
         m_failed_at.size() >= std::min(kFailuresToSuspect, servers);
}

std::vector<BackendServerName> ServerReachability::TakeServersToTry(
    const std::vector<BackendServerName>& servers) {
  const TimePoint now = m_clock.Now();
  if (m_state == Reachability::kNone) {
    m_next_try_at = now + kTryInterval;
    return ChooseToTry(servers, kTriedWhileCutOff);
  }
  m_state = Reachability::kSuspected;
  m_suspected_at = now;
  std::vector<BackendServerName> chosen = ChooseToTry(servers, kTriedOnSuspicion);
  m_tried = {chosen.begin(), chosen.end()};
  return chosen;
}

std::vector<BackendServerName> ServerReachability::ChooseToTry(
    const std::vector<BackendServerName>& servers,
    std::size_t count) const {
  std::vector<BackendServerName> order = servers;
  for (std::size_t index = order.size(); index > 1; --index) {
    std::swap(order[index - 1], order[RandomBelow(m_random, index)]);
  }
  std::stable_partition(order.begin(), order.end(), [this](const BackendServerName& server) {
    return !m_failed_at.contains(server);
  });
  order.resize(std::min(order.size(), count));
  return order;
}

}  // namespace zinnia
