#include <boost/json.hpp>
#include <fstream>
#include <sstream>
#include <string>

#include <CppUTest/TestHarness.h>

#include "zinnia_adapters/settings/settings_schema.h"
#include "zinnia_base/errors/error_kind.h"
#include "zinnia_decisions/operators/table_kind.h"

using namespace zinnia;  // NOLINT(google-build-using-namespace)

namespace {

std::string OperationsPage() {
  std::stringstream content;
  content << std::ifstream(std::string(ZINNIA_GOLDEN_FOLDER) + "/../../docs/OPERATIONS.md").rdbuf();
  return content.str();
}

}  // namespace

TEST_GROUP(OperationsPage) {
  const std::string page = OperationsPage();
};

TEST(OperationsPage, NamesEveryErrorKindWithItsRemedy) {
  for (int index = 0; index <= static_cast<int>(ErrorKind::kInternal); ++index) {
    const auto kind = static_cast<ErrorKind>(index);
    const std::string row =
        "| `" + std::string(NameOf(kind)) + "` | " + std::string(DefaultRemedyFor(kind)) + " |";
    STRCMP_CONTAINS(row.c_str(), page.c_str());
  }
}

TEST(OperationsPage, NamesEverySettingAndTable) {
  const std::string_view schema = SettingsSchema();
  const auto value = boost::json::parse({schema.data(), schema.size()});
  for (const auto& field : value.at("properties").as_object()) {
    const std::string name(field.key());
    const std::string row = name == "limits" ? "| `limits." : "| `" + name + "` |";
    STRCMP_CONTAINS(row.c_str(), page.c_str());
  }
  for (const TableKind kind : AllTableKinds()) {
    STRCMP_CONTAINS(std::string(NameOf(kind)).c_str(), page.c_str());
  }
}
