#pragma once

#include <string_view>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/ports/store_revision.h"

namespace zinnia {

/** When and from whom this instance took the configuration that it acts by, for the log. */
struct ConfigurationInForce {
  /** Of the configuration's record; the mirror may have advanced since. */
  StoreRevision revision;

  /** "store" or "peer"; empty until a configuration is loaded. */
  std::string_view source;
  TimePoint since{};
};

}  // namespace zinnia
