#include "zinnia_decisions/once/once_records.h"

#include <fmt/format.h>

#include <array>
#include <boost/json.hpp>
#include <charconv>
#include <string_view>
#include <utility>

namespace zinnia {
namespace {

namespace json = boost::json;

constexpr std::array<std::pair<IntentState, std::string_view>, 3> kStateNames = {{
    {IntentState::kStarted, "started"},
    {IntentState::kAnswered, "answered"},
    {IntentState::kFree, "free"},
}};

std::string_view NameOf(IntentState state) {
  for (const auto& [value, name] : kStateNames) {
    if (value == state) {
      return name;
    }
  }
  return "started";
}

/** Maps unknown names to kStarted, the state in which a request is never run again. */
IntentState StateFromName(std::string_view name) {
  for (const auto& [value, known] : kStateNames) {
    if (known == name) {
      return value;
    }
  }
  return IntentState::kStarted;
}

std::string ToText(const json::value& value) {
  return std::string(value.as_string());
}

std::uint64_t FromHex(std::string_view text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value, 16);
  return value;
}

/** Returns whether `body` can be stored as a JSON string. Other bodies are stored in hexadecimal.
 */
bool IsJsonText(const std::string& body) {
  boost::system::error_code error;
  json::parse(json::serialize(json::string(body)), error);
  return !error;
}

std::string ToHex(const std::string& bytes) {
  std::string text;
  for (const unsigned char byte : bytes) {
    text += fmt::format("{:02x}", byte);
  }
  return text;
}

std::string BytesFromHex(std::string_view text) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
    bytes += static_cast<char>(FromHex(text.substr(i, 2)));
  }
  return bytes;
}

json::object EncodeAnswer(const RecordedAnswer& answer) {
  json::object object{{"status", answer.status},
                      {"content_type", answer.content_type},
                      {"body_dropped", answer.body_dropped}};
  if (IsJsonText(answer.body)) {
    object["body"] = answer.body;
  } else {
    object["body_hex"] = ToHex(answer.body);
  }
  return object;
}

RecordedAnswer DecodeAnswer(const json::object& object) {
  RecordedAnswer answer;
  answer.status = object.at("status").to_number<std::uint32_t>();
  answer.content_type = ToText(object.at("content_type"));
  answer.body_dropped = object.at("body_dropped").as_bool();
  const json::value* body = object.if_contains("body");
  answer.body = body != nullptr ? ToText(*body) : BytesFromHex(ToText(object.at("body_hex")));
  return answer;
}

IntentRecord DecodeRecord(const json::object& object) {
  IntentRecord record;
  record.organisation = ToText(object.at("organisation"));
  record.key = ToText(object.at("key"));
  const std::string request = ToText(object.at("request"));
  record.request = {FromHex(request.substr(0, 16)), FromHex(request.substr(16))};
  record.attempt = ToText(object.at("attempt"));
  record.state = StateFromName(ToText(object.at("state")));
  record.recorded_unix_ms = object.at("recorded_unix_ms").to_number<std::int64_t>();
  if (const json::value* answer = object.if_contains("answer")) {
    record.answer = DecodeAnswer(answer->as_object());
  }
  return record;
}

/** Runs `decode` and converts exceptions of the JSON library to an Error. */
template <typename Decode>
auto Decoded(const char* what, Decode decode) -> Result<decltype(decode())> {
  try {
    return decode();
  } catch (const std::exception& exception) {
    return MakeError(ErrorKind::kInternal,
                     fmt::format("the store's {} cannot be read: {}", what, exception.what()));
  }
}

}  // namespace

std::string HeadKey(std::uint32_t partition) {
  return kOnceHeadPrefix + std::to_string(partition);
}

std::string SegmentPrefix(std::uint32_t partition) {
  return fmt::format("once/segment/{}/", partition);
}

std::string EncodeLayout(std::uint32_t partitions) {
  return json::serialize(json::object{{"partitions", partitions}});
}

Result<std::uint32_t> DecodeLayout(const std::string& text) {
  return Decoded("layout record", [&] {
    return json::parse(text).as_object().at("partitions").to_number<std::uint32_t>();
  });
}

std::string EncodeHead(const PartitionHead& head) {
  json::array segments(head.segments.begin(), head.segments.end());
  return json::serialize(json::object{{"epoch", head.epoch},
                                      {"released", head.released},
                                      {"holder", head.holder.name},
                                      {"start", head.holder.start},
                                      {"address", head.holder.peer_address.ToString()},
                                      {"segments", std::move(segments)}});
}

Result<PartitionHead> DecodeHead(const std::string& text) {
  return Decoded("partition head", [&] {
    const json::value value = json::parse(text);
    const json::object& object = value.as_object();
    PartitionHead head;
    head.epoch = object.at("epoch").to_number<std::uint64_t>();
    head.released = object.at("released").as_bool();
    head.holder.name = ToText(object.at("holder"));
    head.holder.start = object.at("start").to_number<std::uint64_t>();
    head.holder.peer_address = NetworkAddress::Parse(ToText(object.at("address"))).value();
    for (const json::value& segment : object.at("segments").as_array()) {
      head.segments.push_back(ToText(segment));
    }
    return head;
  });
}

std::string EncodeSegmentHeader(const SegmentHeader& header) {
  return json::serialize(json::object{
             {"epoch", header.epoch}, {"serial", header.serial}, {"sealed", header.sealed}}) +
         "\n";
}

std::string EncodeIntentRecord(const IntentRecord& record) {
  json::object object{
      {"organisation", record.organisation}, {"key", record.key},
      {"request", record.request.ToHex()},   {"attempt", record.attempt},
      {"state", NameOf(record.state)},       {"recorded_unix_ms", record.recorded_unix_ms}};
  if (record.answer) {
    object["answer"] = EncodeAnswer(*record.answer);
  }
  return json::serialize(object) + "\n";
}

Result<Segment> DecodeSegment(const std::string& text) {
  return Decoded("segment", [&] {
    Segment segment;
    const std::size_t header_end = text.find('\n') + 1;
    const json::value header = json::parse(text.substr(0, header_end));
    segment.header.epoch = header.at("epoch").to_number<std::uint64_t>();
    segment.header.serial = header.at("serial").to_number<std::uint64_t>();
    segment.header.sealed = header.at("sealed").as_bool();
    segment.body = text.substr(header_end);
    for (std::size_t at = header_end; at < text.size();) {
      const std::size_t end = text.find('\n', at);
      segment.records.push_back(
          DecodeRecord(json::parse(std::string_view(text).substr(at, end - at)).as_object()));
      at = end + 1;
    }
    return segment;
  });
}

}  // namespace zinnia
