#pragma once

#include <string_view>

#include "zinnia_base/errors/result.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** Assigns attempt numbers, which serve as fencing tokens: a higher one invalidates all lower
    ones.

    From the most significant bit: 8 bits count resumes, 14 bits hash the id of the resuming
    request, 10 bits count the attempts of one driver. A resumed session therefore outranks every
    attempt that the previous instance can still start. If two instances resume from the same event
    id and their hashes collide, the stages answer the second one with kWrongLength and it
    continues with its next number.
*/
class AttemptNumbers {
 public:
  static constexpr AttemptNumber kFirst = 1;

  /** Returns the first number of a driver that resumes after `older`. Fails with kResumeRefused
      when the resume counter is exhausted. */
  static Result<AttemptNumber> ForResume(AttemptNumber older, std::string_view request_id);
};

}  // namespace zinnia
