#include "zinnia_adapters/http/request_message.h"

#include <fmt/format.h>

#include <boost/beast/core/string.hpp>
#include <iterator>
#include <map>
#include <string_view>

namespace zinnia {
namespace {

constexpr unsigned kHttp10 = 10;

}  // namespace

std::string RequestMessage::HeadText() const {
  std::string text = fmt::format("{} {} HTTP/{}\r\n", std::string_view(method_string()),
                                 std::string_view(target()), version() == kHttp10 ? "1.0" : "1.1");
  std::map<std::string, std::size_t, boost::beast::iless> occurrences;
  for (const auto& field : *this) {
    std::string_view name = field.name_string();
    std::string_view value = field.value();
    const LongField* const long_field = long_fields.Find(name, occurrences[std::string(name)]++);
    // A field that was set anew since has a value.
    if (long_field != nullptr && value.empty()) {
      name = long_field->name;
      value = long_field->value;
    }
    fmt::format_to(std::back_inserter(text), "{}: {}\r\n", name, value);
  }
  return text + "\r\n";
}

}  // namespace zinnia
