#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/once/partition_takeover.h"

namespace zinnia {

/** One partition while this instance holds it: decides intents and commits them in groups.

    One write is under way at a time; what arrives meanwhile goes into the next. A verdict that
    grants is given only after its write is known to have taken effect; verdicts that grant nothing
    come straight from the index. A refused write (kStoreConflict) means that another instance took
    over: every waiting call gets kStaleEpoch, and `ended` is called. Nothing is granted while the
    store does not answer: a grant that is not durable would be unknown to the next holder.

    An intent whose caller was told "not run" while its write was still uncertain is freed by a
    later write of this same holder, so that the key does not stay blocked. That is safe because no
    reply that grants it was or will be sent (IntentIndex refuses the attempt once it is freed, and
    this class refuses it as soon as it is withdrawn).

    Callbacks of what was queued run from a scheduled call of their own, never from inside another
    method. `ended` may be called from inside one: don't destroy the holder there.

    @see PartitionTakeover, OnceCoordinator
*/
class PartitionHolder {
 public:
  using BeginCallback = std::function<void(Result<IntentReply>)>;
  using ReportCallback = std::function<void(Result<void>)>;

  PartitionHolder(const OnceParts& parts,
                  const OnceSettings& settings,
                  std::uint32_t partition,
                  double writes_per_second,
                  RecoveredPartition taken,
                  std::function<void()> ended);
  ~PartitionHolder();

  void Begin(IntentRequest request, BeginCallback callback);
  void Report(IntentOutcome outcome, ReportCallback callback);

  /** Writes what is queued, marks the head as released and ends. */
  void HandOver();

  const PartitionHead& Head() const { return m_head; }

 private:
  struct Operation {
    std::optional<IntentRequest> begin;
    IntentOutcome outcome;
    BeginCallback begin_callback;
    ReportCallback report_callback;
    TimePoint queued_at;
    bool withdrawn = false;
  };
  using OperationPointer = std::shared_ptr<Operation>;

  bool StoreIsFailing() const;
  Error StoreUnavailable(const char* message) const;
  void Enqueue(OperationPointer operation);
  std::optional<Result<IntentReply>> DecideNow(const IntentRequest& request);
  IntentReply MakeReply(IntentVerdict verdict, const IntentRequest& request) const;

  void VerifyThenAnswer(IntentRequest request, BeginCallback callback);
  void OnVerified(const Result<std::optional<StoreRecord>>& result);

  void Pump();
  void PumpLater(Duration delay);
  Duration CommitDelay();
  void BuildBatch();
  bool AddToBatch(const OperationPointer& operation);
  bool AddIntent(const OperationPointer& operation);
  bool AddOutcome(const OperationPointer& operation);
  void AddRecord(const OperationPointer& operation, IntentRecord record);
  void Commit();
  void OnCommitted(Result<std::uint64_t> result);
  void AnswerBatch();
  void RefuseBatch(const Error& error);

  void Roll();
  void CreateSegment(const PartitionHead& head);
  void SwapHead(const PartitionHead& head, std::uint64_t segment_version);
  void OnHeadSwapped(const Result<std::uint64_t>& result,
                     const PartitionHead& head,
                     std::uint64_t segment_version);
  bool NeedsRoll() const;
  bool IsExpired(const std::string& segment) const;
  void DropExpiredSegments(PartitionHead& head);
  void DeleteSegment(const std::string& segment);
  void Release();

  void Sweep();
  void ArmSweep();
  void Withdraw(const OperationPointer& operation);
  void Answer(Operation& operation, const Result<IntentReply>& result);
  void RunAnswers();
  void End(const char* reason);
  std::int64_t UnixMilliseconds() const;

  OnceParts m_parts;
  const OnceSettings& m_settings;
  const std::uint32_t m_partition;
  const double m_writes_per_second;
  std::function<void()> m_ended;
  SettledWriter m_writer;

  PartitionHead m_head;
  std::uint64_t m_head_version;
  std::uint64_t m_segment_version;
  std::uint64_t m_serial = 0;
  std::uint64_t m_rolls = 0;
  std::string m_body;
  std::int64_t m_newest_unix_ms = 0;
  std::map<std::string, std::int64_t> m_sealed_newest_unix_ms;
  std::vector<std::string> m_expired_segments;
  IntentIndex m_index;

  std::vector<OperationPointer> m_unverified;
  std::deque<OperationPointer> m_queue;
  std::vector<OperationPointer> m_batch;
  std::vector<IntentRecord> m_batch_records;
  std::set<std::string> m_batch_keys;
  std::string m_batch_body;
  std::set<std::string> m_withdrawn;

  std::vector<std::function<void()>> m_answers;
  std::unique_ptr<ScheduledCall> m_answer_timer;

  bool m_writing = false;
  bool m_handing_over = false;
  bool m_has_ended = false;
  TimePoint m_write_started{};
  TimePoint m_refuse_until{};
  double m_write_tokens;
  TimePoint m_tokens_at;
  std::unique_ptr<ScheduledCall> m_pump_timer;
  std::unique_ptr<ScheduledCall> m_sweep_timer;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace zinnia
