#include <boost/json.hpp>
#include <fstream>
#include <sstream>
#include <string>

#include "zinnia_adapters/settings/forwarding_settings.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

TEST_GROUP(ForwardingSettings) {
  const std::string good = R"({
    "instance": "i", "failure_domain": "x", "region": "r", "callers_address": "127.0.0.1:1",
    "readiness_address": "127.0.0.1:2", "peer_address": "127.0.0.1:3",
    "metrics_address": "127.0.0.1:4", "store_address": "127.0.0.1:5",
    "seeds": ["127.0.0.1:6"], "stop_grace_seconds": 8, "departure_notice_ms": 3000, "change_bound_ms": 4000, "retry_budget_ratio": 0.3,
    "engines_check_fencing": false})";

  std::string FaultOf(const std::string& from, const std::string& to) {
    std::string text = good;
    text.replace(text.find(from), from.size(), to);
    const auto settings = zinnia::ForwardingSettings::Parse(text);
    return settings ? "none" : Describe(settings.error());
  }
};

TEST(ForwardingSettings, ReadsItsFields) {
  const auto settings = zinnia::ForwardingSettings::Parse(good);
  CHECK_TRUE(settings.has_value());
  STRCMP_EQUAL("127.0.0.1:6", settings->seeds[0].ToString().c_str());
  CHECK_EQUAL(8'000, settings->stop_grace.count());
  CHECK_EQUAL(3'000, settings->departure_notice.count());
  CHECK_EQUAL(4'000, settings->change_bound.count());
  DOUBLES_EQUAL(0.3, settings->retry_budget_ratio, 1e-9);
  CHECK_FALSE(settings->engines_check_fencing);
}

// Guards against ignoring misspelt fields.
TEST(ForwardingSettings, NamesAFieldThatItDoesNotKnow) {
  STRCMP_CONTAINS("stop_grace_second is not known",
                  FaultOf("stop_grace_seconds", "stop_grace_second").c_str());
}

TEST(ForwardingSettings, TheSchemaDescribesEachFieldAndNoOther) {
  std::ifstream file(std::string(ZINNIA_GOLDEN_FOLDER) +
                     "/../../schemas/forwarding_settings.schema.json");
  std::stringstream content;
  content << file.rdbuf();
  const auto schema = boost::json::parse(content.str());
  const auto& properties = schema.at("properties").as_object();
  CHECK_EQUAL(zinnia::ForwardingSettings::FieldNames().size(), properties.size());
  for (const std::string_view name : zinnia::ForwardingSettings::FieldNames()) {
    CHECK_TEXT(properties.contains(name), std::string(name).c_str());
  }
  for (const auto& name : schema.at("required").as_array()) {
    const std::string quoted = '"' + std::string(name.as_string()) + "\":";
    STRCMP_CONTAINS("must be", FaultOf(quoted, quoted + " null, \"log_level\":").c_str());
  }
}

TEST(ForwardingSettings, NamesTheFieldThatIsWrong) {
  STRCMP_CONTAINS("store_address", FaultOf("\"127.0.0.1:5\"", "\"nowhere\"").c_str());
  STRCMP_CONTAINS("instance", FaultOf("\"i\"", "\"\"").c_str());
  STRCMP_CONTAINS("stop_grace_seconds", FaultOf("8", "-1").c_str());
  STRCMP_CONTAINS("seeds", FaultOf("[\"127.0.0.1:6\"]", "7").c_str());
  STRCMP_CONTAINS("not a JSON object", FaultOf("{", "[").c_str());
}

}  // namespace zinnia
