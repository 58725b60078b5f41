#pragma once

#include <functional>
#include <memory>

#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/configuration/configuration_change.h"
#include "zinnia_decisions/configuration/configuration_store.h"
#include "zinnia_decisions/control/callback_guard.h"

namespace zinnia {

/** What ConfigurationAcceptance needs from the keeper. */
class AcceptanceHost {
 public:
  virtual ~AcceptanceHost() = default;

  /** Brings this instance up to a head that was read. `revision_before_read` is the revision that
     was in force here when the read began. Fails if the store went back in time. */
  virtual void CatchUp(VersionedHead head,
                       ConfigurationRevision revision_before_read,
                       std::function<void(Result<void>)> callback) = 0;

  virtual const ConfigurationState& State() const = 0;

  /** The head was written with one more change. */
  virtual void OnAccepted(VersionedHead head) = 0;
};

/** Brings one operator's change into the store, once, or says for certain that it did not.

    A change counts as accepted from the moment its compare-and-swap of the head took effect. If the
    answer of the swap is lost, it reads the head back and looks for the change's id, and sends the
    same swap again only while the head is unchanged, so that the change can land but once.

    Create it with Start and keep it until IsFinished. Destroyed before that, it does not call back;
    whether the change was accepted is open then.

    @see ConfigurationKeeper
*/
class ConfigurationAcceptance {
 public:
  using Callback = std::function<void(Result<ConfigurationRevision>)>;

  /** `host` and the others must live as long as the acceptance. */
  static std::shared_ptr<ConfigurationAcceptance> Start(ConfigurationChange change,
                                                        AcceptanceHost& host,
                                                        ConfigurationStore& store,
                                                        Clock& clock,
                                                        Scheduler& scheduler,
                                                        Callback callback);

  bool IsFinished() const { return m_finished; }

 private:
  ConfigurationAcceptance(ConfigurationChange change,
                          AcceptanceHost& host,
                          ConfigurationStore& store,
                          Clock& clock,
                          Scheduler& scheduler,
                          Callback callback);

  void ReadHead();
  void OnHead(Result<VersionedHead> head, ConfigurationRevision revision_before_read);
  void Decide(VersionedHead head);
  void Write(const VersionedHead& head);
  void OnWritten(VersionedHead written, const Result<std::uint64_t>& answer);
  void ScheduleRetry();
  void Finish(Result<ConfigurationRevision> outcome);
  Error ConflictWith(const ConfigurationHead& head) const;
  std::vector<ConfigurationEntry> Entries(ConfigurationRevision revision) const;

  const ConfigurationChange m_change;
  AcceptanceHost& m_host;
  ConfigurationStore& m_store;
  Clock& m_clock;
  Scheduler& m_scheduler;
  Callback m_callback;
  TimePoint m_deadline{};
  bool m_may_have_been_written = false;
  bool m_finished = false;
  std::unique_ptr<ScheduledCall> m_retry_call;
  CallbackGuard m_guard;
};

}  // namespace zinnia
