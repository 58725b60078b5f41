#include "zinnia_decisions/forwarding/observed_state/store_era_tracker.h"

#include <utility>

#include "zinnia_base/logging/logger.h"

namespace zinnia {

StoreEraTracker::StoreEraTracker(Logger& logger, std::function<void(StoreEra)> on_changed)
    : m_logger(logger), m_on_changed(std::move(on_changed)) {}

void StoreEraTracker::OnStoreEra(StoreEra era) {
  if (!m_era) {
    m_era = era;
    m_on_changed(era);
    return;
  }
  if (era == *m_era) {
    return;
  }
  if (era < *m_era) {
    LogIgnored(std::to_string(era), "lower than the known era");
    return;
  }
  if (era - *m_era > kMaxRise) {
    LogIgnored(std::to_string(era), "implausibly high");
    return;
  }
  m_logger.Log(LogLevel::kWarning, "store_era_changed",
               {{"before", std::to_string(*m_era)}, {"era", std::to_string(era)}});
  m_era = era;
  m_last_ignored.clear();
  m_on_changed(era);
}

void StoreEraTracker::OnUnreadableStoreEra(const std::string& text) {
  LogIgnored(text, "not a number");
}

void StoreEraTracker::LogIgnored(const std::string& named, const char* reason) {
  if (named == m_last_ignored) {
    return;
  }
  m_last_ignored = named;
  m_logger.Log(
      LogLevel::kWarning, "store_era_ignored",
      {{"named", named}, {"era", m_era ? std::to_string(*m_era) : "none"}, {"reason", reason}});
}

}  // namespace zinnia
