#pragma once

#include <boost/json/value.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "zinnia_base/errors/result.h"

namespace zinnia {

/** Reads fields of an answer of the platform. Unknown fields are ignored; a missing field or one of
    another type throws ErrorException with kInternal, which ParseAnswer turns into a Result. */
class JsonFields {
 public:
  explicit JsonFields(const boost::json::value& value);

  std::string Text(std::string_view name) const;
  std::uint64_t Number(std::string_view name) const;
  std::uint32_t SmallNumber(std::string_view name) const;
  bool Flag(std::string_view name) const;

  /** These give a default for a missing field. */
  std::string TextOr(std::string_view name, std::string otherwise) const;
  bool FlagOr(std::string_view name, bool otherwise) const;

  /** Null for a field that is missing or null. */
  const boost::json::value* Find(std::string_view name) const;

  const boost::json::array& Array(std::string_view name) const;

 private:
  const boost::json::value& Require(std::string_view name) const;

  const boost::json::object& m_object;
};

/** Parses the body of an answer and hands it to `read`; what is not JSON or lacks fields becomes an
    error of kind `otherwise`. */
template <typename Read>
auto ParseAnswer(const std::string& body, ErrorKind otherwise, Read read)
    -> Result<decltype(read(std::declval<const JsonFields&>()))>;

/** Parses JSON; throws ErrorException for what is not JSON or nested too deeply. */
boost::json::value ParseJson(const std::string& body);

template <typename Read>
auto ParseAnswer(const std::string& body, ErrorKind otherwise, Read read)
    -> Result<decltype(read(std::declval<const JsonFields&>()))> {
  try {
    const boost::json::value value = ParseJson(body);
    return read(JsonFields(value));
  } catch (const ErrorException& failure) {
    return MakeError(otherwise, failure.GetError().message);
  }
}

}  // namespace zinnia
