#include "zinnia_decisions/configuration/configuration_keeper.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "zinnia_base/decisions/decision_record.h"
#include "zinnia_decisions/membership/message_size.h"
#include "zinnia_decisions/membership/rendezvous.h"
#include "zinnia_decisions/ports/peer_transport.h"

namespace zinnia {
namespace {

constexpr std::size_t kStoreWatchersPerDomain = 2;
constexpr std::chrono::milliseconds kWatchTimeout{10'000};
constexpr Duration kFirstRetry = std::chrono::milliseconds(500);
constexpr std::uint32_t kMaxDoublings = 3;
constexpr Duration kFetchDelay = std::chrono::milliseconds(50);
constexpr Duration kFetchTimeout = std::chrono::seconds(5);
constexpr std::size_t kMaxPendingAcceptances = 64;
constexpr std::size_t kMaxRumourBytes = 800;
constexpr std::size_t kCompactionThresholdBytes = 32UL * 1024;

// Allows the highest revision to reach every instance before the store is rewritten.
constexpr Duration kReinstateDelay = std::chrono::seconds(6);

// Skips revisions that may have been assigned in the lost part of the store.
constexpr ConfigurationRevision kReinstateRevisionGap = 1000;

}  // namespace

ConfigurationKeeper::ConfigurationKeeper(ConfigurationKeeperParts parts, std::uint64_t seed)
    : m_parts(parts), m_store(parts.store), m_random(seed) {
  m_parts.membership.AddListener(*this);
}

ConfigurationKeeper::~ConfigurationKeeper() {
  m_parts.membership.RemoveListener(*this);
}

void ConfigurationKeeper::Start() {
  SelectStoreWatchers();
  if (!m_watching) {
    ReadThenWatch();
  }
}

void ConfigurationKeeper::Change(ConfigurationChange change,
                                 ConfigurationAcceptance::Callback callback) {
  std::erase_if(m_acceptances, [](const auto& acceptance) { return acceptance->IsFinished(); });
  if (m_acceptances.size() >= kMaxPendingAcceptances) {
    Error error = MakeError(ErrorKind::kOverloaded, "too many changes are waiting for the store");
    error.retry_after = std::chrono::seconds(1);
    callback(error);
    return;
  }
  m_acceptances.push_back(ConfigurationAcceptance::Start(
      std::move(change), *this, m_store, m_parts.clock, m_parts.scheduler, std::move(callback)));
}

// No lease is needed: extra watchers, caused by differing views of the membership, only cost a few
// more store calls.
void ConfigurationKeeper::SelectStoreWatchers() {
  const Instance& self = m_parts.membership.Self();
  std::vector<Instance> candidates = m_parts.membership.LiveInstances();
  std::erase_if(candidates, [&self](const Instance& instance) {
    return instance.failure_domain != self.failure_domain;
  });
  const std::vector<Instance> holders =
      ChooseByRendezvous("configuration watch", std::move(candidates), kStoreWatchersPerDomain);
  m_is_store_watcher = std::any_of(holders.begin(), holders.end(), [&self](const Instance& holder) {
    return holder.name == self.name;
  });
  if (m_is_store_watcher && !m_watching && !m_read_call) {
    ReadThenWatch();
  }
}

void ConfigurationKeeper::ReadThenWatch() {
  m_read_call.reset();
  m_watching = true;
  const ConfigurationRevision revision_before_read = m_state.revision();
  m_store.ReadHead(m_guard.Wrap([this, revision_before_read](const Result<VersionedHead>& head) {
    OnHead(head, revision_before_read);
  }));
}

void ConfigurationKeeper::OnHead(const Result<VersionedHead>& head,
                                 ConfigurationRevision revision_before_read) {
  if (!head) {
    ReadLater();
    return;
  }
  m_store_failures = 0;
  CatchUp(*head, revision_before_read,
          [this, version = head->version](const Result<void>& caught_up) {
            if (!caught_up && !m_store_rolled_back) {
              ReadLater();
            } else if (m_is_store_watcher) {
              Watch(version);
            } else {
              m_watching = false;
              if (!IsReady()) {
                ReadLater();
              }
            }
          });
}

void ConfigurationKeeper::ReadLater() {
  m_watching = false;
  m_store_failures = std::min(m_store_failures + 1, kMaxDoublings);
  const Duration delay = kFirstRetry * (1U << m_store_failures);
  const auto jitter = RandomBelow(m_random, static_cast<std::uint64_t>(delay.count()));
  m_read_call = m_parts.scheduler.ScheduleAfter(delay / 2 + Duration(jitter), [this] {
    m_read_call.reset();
    if (m_is_store_watcher || !IsReady()) {
      ReadThenWatch();
    }
  });
}

void ConfigurationKeeper::Watch(std::uint64_t after_version) {
  m_watching = true;
  const ConfigurationRevision revision_before_read = m_state.revision();
  m_store.Watch(
      after_version, kWatchTimeout,
      m_guard.Wrap([this, after_version, revision_before_read](const Result<StoreBatch>& batch) {
        OnWatchAnswer(after_version, revision_before_read, batch);
      }));
}

// A restored store may return a lower version than the one being watched. Watching the old version
// would miss all changes until the store's version exceeds it, so the head is read again.
void ConfigurationKeeper::OnWatchAnswer(std::uint64_t after_version,
                                        ConfigurationRevision revision_before_read,
                                        const Result<StoreBatch>& batch) {
  if (!batch) {
    ReadLater();
  } else if (!m_is_store_watcher) {
    m_watching = false;
  } else if (!batch->records.empty()) {
    OnHead(ConfigurationStore::ParseHeadRecord(batch->records.front()), revision_before_read);
  } else if (batch->version < after_version) {
    ReadThenWatch();
  } else {
    Watch(after_version);
  }
}

void ConfigurationKeeper::CatchUp(VersionedHead head,
                                  ConfigurationRevision revision_before_read,
                                  std::function<void(Result<void>)> callback) {
  if (head.head.revision < revision_before_read) {
    HandleStoreRollback(head.head.revision);
    callback(MakeError(ErrorKind::kStoreUnavailable,
                       fmt::format("the store went back to revision {} while {} is in force",
                                   head.head.revision, revision_before_read)));
    return;
  }
  m_recent_ids = head.head.ids;
  if (head.head.revision <= m_state.revision()) {
    callback({});
    return;
  }
  if (m_state.revision() >= head.head.floor) {
    ApplyTail(head.head);
    callback({});
    return;
  }
  m_store.ReadFullCopy(
      head.head,
      m_guard.Wrap([this, callback = std::move(callback)](const Result<ConfigurationDelta>& copy) {
        if (!copy) {
          callback(copy.error());
          return;
        }
        ApplyAndPublish(*copy, false);
        callback({});
      }));
}

void ConfigurationKeeper::ApplyTail(const ConfigurationHead& head) {
  for (const AcceptedChange& change : head.tail) {
    ApplyAndPublish(change.AsDelta(), false);
  }
}

void ConfigurationKeeper::OnAccepted(VersionedHead head) {
  m_recent_ids = head.head.ids;
  ApplyAndPublish(head.head.tail.back().AsDelta(), true);
  CompactIfLarge(head);
}

void ConfigurationKeeper::CompactIfLarge(const VersionedHead& head) {
  const bool current = m_state.revision() == head.head.revision;
  if (m_compacting || !current || head.head.TailSize() <= kCompactionThresholdBytes) {
    return;
  }
  m_compacting = true;
  m_store.Compact(head, m_state, m_guard.Wrap([this](const Result<void>& done) {
    m_compacting = false;
    if (!done) {
      m_parts.logger.Log(LogLevel::kWarning, "configuration_compaction_failed",
                         {{"error", Describe(done.error())}});
    }
  }));
}

void ConfigurationKeeper::OnRumour(const ConfigurationDelta& delta, const Instance& sender) {
  if (delta.after > m_state.revision()) {
    OnPeerRevision(sender, delta.revision);
    return;
  }
  ApplyAndPublish(delta, false);
}

void ConfigurationKeeper::OnPeerRevision(const Instance& peer, ConfigurationRevision revision) {
  const bool waiting = m_fetching && m_parts.clock.Now() - m_fetch_started < kFetchTimeout;
  if (revision <= m_state.revision() || waiting) {
    return;
  }
  m_fetching = true;
  m_fetch_started = m_parts.clock.Now();
  m_fetch_from = peer;
  const auto jitter = RandomBelow(m_random, static_cast<std::uint64_t>(kFetchDelay.count()));
  m_fetch_call = m_parts.scheduler.ScheduleAfter(Duration(jitter), [this, revision] {
    if (m_state.revision() >= revision) {
      m_fetching = false;
    } else {
      Fetch(m_fetch_from);
    }
  });
}

void ConfigurationKeeper::Fetch(const Instance& peer) {
  m_parts.transport.FetchConfiguration(
      peer.peer_address, m_state.revision(),
      m_guard.Wrap([this](const Result<ConfigurationDelta>& answer) { OnFetched(answer); }));
}

void ConfigurationKeeper::OnFetched(const Result<ConfigurationDelta>& answer) {
  m_fetching = false;
  if (answer) {
    ApplyAndPublish(*answer, false);
  }
}

bool ConfigurationKeeper::Apply(const ConfigurationDelta& delta) {
  const DeltaOutcome outcome = m_state.Apply(delta);
  if (outcome == DeltaOutcome::kInvalid) {
    m_parts.logger.Log(LogLevel::kError, "configuration_unreadable",
                       {{"revision", std::to_string(delta.revision)},
                        {"in_force", std::to_string(m_state.revision())}});
  }
  if (outcome != DeltaOutcome::kApplied) {
    return false;
  }
  m_parts.logger.Log(LogLevel::kInfo, "configuration_in_force",
                     {{"revision", std::to_string(m_state.revision())}});
  NotifyListeners();
  return true;
}

void ConfigurationKeeper::ApplyAndPublish(const ConfigurationDelta& delta, bool originated_here) {
  if (!Apply(delta)) {
    return;
  }
  if (EstimateSize(delta) <= kMaxRumourBytes) {
    m_parts.spreader.PublishDelta(delta, originated_here);
  } else {
    m_parts.spreader.PublishRevision();
  }
}

void ConfigurationKeeper::HandleStoreRollback(ConfigurationRevision store_revision) {
  if (m_store_rolled_back) {
    return;
  }
  m_store_rolled_back = true;
  m_parts.logger.Log(LogLevel::kError, "configuration_store_went_back",
                     {{"store_revision", std::to_string(store_revision)},
                      {"in_force", std::to_string(m_state.revision())}});
  m_parts.recorder.Record({m_parts.clock.Now(),
                           "configuration",
                           "keep_newer_than_store",
                           "the store was restored to an older state; accepted changes stay",
                           {{"store_revision", std::to_string(store_revision)},
                            {"in_force", std::to_string(m_state.revision())}}});
  m_reinstate_call = m_parts.scheduler.ScheduleAfter(kReinstateDelay, [this] { CheckReinstate(); });
}

void ConfigurationKeeper::CheckReinstate() {
  const ConfigurationRevision revision_before_read = m_state.revision();
  m_store.ReadHead(m_guard.Wrap([this, revision_before_read](const Result<VersionedHead>& head) {
    if (!head) {
      m_reinstate_call =
          m_parts.scheduler.ScheduleAfter(kReinstateDelay, [this] { CheckReinstate(); });
      return;
    }
    m_store_rolled_back = false;
    if (head->head.revision < revision_before_read) {
      m_store_rolled_back = true;
      Reinstate(*head);
    }
  }));
}

void ConfigurationKeeper::Reinstate(const VersionedHead& lost) {
  ConfigurationHead head;
  head.revision = m_state.revision() + kReinstateRevisionGap;
  head.ids = m_recent_ids;
  const ConfigurationRevision from = m_state.revision();
  const auto reinstated = [this, from, revision = head.revision](const Result<void>& done) {
    m_store_rolled_back = false;
    if (done && m_state.revision() == from) {
      m_state.AdvanceTo(revision);
      m_parts.logger.Log(LogLevel::kWarning, "configuration_store_reinstated",
                         {{"revision", std::to_string(revision)}});
      m_parts.spreader.PublishRevision();
      NotifyListeners();
    }
  };
  m_store.Reinstate(lost, std::move(head), m_state, m_guard.Wrap(reinstated));
}

void ConfigurationKeeper::AddListener(ConfigurationListener& listener) {
  m_listeners.push_back(&listener);
}

void ConfigurationKeeper::RemoveListener(ConfigurationListener& listener) {
  std::erase(m_listeners, &listener);
}

void ConfigurationKeeper::NotifyListeners() {
  const std::shared_ptr<const Configuration> current = m_state.parsed();
  const std::vector<ConfigurationListener*> listeners = m_listeners;
  for (ConfigurationListener* listener : listeners) {
    listener->OnConfigurationChanged(*current);
  }
}

}  // namespace zinnia
