#include "zinnia_decisions/once/intent_index.h"

#include <utility>

namespace zinnia {

std::string IntentIndex::KeyOf(const OrganisationName& organisation, const std::string& key) {
  return std::to_string(organisation.size()) + ":" + organisation + key;
}

void IntentIndex::Apply(IntentRecord record) {
  std::string key = KeyOf(record.organisation, record.key);
  m_records[std::move(key)] = std::move(record);
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
  return found == m_records.end() ? nullptr : &found->second;
}

void IntentIndex::DropExpired(std::int64_t now_unix_ms) {
  std::erase_if(m_records, [&](const auto& item) {
    return item.second.recorded_unix_ms + m_retention_ms < now_unix_ms;
  });
}

}  // namespace zinnia
