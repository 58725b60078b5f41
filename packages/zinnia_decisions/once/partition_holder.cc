#include "zinnia_decisions/once/partition_holder.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "zinnia_base/decisions/decision_record.h"
#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/once/alive_guard.h"

namespace zinnia {
namespace {

/** Time to resolve a write with an unknown outcome before Begin starts refusing requests. Some
   store calls resolve it, so that one lost response does not turn callers away. */
constexpr std::chrono::milliseconds kSettlingGrace{250};
constexpr std::chrono::milliseconds kSweepInterval{100};

Error StaleEpoch() {
  return MakeError(ErrorKind::kStaleEpoch, "this instance does not hold the partition any more");
}

}  // namespace

PartitionHolder::PartitionHolder(const OnceParts& parts,
                                 const OnceSettings& settings,
                                 std::uint32_t partition,
                                 double writes_per_second,
                                 RecoveredPartition taken,
                                 std::function<void()> ended)
    : m_parts(parts),
      m_settings(settings),
      m_partition(partition),
      m_writes_per_second(writes_per_second),
      m_ended(std::move(ended)),
      m_writer(parts.store, parts.scheduler, settings.retry_pause),
      m_head(std::move(taken.head)),
      m_head_version(taken.head_version),
      m_segment_version(taken.segment_version),
      m_sealed_newest_unix_ms(std::move(taken.newest_unix_ms)),
      m_index(std::move(taken.index)),
      m_write_tokens(settings.write_burst),
      m_tokens_at(parts.clock.Now()) {}

PartitionHolder::~PartitionHolder() = default;

void PartitionHolder::Begin(IntentRequest request, BeginCallback callback) {
  if (m_has_ended || m_handing_over) {
    return callback(StaleEpoch());
  }
  if (const auto decided = DecideNow(request)) {
    // A recorded answer never changes, but a started intent may have been closed by a new holder.
    const bool may_be_stale = *decided && ((*decided)->verdict == IntentVerdict::kStarted ||
                                           (*decided)->verdict == IntentVerdict::kKeyReused);
    return may_be_stale ? VerifyThenAnswer(std::move(request), std::move(callback))
                        : callback(*decided);
  }
  if (StoreIsFailing()) {
    return callback(StoreUnavailable("the store does not answer, so nothing can be granted"));
  }
  if (m_index.size() >= m_settings.most_entries) {
    m_index.DropExpired(UnixMilliseconds());
  }
  if (m_queue.size() >= m_settings.most_queued || m_index.size() >= m_settings.most_entries) {
    Error error = MakeError(ErrorKind::kOverloaded, "too many non-idempotent requests at once");
    error.retry_after = m_settings.retry_after;
    return callback(std::move(error));
  }
  auto operation = std::make_shared<Operation>();
  operation->begin = std::move(request);
  operation->begin_callback = std::move(callback);
  Enqueue(std::move(operation));
}

/** Reads the head to check that this instance still holds the partition, and then answers. An idle
    holder that lost the partition would otherwise return kStarted for a key that the new holder has
    answered or freed. Concurrent requests share one read. If the read fails, the verdict from the
    local index is returned. */
void PartitionHolder::VerifyThenAnswer(IntentRequest request, BeginCallback callback) {
  auto operation = std::make_shared<Operation>();
  operation->begin = std::move(request);
  operation->begin_callback = std::move(callback);
  m_unverified.push_back(std::move(operation));
  if (m_unverified.size() == 1) {
    m_parts.store.Get(HeadKey(m_partition),
                      WhileAlive(m_alive, [this](const Result<std::optional<StoreRecord>>& result) {
                        OnVerified(result);
                      }));
  }
}

void PartitionHolder::OnVerified(const Result<std::optional<StoreRecord>>& result) {
  if (!m_has_ended && result && result->has_value() && (*result)->value) {
    const Result<PartitionHead> head = DecodeHead(*(*result)->value);
    if (head && head->epoch != m_head.epoch) {
      return End("another instance swapped the head");
    }
  }
  for (const OperationPointer& operation : std::exchange(m_unverified, {})) {
    const auto decided = m_has_ended ? std::nullopt : DecideNow(*operation->begin);
    Answer(*operation, decided.value_or(StaleEpoch()));
  }
}

void PartitionHolder::Report(IntentOutcome outcome, ReportCallback callback) {
  if (m_has_ended || m_handing_over) {
    return callback(StaleEpoch());
  }
  if (m_queue.size() >= 2 * m_settings.most_queued) {
    return callback(MakeError(ErrorKind::kOverloaded, "too many outcomes wait to be recorded"));
  }
  auto operation = std::make_shared<Operation>();
  operation->outcome = std::move(outcome);
  operation->report_callback = std::move(callback);
  Enqueue(std::move(operation));
}

void PartitionHolder::HandOver() {
  m_handing_over = true;
  Pump();
}

bool PartitionHolder::StoreIsFailing() const {
  const TimePoint now = m_parts.clock.Now();
  return now < m_refuse_until || (m_writer.IsUncertain() && now - m_write_started > kSettlingGrace);
}

Error PartitionHolder::StoreUnavailable(const char* message) const {
  Error error = MakeError(ErrorKind::kStoreUnavailable, message);
  error.retry_after = m_settings.retry_after;
  return error;
}

void PartitionHolder::Enqueue(OperationPointer operation) {
  operation->queued_at = m_parts.clock.Now();
  m_queue.push_back(std::move(operation));
  ArmSweep();
  Pump();
}

std::optional<Result<IntentReply>> PartitionHolder::DecideNow(const IntentRequest& request) {
  if (m_withdrawn.contains(request.request_id)) {
    return MakeError(ErrorKind::kCancelled, "this attempt was answered with an error before");
  }
  const auto decided = m_index.Decide(request, UnixMilliseconds());
  if (!decided) {
    return std::nullopt;
  }
  if (!*decided) {
    return decided->error();
  }
  return MakeReply(**decided, request);
}

IntentReply PartitionHolder::MakeReply(IntentVerdict verdict, const IntentRequest& request) const {
  IntentReply reply;
  reply.verdict = verdict;
  reply.epoch = m_head.epoch;
  reply.valid_for_ms = static_cast<std::uint32_t>(m_settings.valid_for.count());
  if (verdict == IntentVerdict::kAnswered) {
    reply.answer = m_index.Find(request.organisation, request.key)->answer;
  }
  return reply;
}

void PartitionHolder::ArmSweep() {
  if (!m_sweep_timer) {
    m_sweep_timer = m_parts.scheduler.ScheduleAfter(kSweepInterval, [this] { Sweep(); });
  }
}

/** Fails operations that have waited too long, so that every call gets an answer even if the store
    does not respond. A queued operation is removed; an intent that is being written is withdrawn.
 */
void PartitionHolder::Sweep() {
  m_sweep_timer.reset();
  const TimePoint oldest = m_parts.clock.Now() - m_settings.begin_timeout * 3 / 4;
  for (const OperationPointer& operation : m_batch) {
    if (operation->queued_at < oldest && !operation->withdrawn) {
      operation->withdrawn = operation->begin || operation->report_callback;
      if (operation->begin) {
        m_withdrawn.insert(operation->begin->request_id);
      }
      Answer(*operation, MakeError(ErrorKind::kStoreOutcomeUnknown,
                                   "the store did not say whether the write took effect"));
    }
  }
  std::erase_if(m_queue, [&](const OperationPointer& operation) {
    const bool has_caller = operation->begin_callback || operation->report_callback;
    const bool is_late = has_caller && operation->queued_at < oldest;
    if (is_late) {
      Answer(*operation, StoreUnavailable("the store took too long"));
    }
    return is_late;
  });
  if (!m_queue.empty() || !m_batch.empty()) {
    ArmSweep();
  }
}

/** Schedules the operation's callback, at most once. The callback runs asynchronously because it
    may call into this object again. Withdrawn and internal operations have no callback. */
void PartitionHolder::Answer(Operation& operation, const Result<IntentReply>& result) {
  if (auto callback = std::exchange(operation.begin_callback, nullptr)) {
    m_answers.emplace_back([callback = std::move(callback), result] { callback(result); });
  }
  if (auto callback = std::exchange(operation.report_callback, nullptr)) {
    m_answers.emplace_back([callback = std::move(callback), result] {
      callback(result ? Result<void>() : Result<void>(result.error()));
    });
  }
  if (!m_answer_timer && !m_answers.empty()) {
    m_answer_timer = m_parts.scheduler.ScheduleAfter({}, [this] { RunAnswers(); });
  }
}

void PartitionHolder::RunAnswers() {
  m_answer_timer.reset();
  const std::vector<std::function<void()>> answers = std::exchange(m_answers, {});
  for (const auto& answer : answers) {
    answer();
  }
}

void PartitionHolder::End(const char* reason) {
  m_has_ended = true;
  m_pump_timer.reset();
  m_sweep_timer.reset();
  m_parts.recorder.Record({m_parts.clock.Now(),
                           fmt::format("once_partition {}", m_partition),
                           "end_holding",
                           reason,
                           {{"epoch", std::to_string(m_head.epoch)}}});
  m_queue.insert(m_queue.end(), m_batch.begin(), m_batch.end());
  m_queue.insert(m_queue.end(), m_unverified.begin(), m_unverified.end());
  m_unverified.clear();
  m_batch.clear();
  std::deque<OperationPointer> queue;
  queue.swap(m_queue);
  for (const OperationPointer& operation : queue) {
    Answer(*operation, StaleEpoch());
  }
  m_ended();
}

std::int64_t PartitionHolder::UnixMilliseconds() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             m_parts.clock.WallNow().time_since_epoch())
      .count();
}

}  // namespace zinnia
