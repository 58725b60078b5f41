#include "zinnia_adapters/callers/chat_body.h"

#include <fmt/format.h>

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <limits>

namespace zinnia {
namespace {

namespace json = boost::json;

constexpr std::uint32_t kMostTokens = 1'000'000;

[[noreturn]] void Refuse(std::string message) {
  throw ErrorException(MakeError(ErrorKind::kInvalidRequest, std::move(message)));
}

const json::value* FindField(const json::object& object, std::string_view field) {
  const json::value* value = object.if_contains(field);
  return value != nullptr && value->is_null() ? nullptr : value;
}

std::string ReadString(const json::object& object, std::string_view field) {
  const json::value* value = FindField(object, field);
  if (value == nullptr || !value->is_string()) {
    Refuse(fmt::format("{} must be a string", field));
  }
  return std::string(value->as_string());
}

bool ReadFlag(const json::object& object, std::string_view field) {
  const json::value* value = FindField(object, field);
  if (value == nullptr) {
    return false;
  }
  if (!value->is_bool()) {
    Refuse(fmt::format("{} must be true or false", field));
  }
  return value->as_bool();
}

std::optional<std::uint64_t> ReadCount(const json::object& object,
                                       std::string_view field,
                                       std::uint64_t least,
                                       std::uint64_t most) {
  const json::value* value = FindField(object, field);
  if (value == nullptr) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto number = value->is_double() ? 0 : value->to_number<std::uint64_t>(error);
  if (error || value->is_double() || number < least || number > most) {
    Refuse(fmt::format("{} must be a whole number from {} to {}", field, least, most));
  }
  return number;
}

/** Content is a string, or parts of which only text is understood. */
std::string ReadContent(const json::object& message) {
  const json::value* content = FindField(message, "content");
  if (content == nullptr || !content->is_array()) {
    return ReadString(message, "content");
  }
  std::string text;
  for (const json::value& part : content->as_array()) {
    if (!part.is_object() || ReadString(part.as_object(), "type") != "text") {
      Refuse("content must be a string or a list of parts of type text");
    }
    text += ReadString(part.as_object(), "text");
  }
  return text;
}

std::string RenderPrompt(const json::object& document) {
  const json::value* messages = FindField(document, "messages");
  if (messages == nullptr || !messages->is_array() || messages->as_array().empty()) {
    Refuse("messages must be a list with at least one message");
  }
  std::string prompt;
  for (const json::value& message : messages->as_array()) {
    if (!message.is_object()) {
      Refuse("each message must be an object with role and content");
    }
    const std::string role = ReadString(message.as_object(), "role");
    prompt += role + ": " + ReadContent(message.as_object()) + "\n";
  }
  return prompt + "assistant:";
}

ChatBody Read(const json::object& document) {
  ChatBody chat;
  chat.model = ReadString(document, "model");
  chat.prompt = RenderPrompt(document);
  auto most = ReadCount(document, "max_completion_tokens", 1, kMostTokens);
  if (!most) {
    most = ReadCount(document, "max_tokens", 1, kMostTokens);
  }
  if (most) {
    chat.max_tokens = static_cast<std::uint32_t>(*most);
  }
  chat.seed = ReadCount(document, "seed", 0, std::numeric_limits<std::int64_t>::max());
  chat.stream = ReadFlag(document, "stream");
  if (ReadCount(document, "n", 0, kMostTokens).value_or(1) != 1) {
    Refuse("n must be 1: send one request for each answer");
  }
  if (const json::value* options = FindField(document, "stream_options")) {
    if (!options->is_object()) {
      Refuse("stream_options must be an object");
    }
    chat.include_usage = ReadFlag(options->as_object(), "include_usage");
  }
  return chat;
}

}  // namespace

Result<ChatBody> ParseChatBody(std::string_view body) {
  boost::system::error_code error;
  const json::value document = json::parse(body, error);
  if (error || !document.is_object()) {
    return MakeError(ErrorKind::kInvalidRequest, "the body must be a JSON object");
  }
  try {
    return Read(document.as_object());
  } catch (const ErrorException& exception) {
    return exception.GetError();
  }
}

}  // namespace zinnia
