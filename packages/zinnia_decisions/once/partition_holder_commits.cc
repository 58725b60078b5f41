#include <algorithm>
#include <utility>

#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/once/partition_holder.h"

/** The part of PartitionHolder that writes batches of intents and outcomes to the open segment. */
namespace zinnia {

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

/** Returns the delay before the next write: from the rate limit, the pause after a store error,
    and, if only outcomes are queued, the time to wait for an intent to share the write with. */
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

/** Returns false if the batch already contains an operation on the same key. */
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

/** Returns false if the intent was answered without a write. */
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
  // The intent of an unused attempt may still be in flight. Recording it as free prevents a later
  // grant that nobody would use and that would block the key.
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

/** Frees the key of an intent whose write took effect after its call had failed. */
void PartitionHolder::Withdraw(const OperationPointer& operation) {
  auto withdrawal = std::make_shared<Operation>();
  const IntentRequest& request = *operation->begin;
  withdrawal->outcome = {m_partition, request.organisation, request.key, request.request_id, {}};
  withdrawal->queued_at = m_parts.clock.Now();
  m_queue.push_back(std::move(withdrawal));
}

}  // namespace zinnia
