#include "zinnia_decisions/once/partition_holder.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "zinnia_base/decisions/decision_record.h"
#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/once/alive_guard.h"

namespace zinnia {
namespace {

/** A lost answer is normally settled within a few store calls; only after this long does it count
    as a failing store, so that one lost answer does not turn callers away. */
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
                                 TakenPartition taken,
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
    // A recorded answer stays true; that a key is taken may have ended since.
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

/** What fails without it: a holder that lost the partition and has had nothing to write since says
    "outcome unknown" of a key that the new holder has answered or freed. One read, shared by all
    who wait for it, tells. If it fails, "outcome unknown" is still true of what is known here. */
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

void PartitionHolder::Pump() {
  if (m_has_ended || m_writing) {
    return;
  }
  if (m_queue.empty()) {
    return m_handing_over ? Release() : void();
  }
  const Duration delay = CommitDelay();
  if (delay > Duration::zero()) {
    return PumpLater(delay);
  }
  if (NeedsRoll()) {
    return Roll();
  }
  BuildBatch();
  if (!m_batch.empty()) {
    return Commit();
  }
  if (!m_queue.empty() || m_handing_over) {
    PumpLater(m_settings.retry_pause);
  }
}

void PartitionHolder::PumpLater(Duration delay) {
  m_pump_timer = m_parts.scheduler.ScheduleAfter(delay, [this] { Pump(); });
}

/** How long to wait before the next write: for the write budget, after a refusal by the store, and
    with outcomes only, for an intent to share the write with. */
Duration PartitionHolder::CommitDelay() {
  using Seconds = std::chrono::duration<double>;
  const TimePoint now = m_parts.clock.Now();
  m_write_tokens += Seconds(now - m_tokens_at).count() * m_writes_per_second;
  m_write_tokens = std::min(m_write_tokens, m_settings.write_burst);
  m_tokens_at = now;
  Duration delay = m_refuse_until - now;
  if (m_write_tokens < 1.0) {
    const Seconds until_token{(1.0 - m_write_tokens) / m_writes_per_second};
    delay = std::max(delay, std::chrono::duration_cast<Duration>(until_token) + Duration(1));
  }
  const auto is_intent = [](const auto& operation) { return operation->begin.has_value(); };
  if (!m_handing_over && std::none_of(m_queue.begin(), m_queue.end(), is_intent)) {
    delay = std::max<Duration>(delay, m_queue.front()->queued_at + m_settings.outcome_delay - now);
  }
  return delay;
}

void PartitionHolder::BuildBatch() {
  std::deque<OperationPointer> queue;
  queue.swap(m_queue);
  while (!queue.empty() && m_batch_body.size() < m_settings.most_write_bytes) {
    const OperationPointer operation = std::move(queue.front());
    queue.pop_front();
    if (!AddToBatch(operation)) {
      m_queue.push_back(operation);
    }
  }
  m_queue.insert(m_queue.end(), queue.begin(), queue.end());
}

/** Returns false if the operation has to wait for another one on the same key. */
bool PartitionHolder::AddToBatch(const OperationPointer& operation) {
  const auto& begin = operation->begin;
  const std::string key =
      begin ? IntentIndex::KeyOf(begin->organisation, begin->key)
            : IntentIndex::KeyOf(operation->outcome.organisation, operation->outcome.key);
  if (m_batch_keys.contains(key)) {
    return false;
  }
  if (begin ? AddIntent(operation) : AddOutcome(operation)) {
    m_batch_keys.insert(key);
  }
  return true;
}

/** Returns true if the intent needs a write; otherwise it has been answered. */
bool PartitionHolder::AddIntent(const OperationPointer& operation) {
  const IntentRequest& request = *operation->begin;
  if (const auto decided = DecideNow(request)) {
    Answer(*operation, *decided);
    return false;
  }
  IntentRecord record{request.organisation, request.key, request.request, request.request_id};
  AddRecord(operation, std::move(record));
  return true;
}

bool PartitionHolder::AddOutcome(const OperationPointer& operation) {
  const IntentOutcome& outcome = operation->outcome;
  const IntentRecord* known = m_index.Find(outcome.organisation, outcome.key);
  const bool is_own = known != nullptr && known->attempt == outcome.request_id;
  const bool is_open = is_own && known->state == IntentState::kStarted;
  // An unused attempt without a record: its intent may still be on its way here. The record keeps
  // it from being granted to nobody, which would block the key.
  const bool closes_early = known == nullptr && !outcome.answer;
  if (!is_open && !closes_early) {
    const bool repeated = is_own && outcome.answer.has_value() == known->answer.has_value();
    const bool nothing_to_free = !is_own && !outcome.answer;
    Answer(*operation, repeated || nothing_to_free
                           ? Result<IntentReply>(IntentReply{})
                           : MakeError(ErrorKind::kNotFound, "no such grant is open"));
    return false;
  }
  IntentRecord record{outcome.organisation, outcome.key, {}, outcome.request_id};
  record.request = is_open ? known->request : Fingerprint{};
  record.state = outcome.answer ? IntentState::kAnswered : IntentState::kFree;
  record.answer = outcome.answer;
  if (record.answer && record.answer->body.size() > m_settings.most_answer_bytes) {
    record.answer->body.clear();
    record.answer->body_dropped = true;
  }
  AddRecord(operation, std::move(record));
  return true;
}

void PartitionHolder::AddRecord(const OperationPointer& operation, IntentRecord record) {
  record.recorded_unix_ms = UnixMilliseconds();
  m_batch_body += EncodeIntentRecord(record);
  m_batch.push_back(operation);
  m_batch_records.push_back(std::move(record));
}

void PartitionHolder::Commit() {
  m_writing = true;
  m_write_started = m_parts.clock.Now();
  m_write_tokens -= 1.0;
  m_serial += 1;
  const bool is_last = m_body.size() + m_batch_body.size() > m_settings.segment_bytes;
  const SegmentHeader header{m_head.epoch, m_serial, is_last};
  m_writer.Write(SegmentPrefix(m_partition) + m_head.segments.back(), m_segment_version,
                 EncodeSegmentHeader(header) + m_body + m_batch_body,
                 [this](Result<std::uint64_t> result) { OnCommitted(std::move(result)); });
}

void PartitionHolder::OnCommitted(Result<std::uint64_t> result) {
  if (m_has_ended) {
    return;
  }
  if (!result && result.error().kind == ErrorKind::kStoreConflict) {
    return End("another instance sealed the open segment");
  }
  if (result) {
    m_segment_version = *result;
    m_body += m_batch_body;
    AnswerBatch();
  } else {
    m_refuse_until = m_parts.clock.Now() + m_settings.store_pause;
    RefuseBatch(StoreUnavailable("the store refused the write, so nothing was granted"));
  }
  m_batch_body.clear();
  m_batch_keys.clear();
  m_writing = false;
  Pump();
}

void PartitionHolder::AnswerBatch() {
  std::vector<OperationPointer> batch;
  batch.swap(m_batch);
  for (IntentRecord& record : m_batch_records) {
    m_newest_unix_ms = std::max(m_newest_unix_ms, record.recorded_unix_ms);
    if (record.state == IntentState::kFree) {
      m_withdrawn.erase(record.attempt);
    }
    m_index.Apply(std::move(record));
  }
  m_batch_records.clear();
  for (const OperationPointer& operation : batch) {
    if (operation->withdrawn && operation->begin) {
      Withdraw(operation);
    } else if (operation->begin) {
      Answer(*operation, MakeReply(IntentVerdict::kGranted, *operation->begin));
    } else {
      Answer(*operation, IntentReply{});
    }
  }
}

void PartitionHolder::RefuseBatch(const Error& error) {
  std::vector<OperationPointer> batch;
  batch.swap(m_batch);
  m_batch_records.clear();
  for (const OperationPointer& operation : batch) {
    const bool is_own_withdrawal = !operation->begin && !operation->report_callback;
    if (is_own_withdrawal && !operation->withdrawn) {
      m_queue.push_back(operation);
    } else if (operation->begin) {
      m_withdrawn.erase(operation->begin->request_id);
    }
    Answer(*operation, error);
  }
}

/** Frees the key of an intent that took effect after its caller was told "not run". */
void PartitionHolder::Withdraw(const OperationPointer& operation) {
  auto withdrawal = std::make_shared<Operation>();
  const IntentRequest& request = *operation->begin;
  withdrawal->outcome = {m_partition, request.organisation, request.key, request.request_id, {}};
  withdrawal->queued_at = m_parts.clock.Now();
  m_queue.push_back(std::move(withdrawal));
}

void PartitionHolder::ArmSweep() {
  if (!m_sweep_timer) {
    m_sweep_timer = m_parts.scheduler.ScheduleAfter(kSweepInterval, [this] { Sweep(); });
  }
}

/** Answers whoever waited too long: a call is never left without an answer, however long the store
    takes. An intent that is still queued is in no write; one in a write is withdrawn. */
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

/** Answers the caller, once and later, so that a caller who calls back in cannot disturb a loop
    here. A withdrawn or internal operation has no caller. */
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
