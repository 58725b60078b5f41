#pragma once

#include <string>
#include <string_view>

#include <boost/json.hpp>
#include <boost/spirit/home/x3.hpp>

#include "zinnia_adapters/language/comparison.h"
#include "zinnia_decisions/operators/table_kind.h"

/** The words of the operators' language as Spirit X3 parsers. Heavy: include only in the grammar's
    .cc. Each has a name for error messages, given through get_info below. */
namespace zinnia::language {

namespace x3 = boost::spirit::x3;

/** A character of a bare word: letters, digits and _ . : / - */
bool IsWordCharacter(char character);

/** The bare word at the start of `text`, which may be empty. */
std::string_view BareWordAt(std::string_view text);

/** A bare word or a quoted string at the start of `text`. Gives the bytes taken, 0 for none. */
std::size_t TakeWord(std::string_view text, std::string& word);

/** A JSON value at the start of `text`, or a bare word, which stands for a string. Gives the bytes
    taken, 0 for none. */
std::size_t TakeValue(std::string_view text, boost::json::value& value);

/** What the parsers share: skip white space, give the rest of the text to Take, step forward. */
template <typename Derived, typename Attribute>
struct TextParser : x3::parser<Derived> {
  using attribute_type = Attribute;
  // The name is the library's.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool has_attribute = !std::is_same_v<Attribute, x3::unused_type>;

  template <typename Iterator, typename Context, typename RuleContext, typename Actual>
  bool parse(Iterator& first,
             const Iterator& last,
             const Context& context,
             RuleContext&,
             Actual& actual) const {
    Iterator position = first;
    x3::skip_over(position, last, context);
    const std::string_view rest(position, last);
    Attribute attribute{};
    const std::size_t taken = this->derived().Take(rest, attribute);
    if (taken == 0) {
      return false;
    }
    x3::traits::move_to(attribute, actual);
    first = position + static_cast<std::ptrdiff_t>(taken);
    return true;
  }
};

/** A keyword, in any case, ending where the word ends. */
struct Keyword : TextParser<Keyword, x3::unused_type> {
  explicit Keyword(std::string_view word) : m_word(word) {}
  std::size_t Take(std::string_view text, x3::unused_type) const;
  std::string m_word;
};

/** A name: a bare word or a quoted string. */
struct Word : TextParser<Word, std::string> {
  explicit Word(std::string_view meaning) : m_meaning(meaning) {}
  std::size_t Take(std::string_view text, std::string& word) const { return TakeWord(text, word); }
  std::string m_meaning;
};

/** The name of a table. */
struct TableName : TextParser<TableName, TableKind> {
  std::size_t Take(std::string_view text, TableKind& kind) const;
};

/** The kind of a configuration entry; gives the first part of its path. */
struct EntryKind : TextParser<EntryKind, std::string> {
  std::size_t Take(std::string_view text, std::string& path_prefix) const;
};

/** A number, true, false, a string or a bare word. */
struct Scalar : TextParser<Scalar, TableCell> {
  std::size_t Take(std::string_view text, TableCell& cell) const;
};

/** Any JSON value or a bare word, as JSON text. */
struct JsonText : TextParser<JsonText, std::string> {
  std::size_t Take(std::string_view text, std::string& json_text) const;
};

/** A JSON object, as JSON text. */
struct JsonObject : TextParser<JsonObject, std::string> {
  std::size_t Take(std::string_view text, std::string& json_text) const;
};

/** All kinds that EntryKind knows, for messages and help. */
std::string EntryKindNames();
std::string TableNames();

}  // namespace zinnia::language

namespace boost::spirit::x3 {

/** A parser with an action goes by the name of the parser. */
template <typename Subject, typename Action>
struct get_info<action<Subject, Action>> {
  using result_type = std::string;
  std::string operator()(const action<Subject, Action>& parser) const {
    return get_info<Subject>()(parser.subject);
  }
};

/** A sequence goes by the name of what it starts with. */
template <typename Left, typename Right>
struct get_info<sequence<Left, Right>> {
  using result_type = std::string;
  std::string operator()(const sequence<Left, Right>& parser) const {
    return get_info<Left>()(parser.left);
  }
};

template <>
struct get_info<zinnia::language::Keyword> {
  using result_type = std::string;
  std::string operator()(const zinnia::language::Keyword& parser) const {
    return "'" + parser.m_word + "'";
  }
};

template <>
struct get_info<zinnia::language::Word> {
  using result_type = std::string;
  std::string operator()(const zinnia::language::Word& parser) const { return parser.m_meaning; }
};

template <>
struct get_info<zinnia::language::TableName> {
  using result_type = std::string;
  std::string operator()(const zinnia::language::TableName&) const {
    return "a table (" + zinnia::language::TableNames() + ")";
  }
};

template <>
struct get_info<zinnia::language::EntryKind> {
  using result_type = std::string;
  std::string operator()(const zinnia::language::EntryKind&) const {
    return "a kind (" + zinnia::language::EntryKindNames() + ")";
  }
};

template <>
struct get_info<zinnia::language::Scalar> {
  using result_type = std::string;
  std::string operator()(const zinnia::language::Scalar&) const {
    return "a value (number, true, false, word or \"string\")";
  }
};

template <>
struct get_info<zinnia::language::JsonText> {
  using result_type = std::string;
  std::string operator()(const zinnia::language::JsonText&) const {
    return "a value (JSON or a word)";
  }
};

template <>
struct get_info<zinnia::language::JsonObject> {
  using result_type = std::string;
  std::string operator()(const zinnia::language::JsonObject&) const { return "a JSON object"; }
};

}  // namespace boost::spirit::x3
