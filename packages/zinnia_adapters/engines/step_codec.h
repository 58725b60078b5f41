#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "zinnia_adapters/engines/pending_step.h"
#include "zinnia_base/errors/result.h"
#include "zinnia_decisions/ports/step.h"

namespace zinnia {

/** What POST /v1/steps answers: the load, and one answer a step in the order of the steps. */
struct DecodedAnswers {
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::vector<StepAnswer> answers;
};

/** The body of POST /v1/steps (docs/PROTOCOLS.md). Written without a document tree: a traffic
    thread encodes tens of thousands of steps a second. */
std::string EncodeSteps(const std::vector<PendingStep>& steps);

/** Fails with kBackendRejected if the body is not JSON of that shape or has another number of
    answers than `expected`. */
Result<DecodedAnswers> DecodeAnswers(std::string_view body, std::size_t expected);

/** The answer of POST /v1/sessions/find. Fails with kBackendRejected. */
Result<HeldSession> DecodeHeldSession(std::string_view body);

}  // namespace zinnia
