#pragma once

#include <functional>
#include <memory>

#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/configuration/configuration_change.h"
#include "zinnia_decisions/configuration/configuration_store.h"
#include "zinnia_decisions/control/callback_guard.h"

namespace zinnia {

/** The keeper's interface for ConfigurationAcceptance. */
class AcceptanceHost {
 public:
  virtual ~AcceptanceHost() = default;

  /** Updates this instance to a head read from the store. `revision_before_read` is the revision in
      force here when the read began. Fails if the store was rolled back below it. */
  virtual void CatchUp(VersionedHead head,
                       ConfigurationRevision revision_before_read,
                       std::function<void(Result<void>)> callback) = 0;

  virtual const ConfigurationState& State() const = 0;

  /** Called after the head was written with the new change. */
  virtual void OnAccepted(VersionedHead head) = 0;
};

/** Writes one operator's change to the store at most once.

    A change is accepted when its compare-and-swap of the head takes effect. If the response is
    lost, the head is read back and searched for the change id; the swap is retried only while the
    head is unchanged.

    Create it with Start and keep it until IsFinished. If it is destroyed earlier, the callback is
    not called and the outcome is unknown.

    @see ConfigurationKeeper
*/
class ConfigurationAcceptance {
 public:
  using Callback = std::function<void(Result<ConfigurationRevision>)>;

  /** The referenced objects must outlive the acceptance. */
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
