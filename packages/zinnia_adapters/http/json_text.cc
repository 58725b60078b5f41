#include "zinnia_adapters/http/json_text.h"

#include <fmt/format.h>

#include <cstdint>
#include <cstring>
#include <iterator>

namespace zinnia {
namespace {

bool NeedsEscape(char character) {
  return static_cast<unsigned char>(character) < 0x20 || character == '"' || character == '\\';
}

constexpr std::uint64_t Repeated(std::uint64_t byte) {
  return byte * 0x0101010101010101ULL;
}

/** Whether any of the eight bytes is below `bound` (at most 128); the usual bit trick. */
constexpr bool HasByteBelow(std::uint64_t bytes, std::uint64_t bound) {
  return ((bytes - Repeated(bound)) & ~bytes & Repeated(0x80)) != 0;
}

/** Whether one of the eight bytes may need an escape; true also for some that do not. Hidden states
    are long and plain: looking at them byte by byte cost more than all else of a step. */
bool MayNeedEscape(const char* eight_bytes) {
  std::uint64_t bytes = 0;
  std::memcpy(&bytes, eight_bytes, sizeof(bytes));
  return HasByteBelow(bytes, 0x20) || HasByteBelow(bytes ^ Repeated('"'), 1) ||
         HasByteBelow(bytes ^ Repeated('\\'), 1);
}

void AppendEscaped(std::string& out, char character) {
  switch (character) {
    case '"':
      out += "\\\"";
      return;
    case '\\':
      out += "\\\\";
      return;
    case '\n':
      out += "\\n";
      return;
    default:
      fmt::format_to(std::back_inserter(out), "\\u{:04x}", static_cast<unsigned char>(character));
  }
}

}  // namespace

void AppendJsonString(std::string& out, std::string_view text) {
  out.push_back('"');
  std::size_t plain_from = 0;
  std::size_t at = 0;
  while (at < text.size()) {
    if (at + sizeof(std::uint64_t) <= text.size() && !MayNeedEscape(text.data() + at)) {
      at += sizeof(std::uint64_t);
      continue;
    }
    if (NeedsEscape(text[at])) {
      out.append(text, plain_from, at - plain_from);
      AppendEscaped(out, text[at]);
      plain_from = at + 1;
    }
    ++at;
  }
  out.append(text, plain_from);
  out.push_back('"');
}

}  // namespace zinnia
