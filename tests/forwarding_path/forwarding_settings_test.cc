#include <fmt/format.h>

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

TEST(ForwardingSettings, ReadsTheBoundsOnAnswers) {
  const auto without = zinnia::ForwardingSettings::Parse(good);
  CHECK_EQUAL(std::size_t{32} << 20, without->answer_limits.body_bytes);
  CHECK_EQUAL(std::size_t{48} << 20, without->answers_in_hand_bytes);
  std::string text = good;
  text.insert(1,
              R"("answer_head_bytes": 2001, "answer_interim_heads": 2, "answer_interim_bytes": 2003,
    "answer_line_bytes": 2004, "answer_event_bytes": 2005, "answer_body_bytes": 2006,
    "answers_in_hand_bytes": 2007,)");
  const auto settings = zinnia::ForwardingSettings::Parse(text);
  CHECK_TRUE(settings.has_value());
  CHECK_EQUAL(2001, settings->answer_limits.head_bytes);
  CHECK_EQUAL(2, settings->answer_limits.interim_heads);
  CHECK_EQUAL(2003, settings->answer_limits.interim_bytes);
  CHECK_EQUAL(2004, settings->answer_limits.line_bytes);
  CHECK_EQUAL(2005, settings->answer_limits.event_bytes);
  CHECK_EQUAL(2006, settings->answer_limits.body_bytes);
  CHECK_EQUAL(2007, settings->answers_in_hand_bytes);
}

TEST(ForwardingSettings, SaysWhatABoundOnAnswersMustBe) {
  const auto fault_with = [this](const std::string& fields) { return FaultOf("{", "{" + fields); };
  for (const std::string_view name : zinnia::ForwardingSettings::FieldNames()) {
    if (!name.starts_with("answer")) {
      continue;
    }
    const std::string field(name);
    for (const std::string value : {"0", "-1", "1500.5", "\"2000\"", "4294967296", "1e300"}) {
      const std::string fault = fault_with(fmt::format("\"{}\": {},", field, value));
      STRCMP_CONTAINS((field + " must be a whole number of ").c_str(), fault.c_str());
      STRCMP_CONTAINS(" to 4294967295", fault.c_str());
    }
  }
  STRCMP_CONTAINS(
      "answers_in_hand_bytes must be at least answer_body_bytes = 3000",
      fault_with(R"("answer_body_bytes": 3000, "answers_in_hand_bytes": 2999,)").c_str());
}

}  // namespace zinnia
