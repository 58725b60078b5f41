#pragma once

#include <cstdint>
#include <string>

#include "zinnia_base/errors/error.h"
#include "zinnia_decisions/ports/step.h"

namespace zinnia {

/** Token counts of a finished answer. */
struct AnswerUsage {
  std::uint32_t prompt_tokens = 0;
  std::uint32_t answer_tokens = 0;
  std::uint32_t recoveries = 0;
};

/** Receives a session's answer: each token exactly once and in order, then either OnAnswerDone or
    OnAnswerFailed. A caller resumes by sending `event_id` as Last-Event-ID. */
class AnswerListener {
 public:
  virtual ~AnswerListener() = default;
  virtual void OnAnswerToken(const SampledToken& token, const std::string& event_id) = 0;
  virtual void OnAnswerDone(const AnswerUsage& usage) = 0;
  virtual void OnAnswerFailed(const Error& error) = 0;
};

}  // namespace zinnia
