#include "zinnia_adapters/callers/chat_events.h"

#include <fmt/format.h>

#include "zinnia_adapters/callers/problem_document.h"
#include "zinnia_adapters/http/json_text.h"

namespace zinnia {
namespace {

std::string UsageJson(const AnswerUsage& usage) {
  return fmt::format(
      R"({{"prompt_tokens":{},"completion_tokens":{},"total_tokens":{},"recoveries":{}}})",
      usage.prompt_tokens, usage.answer_tokens, usage.prompt_tokens + usage.answer_tokens,
      usage.recoveries);
}

}  // namespace

ChatEvents::ChatEvents(const std::string& answer_id,
                       const std::string& model,
                       std::int64_t created) {
  m_identity = "{\"id\":";
  AppendJsonString(m_identity, answer_id);
  m_identity += fmt::format(",\"created\":{},\"model\":", created);
  AppendJsonString(m_identity, model);
  m_chunk_opening = "data: " + Opening("chat.completion.chunk");
}

std::string ChatEvents::Opening(std::string_view object) const {
  return fmt::format("{},\"object\":\"{}\"", m_identity, object);
}

std::string ChatEvents::Token(const SampledToken& token,
                              const std::string& event_id,
                              bool first) const {
  std::string event;
  event.reserve(event_id.size() + m_chunk_opening.size() + token.text.size() + 128);
  event += "id: ";
  event += event_id;
  event += "\n";
  event += m_chunk_opening;
  event += ",\"choices\":[{\"index\":0,\"delta\":{";
  event += first ? "\"role\":\"assistant\",\"content\":" : "\"content\":";
  AppendJsonString(event, token.text);
  event += "},\"finish_reason\":null}]}\n\n";
  return event;
}

std::string ChatEvents::Finish(std::string_view finish_reason) const {
  return fmt::format(
      "{},\"choices\":[{{\"index\":0,\"delta\":{{}},\"finish_reason\":\"{}\"}}]}}\n\n",
      m_chunk_opening, finish_reason);
}

std::string ChatEvents::Usage(const AnswerUsage& usage) const {
  return fmt::format("{},\"choices\":[],\"usage\":{}}}\n\n", m_chunk_opening, UsageJson(usage));
}

std::string ChatEvents::Done() {
  return "data: [DONE]\n\n";
}

std::string ChatEvents::Failure(const Error& error) {
  return "event: error\ndata: " + ProblemJson(error) + "\n\n";
}

std::string ChatEvents::Whole(std::string_view text,
                              std::string_view finish_reason,
                              const AnswerUsage& usage) const {
  std::string document = Opening("chat.completion");
  document += ",\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":";
  AppendJsonString(document, text);
  document +=
      fmt::format("}},\"finish_reason\":\"{}\"}}],\"usage\":{}}}", finish_reason, UsageJson(usage));
  return document;
}

}  // namespace zinnia
