#include "streamed_answer.h"

#include <boost/json.hpp>
#include <numeric>

#include "http_client.h"

namespace zinnia::testing {

namespace json = boost::json;

namespace {

constexpr std::string_view kData = "data: ";
constexpr std::string_view kEventId = "id: ";
constexpr std::string_view kAnswerPrefix = "chatcmpl-";

std::string TextOf(const json::object& object, std::string_view field) {
  const json::value* value = object.if_contains(field);
  return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

/** The rest of the event's line that begins with `field`. */
std::string FieldOf(const std::string& event, std::string_view field) {
  std::size_t at = event.starts_with(field) ? 0 : event.find("\n" + std::string(field));
  if (at == std::string::npos) {
    return {};
  }
  at += (at == 0 ? 0 : 1) + field.size();
  return event.substr(at, event.find('\n', at) - at);
}

}  // namespace

std::string StreamedAnswer::Text() const {
  return std::accumulate(tokens.begin(), tokens.end(), std::string());
}

StreamedAnswer StreamedAnswer::Read(const HttpAnswer& answer) {
  StreamedAnswer read;
  read.status = answer.status;
  if (answer.status != 0 && answer.status != 200) {
    if (answer.whole) {
      read.ReadProblem(answer.body);
    }
    return read;
  }
  std::size_t begin = 0;
  for (std::size_t end = answer.body.find("\n\n"); end != std::string::npos;
       end = answer.body.find("\n\n", begin)) {
    read.ReadEvent(answer.body.substr(begin, end - begin));
    begin = end + 2;
  }
  return read;
}

void StreamedAnswer::ReadEvent(const std::string& event) {
  const std::string data = FieldOf(event, kData);
  if (data == "[DONE]") {
    done = true;
  } else if (event.starts_with("event: error")) {
    ReadProblem(data);
  } else if (!data.empty()) {
    ReadChunk(data);
    if (const std::string id = FieldOf(event, kEventId); !id.empty()) {
      last_event_id = id;
    }
  }
}

void StreamedAnswer::ReadChunk(const std::string& text) {
  const json::value chunk = json::parse(text);
  session = TextOf(chunk.as_object(), "id").substr(kAnswerPrefix.size());
  if (const json::value* usage = chunk.as_object().if_contains("usage")) {
    recoveries = usage->at("recoveries").to_number<int>();
  }
  for (const json::value& choice : chunk.at("choices").as_array()) {
    if (choice.at("delta").as_object().contains("content")) {
      tokens.push_back(TextOf(choice.at("delta").as_object(), "content"));
    }
  }
}

void StreamedAnswer::ReadProblem(const std::string& text) {
  const json::value problem = json::parse(text);
  error_kind = TextOf(problem.as_object(), "kind");
  was_run = TextOf(problem.as_object(), "was_run");
  detail = TextOf(problem.as_object(), "detail");
}

std::string ProblemOf(const HttpAnswer& answer) {
  if (!answer.whole || answer.headers["Content-Type"] != "application/problem+json") {
    return {};
  }
  const json::value problem = answer.Json();
  return TextOf(problem.as_object(), "kind") + "/" + TextOf(problem.as_object(), "was_run");
}

}  // namespace zinnia::testing
