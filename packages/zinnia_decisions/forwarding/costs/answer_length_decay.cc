#include "zinnia_decisions/forwarding/costs/answer_length_decay.h"

#include <cmath>

namespace zinnia {

double AnswerLengthDecay(Duration elapsed) {
  return std::exp2(-std::chrono::duration<double>(elapsed) /
                   std::chrono::duration<double>(kAnswerLengthHalfLife));
}

}  // namespace zinnia
