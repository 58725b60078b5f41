#pragma once

#include <string_view>

#include "zinnia_base/errors/result.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** Numbers the attempts of a session so that a higher one always fences the lower ones.

    From the top: 8 bits count the resumes, 14 bits come from the id of the resuming request, 10
   bits count the attempts of one driver. A resumed stream is therefore above everything that the
    instance before it can still start, also when that instance lives on. Two instances that resume
    from one event id take different numbers but for one case in 16,384, and then the stages answer
    the second one with kWrongLength, so that it takes the next number.
*/
class AttemptNumbers {
 public:
  static constexpr AttemptNumber kFirst = 1;

  /** The first number of a driver that takes over from `older`. Fails with kResumeRefused once an
      answer has been resumed too often for a higher number. */
  static Result<AttemptNumber> ForResume(AttemptNumber older, std::string_view request_id);
};

}  // namespace zinnia
