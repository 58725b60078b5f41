#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "zinnia_base/errors/error.h"
#include "zinnia_decisions/sessions/answer_listener.h"

namespace zinnia {

/** Writes one chat answer in the callers' format: chunks as server-sent events, or one whole
    document. The parts that repeat in each chunk are written once, as a traffic thread writes tens
    of thousands of chunks a second. */
class ChatEvents {
 public:
  ChatEvents(const std::string& answer_id, const std::string& model, std::int64_t created);

  std::string Token(const SampledToken& token, const std::string& event_id, bool first) const;
  std::string Finish(std::string_view finish_reason) const;
  std::string Usage(const AnswerUsage& usage) const;
  static std::string Done();

  /** The stream ends with this in place of [DONE]: what came before is not a whole answer. */
  static std::string Failure(const Error& error);

  /** The whole answer, not an event. */
  std::string Whole(std::string_view text,
                    std::string_view finish_reason,
                    const AnswerUsage& usage) const;

 private:
  std::string Opening(std::string_view object) const;

  std::string m_identity;
  std::string m_chunk_opening;
};

}  // namespace zinnia
