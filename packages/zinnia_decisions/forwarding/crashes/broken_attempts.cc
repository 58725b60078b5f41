#include "zinnia_decisions/forwarding/crashes/broken_attempts.h"

#include <algorithm>
#include <utility>

namespace zinnia {
namespace {

/** How long further answers of a crashed server may break off, as at a slow instance. */
constexpr Duration kCrashMemory = std::chrono::seconds(2);

/** Attempts at one server that are kept until it is probed. */
constexpr std::size_t kMaxPendingPerServer = 512;

std::vector<BrokenAttempt> TakeFrom(
    std::map<BackendServerName, std::vector<BrokenAttempt>>& pending,
    const BackendServerName& server) {
  const auto found = pending.find(server);
  if (found == pending.end()) {
    return {};
  }
  std::vector<BrokenAttempt> attempts = std::move(found->second);
  pending.erase(found);
  return attempts;
}

}  // namespace

ServerCheck BrokenAttempts::Add(const BrokenAttempt& attempt) {
  ForgetOldCrashes();
  if (m_crashed_at.contains(attempt.server)) {
    return ServerCheck::kHasCrashed;
  }
  std::vector<BrokenAttempt>& attempts = m_pending[attempt.server];
  if (attempts.size() < kMaxPendingPerServer) {
    attempts.push_back(attempt);
  }
  return attempts.size() == 1 ? ServerCheck::kProbeIt : ServerCheck::kAwaitsProbe;
}

std::vector<BrokenAttempt> BrokenAttempts::OnConnectionRefused(const BackendServerName& server) {
  std::vector<BrokenAttempt> attempts = TakeFrom(m_pending, server);
  if (!attempts.empty()) {
    m_crashed_at[server] = m_clock.Now();
  }
  return attempts;
}

std::vector<BrokenAttempt> BrokenAttempts::OnNoCrash(const BackendServerName& server) {
  return TakeFrom(m_pending, server);
}

std::size_t BrokenAttempts::CountPending(const Fingerprint& request) const {
  std::size_t count = 0;
  for (const auto& [server, attempts] : m_pending) {
    count += static_cast<std::size_t>(
        std::any_of(attempts.begin(), attempts.end(),
                    [&](const BrokenAttempt& attempt) { return attempt.request == request; }));
  }
  return count;
}

void BrokenAttempts::ForgetOldCrashes() {
  const TimePoint now = m_clock.Now();
  std::erase_if(m_crashed_at,
                [now](const auto& crash) { return now - crash.second >= kCrashMemory; });
}

}  // namespace zinnia
