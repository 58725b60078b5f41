#include "zinnia_adapters/language/comparison.h"

#include <fmt/format.h>

#include <compare>
#include <optional>

namespace zinnia {
namespace {

std::optional<double> ToNumber(const TableCell& cell) {
  if (const auto* real = std::get_if<double>(&cell)) {
    return *real;
  }
  if (const auto* integer = std::get_if<std::int64_t>(&cell)) {
    return static_cast<double>(*integer);
  }
  if (const auto* flag = std::get_if<bool>(&cell)) {
    return *flag ? 1.0 : 0.0;
  }
  return std::nullopt;
}

std::partial_ordering Compare(const TableCell& left, const TableCell& right) {
  const auto* left_integer = std::get_if<std::int64_t>(&left);
  const auto* right_integer = std::get_if<std::int64_t>(&right);
  if (left_integer != nullptr && right_integer != nullptr) {
    return *left_integer <=> *right_integer;
  }
  const auto left_number = ToNumber(left);
  const auto right_number = ToNumber(right);
  if (left_number && right_number) {
    return *left_number <=> *right_number;
  }
  if (left_number || right_number) {
    return std::partial_ordering::unordered;
  }
  return std::get<std::string>(left) <=> std::get<std::string>(right);
}

}  // namespace

bool Matches(const Comparison& comparison, const TableCell& cell) {
  if (comparison.comparison_operator == ComparisonOperator::kContains) {
    return ToText(cell).find(ToText(comparison.value)) != std::string::npos;
  }
  const std::partial_ordering order = Compare(cell, comparison.value);
  switch (comparison.comparison_operator) {
    case ComparisonOperator::kEqual:
      return order == std::partial_ordering::equivalent;
    case ComparisonOperator::kNotEqual:
      return order != std::partial_ordering::equivalent;
    case ComparisonOperator::kLess:
      return order == std::partial_ordering::less;
    case ComparisonOperator::kLessOrEqual:
      return order == std::partial_ordering::less || order == std::partial_ordering::equivalent;
    case ComparisonOperator::kGreater:
      return order == std::partial_ordering::greater;
    case ComparisonOperator::kGreaterOrEqual:
    case ComparisonOperator::kContains:
      break;
  }
  return order == std::partial_ordering::greater || order == std::partial_ordering::equivalent;
}

bool IsLess(const TableCell& left, const TableCell& right) {
  const bool left_is_text = std::holds_alternative<std::string>(left);
  const bool right_is_text = std::holds_alternative<std::string>(right);
  if (left_is_text != right_is_text) {
    return right_is_text;
  }
  return Compare(left, right) == std::partial_ordering::less;
}

std::string ToText(const TableCell& cell) {
  return std::visit(
      [](const auto& value) {
        using Value = std::decay_t<decltype(value)>;
        if constexpr (std::is_same_v<Value, double>) {
          return fmt::format("{:.6g}", value);
        } else {
          return fmt::format("{}", value);
        }
      },
      cell);
}

}  // namespace zinnia
