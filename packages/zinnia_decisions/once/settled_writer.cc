#include "zinnia_decisions/once/settled_writer.h"

#include <cassert>
#include <utility>

#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/once/alive_guard.h"

namespace zinnia {

SettledWriter::SettledWriter(PlatformStore& store,
                             Scheduler& scheduler,
                             std::chrono::milliseconds retry_pause)
    : m_store(store), m_scheduler(scheduler), m_retry_pause(retry_pause) {}

SettledWriter::~SettledWriter() = default;

void SettledWriter::Write(std::string key,
                          std::uint64_t expected_version,
                          std::string value,
                          PlatformStore::WriteCallback callback) {
  // Only one write at a time.
  assert(!m_callback);
  m_key = std::move(key);
  m_expected_version = expected_version;
  m_value = std::move(value);
  m_callback = std::move(callback);
  Send();
}

void SettledWriter::Send() {
  m_store.CompareAndSwap(
      m_key, m_expected_version, m_value, std::nullopt,
      WhileAlive(m_alive, [this](const Result<std::uint64_t>& result) { OnWritten(result); }));
}

void SettledWriter::OnWritten(const Result<std::uint64_t>& result) {
  if (result) {
    return Finish(result);
  }
  const bool lost = result.error().kind == ErrorKind::kStoreOutcomeUnknown;
  m_uncertain = m_uncertain || lost;
  if (!m_uncertain) {
    return Finish(result);
  }
  if (result.error().kind == ErrorKind::kStoreUnavailable) {
    return RetryLater(&SettledWriter::ReadBack);
  }
  ReadBack();
}

void SettledWriter::ReadBack() {
  m_store.Get(m_key, WhileAlive(m_alive, [this](Result<std::optional<StoreRecord>> result) {
                OnReadBack(std::move(result));
              }));
}

void SettledWriter::OnReadBack(Result<std::optional<StoreRecord>> result) {
  if (!result) {
    return RetryLater(&SettledWriter::ReadBack);
  }
  const bool exists = result->has_value() && (*result)->value.has_value();
  const std::uint64_t version = exists ? (*result)->version : 0;
  if (version == m_expected_version) {
    return Send();
  }
  if (exists && *(*result)->value == m_value) {
    return Finish(version);
  }
  Finish(MakeError(ErrorKind::kStoreConflict, m_key + " was written by another instance"));
}

void SettledWriter::RetryLater(void (SettledWriter::*step)()) {
  m_timer = m_scheduler.ScheduleAfter(m_retry_pause, [this, step] { (this->*step)(); });
}

void SettledWriter::Finish(Result<std::uint64_t> result) {
  m_uncertain = false;
  std::exchange(m_callback, nullptr)(std::move(result));
}

}  // namespace zinnia
