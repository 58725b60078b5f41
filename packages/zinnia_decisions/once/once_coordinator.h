#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "zinnia_decisions/membership/membership_view.h"
#include "zinnia_decisions/once/holder_failure_detector.h"
#include "zinnia_decisions/once/intent_handler.h"
#include "zinnia_decisions/once/once_gate.h"
#include "zinnia_decisions/once/outcome_reporter.h"
#include "zinnia_decisions/once/partition_role.h"

namespace zinnia {

/** Provides at-most-once execution for requests with an idempotency key. Each instance has one.

    Begin sends the intent to the holder of the key's partition, which records it in the platform's
    store, and calls back within `begin_timeout`. Every error from Begin has WasRun::kNo: a grant
    that may have been recorded is never returned to the caller, and is reported as unused until the
    key is free again or `report_for` has passed.

    Each call of Begin gets its own attempt id, independent of its request_id. If the holder's reply
    is lost, the attempt is sent again and may be granted again, since the caller has got no result
    yet. The callback runs once.

    Call Start after Create, and HandOver before a planned stop. Use it on the control thread only.

    @see DispatchWindow, PartitionHolder, OutcomeReporter
*/
class OnceCoordinator final : public OnceGate, public IntentHandler, private MembershipListener {
 public:
  /** Fails with kInvalidSettings. */
  static Result<std::unique_ptr<OnceCoordinator>> Create(OnceParts parts,
                                                         OnceSettings settings,
                                                         std::uint64_t seed);
  ~OnceCoordinator() override;

  /** Reads the layout and takes over partitions without a holder, where this instance should. */
  void Start();

  /** Sets `request.partition` and `request.asking_instance` itself. */
  void Begin(IntentRequest request, std::function<void(Result<IntentReply>)> callback) override;

  /** `outcome` has the same request_id as in Begin. The callback runs when the outcome is recorded
      or reporting it has finally failed. */
  void Report(IntentOutcome outcome, std::function<void(Result<void>)> callback) override;

  void OnBeginIntent(IntentRequest request,
                     std::function<void(Result<IntentReply>)> callback) override;
  void OnReportOutcome(IntentOutcome outcome, std::function<void(Result<void>)> callback) override;

  /** Releases all partitions. Begin continues to work through the other instances. `done` runs
      within `hand_over_timeout`, even if the store is unavailable; partitions not released by then
      are taken over as those of a failed instance. */
  void HandOver(std::function<void()> done);

  std::size_t HeldPartitions();

  /** Returns the number of grants without a reported outcome. */
  std::size_t OpenGrants() const { return m_grants.size(); }
  std::size_t PendingReports() const;

 private:
  struct PendingBegin;
  struct Grant;
  using PendingBeginPointer = std::shared_ptr<PendingBegin>;
  using HolderCallback = std::function<void(Result<PartitionHolder*>)>;

  OnceCoordinator(OnceParts parts, OnceSettings settings, std::uint64_t seed);
  void OnMembershipChanged() override;
  void ReadLayout();
  void OnLayoutRead(const Result<std::optional<StoreRecord>>& result);
  void WriteLayout();
  void UseLayout(std::uint32_t partitions);
  void Tick();

  PendingBeginPointer MakePendingBegin(IntentRequest request,
                                       std::function<void(Result<IntentReply>)> callback);
  void Step(const PendingBeginPointer& pending);
  void RefreshFor(const PendingBeginPointer& pending);
  void SendToLocalHolder(const PendingBeginPointer& pending);
  void SendToPeer(const PendingBeginPointer& pending, const Instance& target);
  void NoteReply(std::uint32_t partition,
                 const Instance& target,
                 TimePoint sent_at,
                 const Result<IntentReply>& result);
  void OnReply(const PendingBeginPointer& pending, std::uint32_t round, Result<IntentReply> result);
  void OnCallLate(const PendingBeginPointer& pending);
  void OnCallTimeout(const PendingBeginPointer& pending);
  void OnHolderSilent(const Instance& holder);
  void CheckForNewHolder(const PendingBeginPointer& pending);
  void RetryNow(const PendingBeginPointer& pending);
  void RetryLater(const PendingBeginPointer& pending);
  void OnDeadline(const PendingBeginPointer& pending);
  void Finish(const PendingBeginPointer& pending, Result<IntentReply> result);
  void RememberGrant(const PendingBegin& pending);
  void RecordBegin(const PendingBegin& pending);
  void RecordVerdict(const PendingBegin& pending, const Result<IntentReply>& result);
  void RecordRefusal(const std::string& request_id, const Error& error);
  std::function<void(Result<void>)> RecordingOutcome(const std::string& request_id,
                                                     bool has_answer,
                                                     std::function<void(Result<void>)> callback);
  std::string HolderName(std::uint32_t partition);

  void WithHolder(std::uint32_t partition, const HolderCallback& callback);
  PartitionRole* RoleOf(std::uint32_t partition);
  std::uint32_t PartitionOf(const OrganisationName& organisation, const std::string& key) const;
  Error Refusal(ErrorKind kind, const char* message) const;
  Duration Jittered(Duration duration);

  OnceParts m_parts;
  const OnceSettings m_settings;
  RandomSource m_random;
  HolderFailureDetector m_failure_detector;
  TakeoverSlots m_takeover_slots;
  std::vector<std::unique_ptr<PartitionRole>> m_roles;
  std::unique_ptr<OutcomeReporter> m_reporter;
  std::list<Grant> m_grants;
  std::map<std::string, std::list<Grant>::iterator> m_grants_by_request;
  std::set<PendingBeginPointer> m_pending_begins;
  std::size_t m_waiting_for_role = 0;
  std::uint64_t m_next_attempt = 1;
  bool m_layout_under_way = false;
  bool m_leaving = false;
  std::unique_ptr<ScheduledCall> m_tick_timer;
  std::unique_ptr<ScheduledCall> m_hand_over_timer;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace zinnia
