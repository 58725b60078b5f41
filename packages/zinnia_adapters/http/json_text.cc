#include "zinnia_adapters/http/json_text.h"

#include <fmt/format.h>

#include <iterator>

namespace zinnia {
namespace {

bool NeedsEscape(char character) {
  return static_cast<unsigned char>(character) < 0x20 || character == '"' || character == '\\';
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
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (NeedsEscape(text[at])) {
      out.append(text, plain_from, at - plain_from);
      AppendEscaped(out, text[at]);
      plain_from = at + 1;
    }
  }
  out.append(text, plain_from);
  out.push_back('"');
}

}  // namespace zinnia
