#include "zinnia_decisions/once/intent_index.h"

#include <utility>

namespace zinnia {

std::string IntentIndex::KeyOf(const OrganisationName& organisation, const std::string& key) {
  return std::to_string(organisation.size()) + ":" + organisation + key;
}

void IntentIndex::Apply(IntentRecord record) {
  std::string key = KeyOf(record.organisation, record.key);
  Entry& entry = m_records[key];
  ForgetBody(entry);
  entry = {std::move(record), m_next_sequence++};
  if (entry.record.answer && !entry.record.answer->body.empty()) {
    m_body_bytes += entry.record.answer->body.size();
    m_bodies.emplace(entry.sequence, std::move(key));
    DropOldestBodies();
  }
}

void IntentIndex::ForgetBody(const Entry& entry) {
  if (m_bodies.erase(entry.sequence) > 0) {
    m_body_bytes -= entry.record.answer->body.size();
  }
}

/** Bounds the memory for recorded answers, since an instance may hold many partitions. */
void IntentIndex::DropOldestBodies() {
  while (m_body_bytes > m_most_body_bytes) {
    Entry& oldest = m_records.at(m_bodies.begin()->second);
    ForgetBody(oldest);
    oldest.record.answer->body = std::string();
    oldest.record.answer->body_dropped = true;
  }
}

std::optional<Result<IntentVerdict>> IntentIndex::Decide(const IntentRequest& request,
                                                         std::int64_t now_unix_ms) const {
  const IntentRecord* record = Find(request.organisation, request.key);
  if (record == nullptr || record->recorded_unix_ms + m_retention_ms < now_unix_ms) {
    return std::nullopt;
  }
  const bool same_attempt = record->attempt == request.request_id;
  if (record->state == IntentState::kFree) {
    if (!same_attempt) {
      return std::nullopt;
    }
    return MakeError(ErrorKind::kCancelled, "this attempt was withdrawn before its intent came");
  }
  if (record->request != request.request) {
    return IntentVerdict::kKeyReused;
  }
  if (record->state == IntentState::kAnswered) {
    return IntentVerdict::kAnswered;
  }
  return same_attempt ? IntentVerdict::kGranted : IntentVerdict::kStarted;
}

const IntentRecord* IntentIndex::Find(const OrganisationName& organisation,
                                      const std::string& key) const {
  const auto found = m_records.find(KeyOf(organisation, key));
  return found == m_records.end() ? nullptr : &found->second.record;
}

void IntentIndex::DropExpired(std::int64_t now_unix_ms) {
  std::erase_if(m_records, [&](const auto& item) {
    const bool expired = item.second.record.recorded_unix_ms + m_retention_ms < now_unix_ms;
    if (expired) {
      ForgetBody(item.second);
    }
    return expired;
  });
}

}  // namespace zinnia
