#pragma once

#include <vector>

#include "zinnia_base/hashing/fingerprint.h"

namespace zinnia {

/** The requests that a backend server had in flight when it crashed. */
struct InFlightAtCrash {
  std::vector<Fingerprint> beside_others;

  /** Ran by themselves, in attempts that began when an earlier crash under the request was known,
     and reached the server after that. Two servers that died in the same moment look the same to a
      request that ran at both; these saw a server die that had lived on. */
  std::vector<Fingerprint> alone;
};

}  // namespace zinnia
