#include "zinnia_adapters/http/json_text.h"

#include <fmt/format.h>

#include <algorithm>
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

constexpr std::size_t kWord = sizeof(std::uint64_t);
constexpr std::size_t kBlock = 8 * kWord;

/** Whether one of the eight bytes may need an escape; true also for some that do not. Hidden states
    are long and plain: looking at them byte by byte cost more than all else of a step. */
bool MayNeedEscape(const char* eight_bytes) {
  std::uint64_t bytes = 0;
  std::memcpy(&bytes, eight_bytes, sizeof(bytes));
  return HasByteBelow(bytes, 0x20) || HasByteBelow(bytes ^ Repeated('"'), 1) ||
         HasByteBelow(bytes ^ Repeated('\\'), 1);
}

/** The same of a whole block, without a branch for each word, so that compilers use vectors. */
bool BlockMayNeedEscape(const char* block) {
  std::uint64_t found = 0;
  for (std::size_t at = 0; at < kBlock; at += kWord) {
    std::uint64_t bytes = 0;
    std::memcpy(&bytes, block + at, kWord);
    const std::uint64_t quote = bytes ^ Repeated('"');
    const std::uint64_t backslash = bytes ^ Repeated('\\');
    found |= ((bytes - Repeated(0x20)) & ~bytes) | ((quote - Repeated(1)) & ~quote) |
             ((backslash - Repeated(1)) & ~backslash);
  }
  return (found & Repeated(0x80)) != 0;
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

/** Writes what the bytes of `text` from `at` up to `end` need. Plain bytes are copied only
    before an escape: those from `plain_from` on are still to be written. */
void EscapeRange(std::string& out,
                 std::string_view text,
                 std::size_t at,
                 std::size_t end,
                 std::size_t& plain_from) {
  while (at < end) {
    if (at + kWord <= end && !MayNeedEscape(text.data() + at)) {
      at += kWord;
      continue;
    }
    if (NeedsEscape(text[at])) {
      out.append(text, plain_from, at - plain_from);
      AppendEscaped(out, text[at]);
      plain_from = at + 1;
    }
    ++at;
  }
}

}  // namespace

void AppendJsonString(std::string& out, std::string_view text) {
  out.push_back('"');
  std::size_t plain_from = 0;
  for (std::size_t at = 0; at < text.size(); at += kBlock) {
    const std::size_t end = std::min(at + kBlock, text.size());
    if (end - at < kBlock || BlockMayNeedEscape(text.data() + at)) {
      EscapeRange(out, text, at, end, plain_from);
    }
  }
  out.append(text, plain_from);
  out.push_back('"');
}

}  // namespace zinnia
