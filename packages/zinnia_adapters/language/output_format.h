#pragma once

#include <optional>
#include <string_view>

namespace zinnia {

/** How a command's result is written. */
enum class OutputFormat { kTable, kJson };

constexpr std::string_view NameOf(OutputFormat format) {
  return format == OutputFormat::kTable ? "table" : "json";
}

constexpr std::optional<OutputFormat> OutputFormatFromName(std::string_view name) {
  if (name == NameOf(OutputFormat::kTable)) {
    return OutputFormat::kTable;
  }
  if (name == NameOf(OutputFormat::kJson)) {
    return OutputFormat::kJson;
  }
  return std::nullopt;
}

}  // namespace zinnia
