#include "zinnia_decisions/sessions/attempt_numbers.h"

#include <cstdint>
#include <limits>

#include "zinnia_base/hashing/fingerprint.h"

namespace zinnia {
namespace {

constexpr std::uint32_t kCounterBits = 10;
constexpr std::uint32_t kRequestBits = 14;
constexpr std::uint32_t kResumeShift = kCounterBits + kRequestBits;
constexpr std::uint32_t kMaxResumes = std::numeric_limits<AttemptNumber>::max() >> kResumeShift;

}  // namespace

Result<AttemptNumber> AttemptNumbers::ForResume(AttemptNumber older, std::string_view request_id) {
  const std::uint32_t resumes = (older >> kResumeShift) + 1;
  if (resumes > kMaxResumes) {
    return MakeError(ErrorKind::kResumeRefused, "the answer was resumed too often");
  }
  const std::uint64_t request_part = Hash64(request_id) & ((1U << kRequestBits) - 1);
  return static_cast<AttemptNumber>((resumes << kResumeShift) | (request_part << kCounterBits) |
                                    kFirst);
}

}  // namespace zinnia
