#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "zinnia_base/logging/logger.h"
#include "zinnia_base/random/random_source.h"
#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/configuration/configuration_acceptance.h"
#include "zinnia_decisions/configuration/configuration_state.h"
#include "zinnia_decisions/configuration/configuration_store.h"
#include "zinnia_decisions/configuration/configuration_view.h"
#include "zinnia_decisions/control/callback_guard.h"
#include "zinnia_decisions/membership/membership_view.h"

namespace zinnia {

class DecisionRecorder;
class PeerTransport;

/** Sends configuration updates to the other instances. */
class ConfigurationPublisher {
 public:
  virtual ~ConfigurationPublisher() = default;

  /** Sends a delta that fits into a datagram. `originated_here`: accepted on this instance. */
  virtual void PublishDelta(const ConfigurationDelta& delta, bool originated_here) = 0;

  /** Sends only the new revision; peers fetch the content, which is too large for a datagram. */
  virtual void PublishRevision() = 0;
};

/** Dependencies of ConfigurationKeeper, which must outlive it. */
struct ConfigurationKeeperParts {
  Clock& clock;
  Scheduler& scheduler;
  PlatformStore& store;
  PeerTransport& transport;
  MembershipView& membership;
  ConfigurationPublisher& spreader;
  DecisionRecorder& recorder;
  Logger& logger;
};

/** Keeps the accepted configuration in force on this instance. Its revision never decreases.

    In each failure domain, two live instances chosen by rendezvous hashing watch the store. The
    others receive changes from peers as rumours, or fetch them when a probe carries a higher
    revision. A new instance takes the highest revision available from the store or from peers. If
    the store shows an older revision than is in force here, it was restored from a backup: the
    newer configuration stays in force and is written back.

    @see ConfigurationAcceptance, ConfigurationState, GossipMembership
*/
class ConfigurationKeeper final : public ConfigurationView,
                                  private AcceptanceHost,
                                  private MembershipListener {
 public:
  ConfigurationKeeper(ConfigurationKeeperParts parts, std::uint64_t seed);
  ~ConfigurationKeeper() override;

  void Start();

  /** Submits an operator's change, which is applied atomically. kRevisionConflict names the newer
      revision and the conflicting paths; on kStoreUnavailable nothing was applied. */
  void Change(ConfigurationChange change, ConfigurationAcceptance::Callback callback);

  void OnRumour(const ConfigurationDelta& delta, const Instance& sender);
  void OnPeerRevision(const Instance& peer, ConfigurationRevision revision);
  ConfigurationDelta DeltaAfter(ConfigurationRevision after) const {
    return m_state.DeltaAfter(after);
  }

  /** Whether a configuration has been loaded. */
  bool IsReady() const { return m_state.revision() > 0; }
  ConfigurationRevision revision() const { return m_state.revision(); }
  bool IsStoreWatcher() const { return m_is_store_watcher; }
  const ConfigurationState& State() const override { return m_state; }

  std::shared_ptr<const Configuration> Current() const override { return m_state.parsed(); }
  void AddListener(ConfigurationListener& listener) override;
  void RemoveListener(ConfigurationListener& listener) override;

 private:
  void OnMembershipChanged() override { SelectStoreWatchers(); }
  void CatchUp(VersionedHead head,
               ConfigurationRevision revision_before_read,
               std::function<void(Result<void>)> callback) override;
  void OnAccepted(VersionedHead head) override;

  void SelectStoreWatchers();
  void ReadThenWatch();
  void Watch(std::uint64_t after_version);
  void OnHead(const Result<VersionedHead>& head, ConfigurationRevision revision_before_read);
  void OnWatchAnswer(std::uint64_t after_version,
                     ConfigurationRevision revision_before_read,
                     const Result<StoreBatch>& batch);
  void ReadLater();
  void ApplyTail(const ConfigurationHead& head);
  bool Apply(const ConfigurationDelta& delta);
  void ApplyAndPublish(const ConfigurationDelta& delta, bool originated_here);
  void Fetch(const Instance& peer);
  void OnFetched(const Result<ConfigurationDelta>& answer);
  void CompactIfLarge(const VersionedHead& head);
  void HandleStoreRollback(ConfigurationRevision store_revision);
  void CheckReinstate();
  void Reinstate(const VersionedHead& lost);
  void NotifyListeners();

  ConfigurationKeeperParts m_parts;
  ConfigurationStore m_store;
  ConfigurationState m_state;
  RandomSource m_random;
  std::vector<ConfigurationListener*> m_listeners;
  std::vector<std::pair<std::string, ConfigurationRevision>> m_recent_ids;

  bool m_is_store_watcher = false;
  bool m_watching = false;
  bool m_compacting = false;
  std::uint32_t m_store_failures = 0;

  bool m_fetching = false;
  TimePoint m_fetch_started{};
  Instance m_fetch_from;

  bool m_store_rolled_back = false;
  std::unique_ptr<ScheduledCall> m_read_call;
  std::unique_ptr<ScheduledCall> m_fetch_call;
  std::unique_ptr<ScheduledCall> m_reinstate_call;
  std::vector<std::shared_ptr<ConfigurationAcceptance>> m_acceptances;
  CallbackGuard m_guard;
};

}  // namespace zinnia
