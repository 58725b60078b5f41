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

/** Decides the intents of one partition that this instance holds and commits them in batches.

    At most one write is in flight; operations that arrive meanwhile go into the next batch. A
    grant is returned only after its write has taken effect; other verdicts are returned from the
    index. A write that fails with kStoreConflict means that another instance has taken over: all
    pending calls fail with kStaleEpoch, and `ended` is called. Nothing is granted while the store
    is unavailable, since the next holder would not know of the grant.

    If a call fails while the outcome of its write is unknown, the intent is withdrawn: a later
    write frees the key. This is safe because a withdrawn attempt is never granted, neither by this
    class nor, after the key is freed, by IntentIndex.

    Callbacks of queued operations run asynchronously, never from within another method. `ended`
    may be called from within a method, so it must not destroy the holder.

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

  /** Writes the queued operations, marks the head as released and calls `ended`. */
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
