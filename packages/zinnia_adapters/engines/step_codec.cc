#include "zinnia_adapters/engines/step_codec.h"

#include <fmt/format.h>

#include <array>
#include <boost/json/monotonic_resource.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <boost/system/system_error.hpp>
#include <iterator>
#include <utility>

#include "zinnia_adapters/engines/step_batch.h"
#include "zinnia_adapters/http/json_text.h"

namespace zinnia {
namespace {

namespace json = boost::json;

constexpr std::array kStatusesOnTheWire = {
    StepStatus::kDone,      StepStatus::kWrongLength, StepStatus::kUnknownSession,
    StepStatus::kNotLoaded, StepStatus::kLeaving,     StepStatus::kOverloaded,
    StepStatus::kRejected,
};

constexpr std::size_t kParserBufferBytes = 65'536;
constexpr std::size_t kTypicalStepBytes = 256;

void AppendNumber(std::string& out, std::uint64_t number) {
  const fmt::format_int text(number);
  out.append(text.data(), text.size());
}

void AppendField(std::string& out, std::string_view name, std::uint64_t number) {
  out.append(name);
  AppendNumber(out, number);
}

void AppendTokens(std::string& out, const TokenInput& input) {
  if (!input.prompt.empty()) {
    out += ",\"prompt\":";
    AppendJsonString(out, input.prompt);
  }
  if (input.tokens.empty()) {
    return;
  }
  out += ",\"tokens\":[";
  for (const TokenId token : input.tokens) {
    AppendNumber(out, token);
    out.push_back(',');
  }
  out.back() = ']';
}

void AppendStates(std::string& out, const HiddenInput& input) {
  out += ",\"states\":[";
  for (const std::string& state : input.states) {
    AppendJsonString(out, state);
    out.push_back(',');
  }
  if (out.back() == ',') {
    out.pop_back();
  }
  out.push_back(']');
}

void AppendStep(std::string& out, const StepRequest& step) {
  out += "{\"session\":";
  AppendJsonString(out, step.session);
  AppendField(out, ",\"attempt\":", step.attempt);
  AppendField(out, ",\"position\":", step.position);
  AppendField(out, ",\"first_layer\":", step.layers.first);
  AppendField(out, ",\"end_layer\":", step.layers.end);
  out += ",\"version\":";
  AppendJsonString(out, step.version);
  AppendField(out, ",\"priority\":", step.priority);
  AppendField(out, ",\"seed\":", step.seed);
  out += step.sample ? ",\"sample\":true" : ",\"sample\":false";
  if (const auto* tokens = std::get_if<TokenInput>(&step.input)) {
    AppendTokens(out, *tokens);
  } else {
    AppendStates(out, std::get<HiddenInput>(step.input));
  }
  if (step.adopt) {
    AppendField(out, ",\"adopt\":{\"attempt\":", step.adopt->attempt);
    AppendField(out, ",\"length\":", step.adopt->length);
    out.push_back('}');
  }
  out.push_back('}');
}

StepStatus StatusFromName(std::string_view name) {
  for (const StepStatus status : kStatusesOnTheWire) {
    if (NameOf(status) == name) {
      return status;
    }
  }
  throw ErrorException(
      MakeError(ErrorKind::kBackendRejected, fmt::format("unknown step status \"{}\"", name)));
}

std::uint32_t ReadCount(const json::object& object, std::string_view field) {
  const json::value* value = object.if_contains(field);
  return value == nullptr ? 0 : value->to_number<std::uint32_t>();
}

SampledToken ReadToken(const json::object& object) {
  SampledToken token;
  token.id = ReadCount(object, "id");
  if (const json::value* text = object.if_contains("text")) {
    token.text = std::string(text->as_string());
  }
  if (const json::value* end = object.if_contains("end")) {
    token.end_of_answer = end->as_bool();
  }
  return token;
}

StepAnswer ReadAnswer(const json::object& object) {
  StepAnswer answer;
  answer.status = StatusFromName(object.at("status").as_string());
  answer.attempt = ReadCount(object, "attempt");
  answer.length = ReadCount(object, "length");
  answer.prompt_tokens = ReadCount(object, "prompt_tokens");
  if (const json::value* states = object.if_contains("states"); states && states->is_array()) {
    for (const json::value& state : states->as_array()) {
      answer.states.emplace_back(state.as_string());
    }
  }
  if (const json::value* token = object.if_contains("token"); token && token->is_object()) {
    answer.token = ReadToken(token->as_object());
  }
  return answer;
}

/** Runs `read` on the parsed body; whatever does not fit becomes kBackendRejected. */
template <typename Value, typename Read>
Result<Value> Decode(std::string_view body, const Read& read) {
  try {
    std::array<unsigned char, kParserBufferBytes> buffer;
    json::monotonic_resource memory(buffer.data(), buffer.size());
    const json::value document = json::parse(body, &memory);
    return read(document.as_object());
  } catch (const ErrorException& exception) {
    return exception.GetError();
  } catch (const std::exception& exception) {
    return MakeError(ErrorKind::kBackendRejected,
                     fmt::format("the engine's answer is not understood: {}", exception.what()));
  }
}

}  // namespace

std::string EncodeSteps(const std::vector<PendingStep>& steps) {
  std::size_t bytes = 0;
  for (const PendingStep& pending : steps) {
    bytes += kTypicalStepBytes + BytesOf(pending.step);
  }
  std::string out;
  out.reserve(bytes);
  out += "{\"steps\":[";
  for (const PendingStep& pending : steps) {
    AppendStep(out, pending.step);
    out.push_back(',');
  }
  out.back() = ']';
  out.push_back('}');
  return out;
}

Result<DecodedAnswers> DecodeAnswers(std::string_view body, std::size_t expected) {
  return Decode<DecodedAnswers>(body, [&](const json::object& document) -> Result<DecodedAnswers> {
    DecodedAnswers decoded;
    if (const json::value* load = document.if_contains("load")) {
      decoded.running = ReadCount(load->as_object(), "running");
      decoded.queued = ReadCount(load->as_object(), "queued");
    }
    const json::array& answers = document.at("answers").as_array();
    if (answers.size() != expected) {
      return MakeError(ErrorKind::kBackendRejected,
                       fmt::format("{} answers to {} steps", answers.size(), expected));
    }
    decoded.answers.reserve(answers.size());
    for (const json::value& answer : answers) {
      decoded.answers.push_back(ReadAnswer(answer.as_object()));
    }
    return decoded;
  });
}

Result<HeldSession> DecodeHeldSession(std::string_view body) {
  return Decode<HeldSession>(body, [](const json::object& document) -> Result<HeldSession> {
    HeldSession held;
    held.attempt = ReadCount(document, "attempt");
    held.length = ReadCount(document, "length");
    held.prompt_tokens = ReadCount(document, "prompt_tokens");
    if (const json::value* tokens = document.if_contains("tokens")) {
      for (const json::value& token : tokens->as_array()) {
        held.tokens.push_back(ReadToken(token.as_object()));
      }
    }
    return held;
  });
}

}  // namespace zinnia
