#include "zinnia_decisions/fleet_control/server_table.h"

#include <algorithm>
#include <utility>

#include "zinnia_world/fleet/server_rates_report.h"

namespace zinnia {
namespace {

constexpr std::uint32_t kSuspectAfterMissing = 3;
constexpr std::uint32_t kGoneAfterMissing = 6;
constexpr std::uint32_t kSuspectAfterFailedPolls = 2;
constexpr std::uint32_t kForgottenAfterMissing = 600;

/** A list with a smaller share of the known servers is considered faulty. */
constexpr double kCredibleShare = 0.5;

template <typename Figure>
void TakeIfKnown(const Figure& measured, Figure& kept) {
  if (measured > Figure{}) {
    kept = measured;
  }
}

}  // namespace

bool ServerTable::OnListing(const InstanceListing& listing) {
  bool changed = false;
  std::set<BackendServerName> listed(listing.unreadable_servers.begin(),
                                     listing.unreadable_servers.end());
  for (const ListedServer& row : listing.servers) {
    listed.insert(row.server.name);
    changed = ApplyListed(row.server) || changed;
  }
  changed = CountMissing(listed) || changed;
  RemoveGone();
  if (changed) {
    ++m_topology;
  }
  return changed;
}

bool ServerTable::ApplyListed(const BackendServer& listed) {
  const auto [found, added] = m_rows.try_emplace(listed.name, ServerRow{listed});
  ServerRow& row = found->second;
  const bool was_missing = row.missed_listings >= kSuspectAfterMissing;
  row.missed_listings = 0;
  if (added) {
    return true;
  }
  if (listed.incarnation < row.server.incarnation) {
    return was_missing;
  }
  const bool restarted = listed.incarnation > row.server.incarnation;
  const bool moved = listed.address != row.server.address ||
                     listed.failure_domain != row.server.failure_domain ||
                     listed.pool != row.server.pool;
  if (!restarted && !moved) {
    return was_missing;
  }
  std::optional<LoadedRange> loaded = restarted ? std::nullopt : row.server.loaded;
  row.server = listed;
  row.server.loaded = std::move(loaded);
  if (restarted) {
    row.polled = false;
    row.failed_polls = 0;
    row.load = {};
  }
  return true;
}

// While most servers are missing, the list is considered faulty and servers become at most suspect;
// otherwise a faulty list would empty the fleet and every request would be refused.
bool ServerTable::CountMissing(const std::set<BackendServerName>& listed) {
  const bool credible =
      static_cast<double>(listed.size()) >= kCredibleShare * static_cast<double>(m_rows.size());
  bool changed = false;
  for (auto& [name, row] : m_rows) {
    if (listed.contains(name)) {
      continue;
    }
    const BackendServerState before = StateOf(row);
    const std::uint32_t most = credible ? kForgottenAfterMissing : kSuspectAfterMissing;
    if (row.missed_listings < most) {
      ++row.missed_listings;
    }
    changed = changed || StateOf(row) != before;
  }
  return changed;
}

void ServerTable::RemoveGone() {
  std::erase_if(m_rows, [](const auto& entry) {
    const ServerRow& row = entry.second;
    return row.missed_listings >= kForgottenAfterMissing && !row.answers_polls;
  });
}

bool ServerTable::OnEngineState(const BackendServerName& server,
                                const EngineState& state,
                                TimePoint now) {
  const auto found = m_rows.find(server);
  if (found == m_rows.end() || state.incarnation < found->second.server.incarnation) {
    return false;
  }
  ServerRow& row = found->second;
  const BackendServerState before = StateOf(row);
  row.failed_polls = 0;
  row.answers_polls = true;
  row.last_answer = now;
  const bool changed = row.server.loaded != state.loaded ||
                       row.server.incarnation != state.incarnation ||
                       row.server.checks_fencing != state.checks_fencing || StateOf(row) != before;
  row.server.loaded = state.loaded;
  row.server.incarnation = state.incarnation;
  row.server.checks_fencing = state.checks_fencing;
  if (changed) {
    ++m_topology;
  }
  return changed;
}

bool ServerTable::OnPollFailed(const BackendServerName& server) {
  const auto found = m_rows.find(server);
  if (found == m_rows.end()) {
    return false;
  }
  ServerRow& row = found->second;
  const BackendServerState before = StateOf(row);
  ++row.failed_polls;
  if (row.failed_polls >= kSuspectAfterFailedPolls) {
    row.answers_polls = false;
  }
  return StateOf(row) != before;
}

void ServerTable::OnLoad(const BackendServerName& server,
                         std::uint32_t running,
                         std::uint32_t queued,
                         TimePoint now) {
  const auto found = m_rows.find(server);
  if (found != m_rows.end()) {
    found->second.load.reported_running = running;
    found->second.load.reported_queued = queued;
    found->second.load.reported_at = now;
    found->second.last_answer = now;
  }
}

void ServerTable::OnRates(const BackendServerName& server, const ServerRatesReport& rates) {
  const auto found = m_rows.find(server);
  if (found == m_rows.end()) {
    return;
  }
  ServerLoad& load = found->second.load;
  TakeIfKnown(rates.step_time_p50, load.step_time_p50);
  TakeIfKnown(rates.step_time_p99, load.step_time_p99);
  TakeIfKnown(rates.empty_step_time, load.empty_step_time);
  TakeIfKnown(rates.decode_tokens_per_second, load.decode_tokens_per_second);
  TakeIfKnown(rates.prefill_tokens_per_second, load.prefill_tokens_per_second);
}

void ServerTable::RecordPoll(const BackendServerName& server, TimePoint now) {
  const auto found = m_rows.find(server);
  if (found != m_rows.end()) {
    found->second.last_poll = now;
    found->second.polled = true;
  }
}

BackendServerState ServerTable::StateOf(const ServerRow& row) const {
  if (row.missed_listings >= kGoneAfterMissing && !row.answers_polls) {
    return BackendServerState::kGone;
  }
  const bool silent = row.failed_polls >= kSuspectAfterFailedPolls;
  const bool missing = row.missed_listings >= kSuspectAfterMissing;
  return silent || missing ? BackendServerState::kSuspect : BackendServerState::kLive;
}

std::uint64_t ServerTable::IncarnationOf(const BackendServerName& server) const {
  const auto found = m_rows.find(server);
  return found == m_rows.end() ? 0 : found->second.server.incarnation;
}

}  // namespace zinnia
