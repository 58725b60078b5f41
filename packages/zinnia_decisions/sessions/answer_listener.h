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

/** Receives a session's answer: tokens in order, each once, then exactly one of OnAnswerDone and
    OnAnswerFailed. `event_id` is what the caller sends back as Last-Event-ID to resume. */
class AnswerListener {
 public:
  virtual ~AnswerListener() = default;
  virtual void OnAnswerToken(const SampledToken& token, const std::string& event_id) = 0;
  virtual void OnAnswerDone(const AnswerUsage& usage) = 0;
  virtual void OnAnswerFailed(const Error& error) = 0;
};

}  // namespace zinnia
