#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "zinnia_decisions/ports/platform_store.h"

namespace zinnia {

class Logger;

/** Decides which era the store is in, from what its responses and the reports of peers say.

    The first era heard is taken as it is. After that the era only rises: a lower one comes from a
    response or a report that was on its way, and one that is far higher is not plausible, since
    eras rise by one. Both are logged, at most once for each value, and change nothing.

    Used on the control thread only. */
class StoreEraTracker final : public StoreEraListener {
 public:
  /** An instance that is cut off misses no more changes of era than this. */
  static constexpr StoreEra kMaxRise = 1'000;

  StoreEraTracker(Logger& logger, std::function<void(StoreEra)> on_changed);

  /** Empty until an era was heard. */
  std::optional<StoreEra> Era() const { return m_era; }

  void OnStoreEra(StoreEra era) override;
  void OnUnreadableStoreEra(const std::string& text) override;

 private:
  void LogIgnored(const std::string& named, const char* reason);

  Logger& m_logger;
  const std::function<void(StoreEra)> m_on_changed;
  std::optional<StoreEra> m_era;
  std::string m_last_ignored;
};

}  // namespace zinnia
