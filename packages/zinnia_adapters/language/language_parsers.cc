#include "zinnia_adapters/language/language_parsers.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace zinnia::language {
namespace {

namespace json = boost::json;

constexpr std::array<std::pair<std::string_view, std::string_view>, 6> kEntryKinds = {{
    {"pipeline", "pipeline"},
    {"organisation", "organisation"},
    {"model", "model"},
    {"service", "service"},
    {"backend_server", "server"},
    {"link", "link"},
}};

char ToLower(char character) {
  return static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
}

/** Parses the JSON value at the start of `text` and gives the bytes taken, 0 for none. */
std::size_t TakeJson(std::string_view text, json::value& value) {
  json::stream_parser parser;
  boost::system::error_code error;
  const std::size_t taken = parser.write_some(text.data(), text.size(), error);
  // A number at the end of the text is only known to be complete once the text is.
  if (!error && !parser.done()) {
    parser.finish(error);
  }
  if (error) {
    return 0;
  }
  value = parser.release();
  return taken;
}

}  // namespace

bool IsWordCharacter(char character) {
  return std::isalnum(static_cast<unsigned char>(character)) != 0 ||
         std::string_view("_.:/-").find(character) != std::string_view::npos;
}

std::string_view BareWordAt(std::string_view text) {
  const auto* end = std::find_if_not(text.begin(), text.end(), IsWordCharacter);
  return text.substr(0, static_cast<std::size_t>(end - text.begin()));
}

std::size_t TakeWord(std::string_view text, std::string& word) {
  if (!text.starts_with('"')) {
    word = BareWordAt(text);
    return word.size();
  }
  json::value value;
  const std::size_t taken = TakeJson(text, value);
  if (taken == 0 || !value.is_string() || value.as_string().empty()) {
    return 0;
  }
  word = std::string(value.as_string());
  return taken;
}

std::size_t TakeValue(std::string_view text, json::value& value) {
  const std::size_t taken = TakeJson(text, value);
  // "10.0.0.1:80" starts like a number, but is a word.
  const bool ends_inside_word = taken > 0 && taken < text.size() &&
                                IsWordCharacter(text[taken - 1]) && IsWordCharacter(text[taken]);
  if (taken > 0 && !ends_inside_word) {
    return taken;
  }
  const std::string_view word = BareWordAt(text);
  value = json::string(word.data(), word.size());
  return word.size();
}

std::size_t Keyword::Take(std::string_view text, x3::unused_type) const {
  const std::string_view word = BareWordAt(text);
  const bool same = std::equal(word.begin(), word.end(), m_word.begin(), m_word.end(),
                               [](char left, char right) { return ToLower(left) == right; });
  return same ? word.size() : 0;
}

std::size_t TableName::Take(std::string_view text, TableKind& kind) const {
  const std::string_view word = BareWordAt(text);
  const auto found = TableKindFromName(word);
  kind = found.value_or(kind);
  return found ? word.size() : 0;
}

std::size_t EntryKind::Take(std::string_view text, std::string& path_prefix) const {
  const std::string_view word = BareWordAt(text);
  for (const auto& [name, prefix] : kEntryKinds) {
    if (word == name) {
      path_prefix = prefix;
      return word.size();
    }
  }
  return 0;
}

std::size_t Scalar::Take(std::string_view text, TableCell& cell) const {
  json::value value;
  const std::size_t taken = TakeValue(text, value);
  if (value.is_bool()) {
    cell = value.as_bool();
  } else if (value.is_int64()) {
    cell = value.as_int64();
  } else if (value.is_number()) {
    cell = value.to_number<double>();
  } else if (value.is_string()) {
    cell = std::string(value.as_string());
  } else {
    return 0;
  }
  return taken;
}

std::size_t JsonText::Take(std::string_view text, std::string& json_text) const {
  json::value value;
  const std::size_t taken = TakeValue(text, value);
  json_text = json::serialize(value);
  return taken;
}

std::size_t JsonObject::Take(std::string_view text, std::string& json_text) const {
  json::value value;
  const std::size_t taken = TakeJson(text, value);
  json_text = json::serialize(value);
  return value.is_object() ? taken : 0;
}

std::string EntryKindNames() {
  std::string names;
  for (const auto& [name, prefix] : kEntryKinds) {
    names += (names.empty() ? "" : ", ") + std::string(name);
  }
  return names;
}

std::string TableNames() {
  std::string names;
  for (const TableKind kind : AllTableKinds()) {
    names += (names.empty() ? "" : ", ") + std::string(NameOf(kind));
  }
  return names;
}

}  // namespace zinnia::language
