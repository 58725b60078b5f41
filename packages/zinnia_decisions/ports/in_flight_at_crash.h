#pragma once

#include <vector>

#include "zinnia_base/hashing/fingerprint.h"

namespace zinnia {

/** The requests that a backend server had in flight when it crashed. */
struct InFlightAtCrash {
  std::vector<Fingerprint> beside_others;

  /** Requests that ran alone, in attempts that began after an earlier crash under the request was
      known. This excludes simultaneous crashes, which do not show that the request caused both. */
  std::vector<Fingerprint> alone;
};

}  // namespace zinnia
