#include "tests/forwarding_path/strict_answer_parser.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace zinnia {
namespace {

constexpr std::string_view kVersion = "HTTP/1.1 ";
constexpr std::size_t kStatusDigits = 3;
constexpr std::size_t kMaxSizeDigits = 8;

bool IsTokenByte(unsigned char byte) {
  return std::isalnum(byte) != 0 ||
         std::string_view("!#$%&'*+-.^_`|~").find(byte) != std::string_view::npos;
}

bool IsTextByte(unsigned char byte) {
  return byte == '\t' || (byte >= ' ' && byte != 0x7f);
}

/** Parses digits only, without sign, prefix or blanks. */
bool ParseSize(std::string_view text, int base, std::size_t& size) {
  if (text.empty() || text.size() > kMaxSizeDigits) {
    return false;
  }
  const auto result = std::from_chars(text.data(), text.data() + text.size(), size, base);
  return result.ec == std::errc() && result.ptr == text.data() + text.size();
}

}  // namespace

StrictAnswer StrictAnswerParser::Parse(std::string_view bytes) {
  StrictAnswerParser parser(bytes);
  if (parser.ReadStatusLine() && parser.ReadFields(false)) {
    parser.m_answer.has_head = true;
    if (parser.ReadBody()) {
      parser.m_answer.state = StrictState::kWhole;
      parser.m_answer.size = bytes.size() - parser.m_rest.size();
    }
  }
  return parser.m_answer;
}

bool StrictAnswerParser::Fail(const std::string& fault) {
  m_answer.state = StrictState::kFaulty;
  m_answer.fault = fault;
  return false;
}

bool StrictAnswerParser::TakeLine(std::string_view& line) {
  const std::size_t end = m_rest.find('\n');
  if (end == std::string_view::npos) {
    return false;
  }
  if (end == 0 || m_rest[end - 1] != '\r') {
    return Fail("a line ends without CR");
  }
  line = m_rest.substr(0, end - 1);
  m_rest.remove_prefix(end + 1);
  return std::ranges::all_of(line, IsTextByte) || Fail("a control byte in a line");
}

bool StrictAnswerParser::ReadStatusLine() {
  const std::size_t shared = std::min(m_rest.size(), kVersion.size());
  if (m_rest.substr(0, shared) != kVersion.substr(0, shared)) {
    return Fail("no status line");
  }
  std::string_view line;
  if (!TakeLine(line)) {
    return false;
  }
  line.remove_prefix(kVersion.size());
  std::size_t status = 0;
  if (line.size() <= kStatusDigits || line[kStatusDigits] != ' ' ||
      !ParseSize(line.substr(0, kStatusDigits), 10, status)) {
    return Fail("a malformed status");
  }
  m_answer.status = static_cast<unsigned>(status);
  return (status >= 200 && status <= 599) || Fail("status " + std::to_string(status));
}

bool StrictAnswerParser::ReadFields(bool is_trailer) {
  for (std::string_view line; TakeLine(line);) {
    if (line.empty()) {
      return true;
    }
    if (!ReadField(line, is_trailer)) {
      return false;
    }
  }
  return false;
}

bool StrictAnswerParser::ReadField(std::string_view line, bool is_trailer) {
  const std::size_t colon = line.find(':');
  std::string name(line.substr(0, colon));
  if (colon == std::string_view::npos || name.empty() || !std::ranges::all_of(name, IsTokenByte)) {
    return Fail("a malformed field");
  }
  std::ranges::transform(name, name.begin(), [](unsigned char byte) { return std::tolower(byte); });
  std::string_view value = line.substr(colon + 1);
  value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
  value = value.substr(0, value.find_last_not_of(" \t") + 1);
  const bool is_framing = name == "content-length" || name == "transfer-encoding";
  if (is_framing && (is_trailer || m_answer.fields.contains(name))) {
    return Fail("repeated framing: " + name);
  }
  if (!is_trailer) {
    m_answer.fields[name] = value;
  }
  return true;
}

bool StrictAnswerParser::ReadBody() {
  const auto length = m_answer.fields.find("content-length");
  const auto encoding = m_answer.fields.find("transfer-encoding");
  const bool has_length = length != m_answer.fields.end();
  const bool has_encoding = encoding != m_answer.fields.end();
  if (m_answer.status == 204 || m_answer.status == 304) {
    const bool has_forbidden_length = has_length && m_answer.status == 204;
    return (!has_encoding && !has_forbidden_length) || Fail("framing of an answer without a body");
  }
  if (has_encoding) {
    return (!has_length && encoding->second == "chunked") ? ReadChunks() : Fail("two framings");
  }
  std::size_t size = 0;
  if (!has_length || !ParseSize(length->second, 10, size)) {
    return Fail("a body without framing");
  }
  return TakeBytes(size);
}

bool StrictAnswerParser::TakeBytes(std::size_t count) {
  const std::size_t there = std::min(count, m_rest.size());
  m_answer.body += m_rest.substr(0, there);
  m_rest.remove_prefix(there);
  return there == count;
}

bool StrictAnswerParser::ReadChunks() {
  for (std::string_view line; TakeLine(line);) {
    std::size_t size = 0;
    if (!ParseSize(line, 16, size)) {
      return Fail("a malformed chunk size");
    }
    if (size == 0) {
      return ReadFields(true);
    }
    if (!TakeBytes(size) || !TakeLine(line)) {
      return false;
    }
    if (!line.empty()) {
      return Fail("a chunk that is longer than its size");
    }
  }
  return false;
}

}  // namespace zinnia
