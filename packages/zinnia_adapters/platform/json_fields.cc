#include "zinnia_adapters/platform/json_fields.h"

#include <boost/json.hpp>

#include <limits>

namespace zinnia {
namespace {

constexpr std::size_t kDeepestNesting = 32;

[[noreturn]] void Refuse(std::string_view name, std::string_view wanted) {
  throw ErrorException(MakeError(
      ErrorKind::kInternal,
      "answer of the platform: field \"" + std::string(name) + "\" is not " + std::string(wanted)));
}

const boost::json::object& RequireObject(const boost::json::value& value) {
  if (!value.is_object()) {
    Refuse("(whole)", "an object");
  }
  return value.get_object();
}

}  // namespace

JsonFields::JsonFields(const boost::json::value& value) : m_object(RequireObject(value)) {}

const boost::json::value* JsonFields::Find(std::string_view name) const {
  const auto* value = m_object.if_contains(name);
  return value == nullptr || value->is_null() ? nullptr : value;
}

const boost::json::value& JsonFields::Require(std::string_view name) const {
  const auto* value = Find(name);
  if (value == nullptr) {
    Refuse(name, "there");
  }
  return *value;
}

std::string JsonFields::Text(std::string_view name) const {
  const auto* text = Require(name).if_string();
  if (text == nullptr) {
    Refuse(name, "a string");
  }
  return std::string(text->data(), text->size());
}

std::uint64_t JsonFields::Number(std::string_view name) const {
  boost::json::error_code error;
  const auto number = Require(name).to_number<std::uint64_t>(error);
  if (error) {
    Refuse(name, "a whole number");
  }
  return number;
}

std::uint32_t JsonFields::SmallNumber(std::string_view name) const {
  const std::uint64_t number = Number(name);
  if (number > std::numeric_limits<std::uint32_t>::max()) {
    Refuse(name, "below 2^32");
  }
  return static_cast<std::uint32_t>(number);
}

bool JsonFields::Flag(std::string_view name) const {
  const auto* flag = Require(name).if_bool();
  if (flag == nullptr) {
    Refuse(name, "true or false");
  }
  return *flag;
}

std::string JsonFields::TextOr(std::string_view name, std::string otherwise) const {
  return Find(name) == nullptr ? std::move(otherwise) : Text(name);
}

bool JsonFields::FlagOr(std::string_view name, bool otherwise) const {
  return Find(name) == nullptr ? otherwise : Flag(name);
}

const boost::json::array& JsonFields::Array(std::string_view name) const {
  const auto* array = Require(name).if_array();
  if (array == nullptr) {
    Refuse(name, "an array");
  }
  return *array;
}

boost::json::value ParseJson(const std::string& body) {
  boost::json::error_code error;
  boost::json::parse_options options;
  options.max_depth = kDeepestNesting;
  auto value = boost::json::parse(body, error, {}, options);
  if (error) {
    throw ErrorException(
        MakeError(ErrorKind::kInternal, "answer of the platform is not JSON: " + error.message()));
  }
  return value;
}

}  // namespace zinnia
