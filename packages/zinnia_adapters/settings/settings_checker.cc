#include "zinnia_adapters/settings/settings_checker.h"

#include <fmt/format.h>

#include <array>
#include <boost/json.hpp>
#include <set>
#include <string_view>
#include <utility>
#include <valijson/adapters/boost_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "zinnia_adapters/settings/settings_schema.h"
#include "zinnia_world/fleet/network_address.h"

namespace zinnia {
namespace {

namespace json = boost::json;

constexpr std::string_view kUnknownField = "Object contains a property";
constexpr std::string_view kMissingField = "Missing required property";
// The validator reports a fault once for the value and once for each object around it; only the
// first one says something.
constexpr std::array<std::string_view, 2> kRepeatedByParents = {
    "Failed to validate against schema associated with property name", "Failed to validate item #"};
constexpr std::array<std::pair<std::string_view, std::string_view>, 3> kPlainWords = {{
    {"Value type not permitted", "has the wrong type"},
    {"Failed to match regex", "has characters that are not allowed here, or too many"},
    {"Failed to match against any enum", "is not one of the known values"},
}};

std::string JoinPath(const std::string& parent, std::string_view field) {
  return parent.empty() ? std::string(field) : fmt::format("{}.{}", parent, field);
}

/** From {"<root>", "[limits]", "[max_body_bytes]"} to "limits.max_body_bytes". */
std::string PathOf(const std::vector<std::string>& context) {
  std::string path;
  for (std::size_t index = 1; index < context.size(); ++index) {
    const std::string& part = context[index];
    path = JoinPath(path, std::string_view(part).substr(1, part.size() - 2));
  }
  return path;
}

std::string LastQuoted(const std::string& text) {
  const auto end = text.rfind('\'');
  const auto begin = end == 0 || end == std::string::npos ? end : text.rfind('\'', end - 1);
  return begin == std::string::npos ? "" : text.substr(begin + 1, end - begin - 1);
}

/** What the schema says should stand at a path, or null for a field it does not know. */
const json::object* FindInSchema(const json::value& schema, std::string_view path) {
  const json::object* node = &schema.as_object();
  while (!path.empty() && node != nullptr) {
    const auto dot = path.find('.');
    const std::string_view part = path.substr(0, dot);
    path = dot == std::string_view::npos ? std::string_view() : path.substr(dot + 1);
    const json::value* properties = node->if_contains("properties");
    const json::value* next =
        properties ? properties->as_object().if_contains(part) : node->if_contains("items");
    node = next ? next->if_object() : nullptr;
  }
  return node;
}

std::string RemedyFor(const json::value& schema, const std::string& path) {
  const json::object* node = FindInSchema(schema, path);
  const json::value* description = node ? node->if_contains("description") : nullptr;
  return description ? fmt::format("write {}", std::string_view(description->as_string()))
                     : "write a JSON object with the settings";
}

std::string KnownFields(const json::value& schema, const std::string& path) {
  std::string names;
  const json::object* node = FindInSchema(schema, path);
  for (const auto& member : node->at("properties").as_object()) {
    names += (names.empty() ? "" : ", ") + std::string(member.key());
  }
  return names;
}

std::string PlainWords(const std::string& description) {
  for (const auto& [start, words] : kPlainWords) {
    if (description.starts_with(start)) {
      return std::string(words);
    }
  }
  return description;
}

bool IsRepeatedByParent(const std::string& description) {
  for (const std::string_view start : kRepeatedByParents) {
    if (description.starts_with(start)) {
      return true;
    }
  }
  return false;
}

SettingsFault ToFault(const json::value& schema, const valijson::ValidationResults::Error& error) {
  const std::string path = PathOf(error.context);
  if (error.description.starts_with(kUnknownField)) {
    return {JoinPath(path, LastQuoted(error.description)), "is not a known field",
            fmt::format("remove it or write one of {}", KnownFields(schema, path))};
  }
  if (error.description.starts_with(kMissingField)) {
    const std::string missing = JoinPath(path, LastQuoted(error.description));
    return {missing, "is missing", RemedyFor(schema, missing)};
  }
  return {path, PlainWords(error.description), RemedyFor(schema, path)};
}

std::vector<SettingsFault> CheckAgainstSchema(const json::value& schema,
                                              const json::value& settings) {
  valijson::Schema compiled;
  valijson::SchemaParser().populateSchema(valijson::adapters::BoostJsonAdapter(schema), compiled);
  valijson::ValidationResults results;
  valijson::Validator validator;
  validator.validate(compiled, valijson::adapters::BoostJsonAdapter(settings), &results);
  std::vector<SettingsFault> faults;
  std::set<std::string> seen;
  for (const auto& error : results) {
    if (IsRepeatedByParent(error.description)) {
      continue;
    }
    SettingsFault fault = ToFault(schema, error);
    if (seen.insert(fault.path).second) {
      faults.push_back(std::move(fault));
    }
  }
  return faults;
}

/** Checks the addresses, which a schema can only describe as strings. */
class AddressChecker {
 public:
  explicit AddressChecker(std::vector<SettingsFault>& faults) : m_faults(faults) {}

  void Check(const std::string& path, const json::value* value) {
    if (value == nullptr || !value->is_string()) {
      return;
    }
    const auto address = NetworkAddress::Parse(std::string(value->as_string()));
    if (!address || address->port == 0) {
      m_faults.push_back({path, fmt::format("{} is not an address", json::serialize(*value)),
                          "write IP:PORT with an IP number and a port from 1 to 65535"});
    }
  }

  void CheckList(const std::string& path, const json::value* value) {
    if (value == nullptr || !value->is_array()) {
      return;
    }
    for (std::size_t index = 0; index < value->as_array().size(); ++index) {
      Check(fmt::format("{}.{}", path, index), &value->as_array()[index]);
    }
  }

 private:
  std::vector<SettingsFault>& m_faults;
};

constexpr std::array kOwnAddresses = {"callers_address", "operators_address", "peer_address"};

/** Two servers of one process on the same address: the second could not listen, and the operator
    would only see "address in use" at start. */
void CheckClashes(const json::object& settings, std::vector<SettingsFault>& faults) {
  std::set<std::string_view> taken;
  for (const char* field : kOwnAddresses) {
    const json::value* value = settings.if_contains(field);
    if (value != nullptr && value->is_string() &&
        !taken.insert(std::string_view(value->as_string())).second) {
      faults.push_back({field, "is the same as another address of this instance",
                        "give each of callers_address, operators_address and peer_address its own "
                        "port"});
    }
  }
}

void CheckAddresses(const json::object& settings, std::vector<SettingsFault>& faults) {
  AddressChecker checker(faults);
  for (const char* field : kOwnAddresses) {
    checker.Check(field, settings.if_contains(field));
  }
  checker.Check("instance_list_address", settings.if_contains("instance_list_address"));
  checker.CheckList("store_addresses", settings.if_contains("store_addresses"));
  checker.CheckList("seeds", settings.if_contains("seeds"));
  CheckClashes(settings, faults);
}

}  // namespace

std::vector<SettingsFault> CheckSettings(const std::string& text) {
  boost::system::error_code error;
  const json::value settings = json::parse(text, error);
  if (error) {
    return {{"", fmt::format("is not JSON: {}", error.message()), "correct the JSON syntax"}};
  }
  const json::value schema =
      json::parse(json::string_view(SettingsSchema().data(), SettingsSchema().size()));
  std::vector<SettingsFault> faults = CheckAgainstSchema(schema, settings);
  if (settings.is_object()) {
    CheckAddresses(settings.as_object(), faults);
  }
  return faults;
}

}  // namespace zinnia
