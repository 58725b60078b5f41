#include <algorithm>
#include <fstream>
#include <sstream>
#include <string>

#include <CppUTest/TestHarness.h>

#include "zinnia_adapters/settings/instance_settings.h"
#include "zinnia_adapters/settings/settings_checker.h"
#include "zinnia_adapters/settings/settings_schema.h"

using namespace zinnia;  // NOLINT(google-build-using-namespace)

namespace {

constexpr const char* kGood = R"({
  "instance": "entry-1", "region": "akl", "failure_domain": "akl-a",
  "callers_address": "127.0.0.1:8080", "operators_address": "127.0.0.1:8081",
  "peer_address": "127.0.0.1:8082", "store_addresses": ["127.0.0.1:9000"],
  "instance_list_address": "127.0.0.1:9001", "seeds": ["127.0.0.2:8082"],
  "cluster_secret_file": "c", "resume_secret_file": "r", "operator_key_file": "o"})";

/** The good settings with one piece of text replaced. */
std::string With(const std::string& from, const std::string& to) {
  std::string text = kGood;
  const auto at = text.find(from);
  CHECK(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

/** The good settings with a field added. */
std::string Plus(const std::string& field) {
  return With("\"o\"}", "\"o\", " + field + "}");
}

std::string FaultsOf(const std::string& text) {
  std::string all;
  for (const SettingsFault& fault : CheckSettings(text)) {
    all += Describe(fault) + "\n";
  }
  return all;
}

}  // namespace

TEST_GROUP(Settings){};

TEST(Settings, TheEmbeddedSchemaIsTheFile) {
  std::ifstream file(std::string(ZINNIA_GOLDEN_FOLDER) + "/../../schemas/settings.schema.json");
  std::stringstream content;
  content << file.rdbuf();
  STRCMP_EQUAL(content.str().c_str(), std::string(SettingsSchema()).c_str());
}

TEST(Settings, ReadsFieldsAndKeepsDefaults) {
  const auto settings = InstanceSettings::Parse(
      Plus(R"("log_level": "warning", "drain_timeout_ms": 5, "limits": {"max_sessions": 7})"));
  CHECK(settings.has_value());
  STRCMP_EQUAL("entry-1", settings->instance.c_str());
  STRCMP_EQUAL("127.0.0.2:8082", settings->seeds.at(0).ToString().c_str());
  CHECK(settings->log_level == LogLevel::kWarning);
  LONGS_EQUAL(5, settings->drain_timeout.count());
  LONGS_EQUAL(7, settings->limits.max_sessions);
  LONGS_EQUAL(InstanceLimits().max_body_bytes, settings->limits.max_body_bytes);
  LONGS_EQUAL(2, settings->traffic_threads);
}

TEST(Settings, NamesEachFaultByPathWithARemedy) {
  // Symptom: an instance starts with a default in place of what the operator meant.
  // Sequence: a field is misspelt, in the wrong unit or out of range, and is passed over.
  // Cause: settings read field by field, without a schema that knows all of them.
  struct Case {
    std::string text;
    const char* path;
    const char* remedy;
  };
  const Case cases[] = {
      {Plus(R"("trafic_threads": 2)"), "trafic_threads: is not a known field", "traffic_threads"},
      {Plus(R"("limits": {"max_body": 2048})"), "limits.max_body: is not", "max_body_bytes"},
      {Plus(R"("drain_timeout_ms": "5s")"), "drain_timeout_ms: has the wrong type", "milliseconds"},
      {Plus(R"("drain_timeout": 5)"), "drain_timeout: is not a known field", "drain_timeout_ms"},
      {Plus(R"("traffic_threads": 0)"), "traffic_threads: Expected number", "from 1 to 64"},
      {Plus(R"("traffic_threads": 1.5)"), "traffic_threads: has the wrong type", "whole number"},
      {Plus(R"("limits": {"max_body_bytes": 1})"), "limits.max_body_bytes: Expected", "from 1024"},
      {Plus(R"("log_level": "loud")"), "log_level: is not one of", "debug, info"},
      {Plus(R"("limits": 3)"), "limits: has the wrong type", "max_sessions"},
      {With("\"entry-1\"", "\"entry 1\""), "instance: has characters", "letters"},
      {With("\"region\": \"akl\",", ""), "region: is missing", "region's name"},
      {With("[\"127.0.0.1:9000\"]", "[]"), "store_addresses: Array should contain", "1 to 16"},
      {With("127.0.0.1:9000", "store:9000"), "store_addresses.0: \"store:9000\"", "IP:PORT"},
      {With("127.0.0.2:8082", "127.0.0.2"), "seeds.0: \"127.0.0.2\" is not", "IP:PORT"},
      {With("127.0.0.1:8081", "127.0.0.1:8080"), "operators_address: is the same", "own port"},
      {"{", "the settings: is not JSON", "syntax"},
      {"[]", "the settings: has the wrong type", "JSON object"},
  };
  for (const Case& fault : cases) {
    const std::string faults = FaultsOf(fault.text);
    STRCMP_CONTAINS(fault.path, faults.c_str());
    STRCMP_CONTAINS(fault.remedy, faults.c_str());
    LONGS_EQUAL_TEXT(1, std::count(faults.begin(), faults.end(), '\n'), faults.c_str());
    CHECK(InstanceSettings::Parse(fault.text).error().kind == ErrorKind::kInvalidSettings);
  }
}

TEST(Settings, NamesEveryFaultAtOnce) {
  const std::string faults = FaultsOf(
      R"({"instance": 3, "regoin": "x", "limits": {"a": 1, "max_sessions": 0}, "seeds": [1]})");
  for (const char* path : {"instance: ", "regoin: ", "region: is missing", "limits.a: ",
                           "limits.max_sessions: ", "seeds.0: ", "peer_address: is missing"}) {
    STRCMP_CONTAINS(path, faults.c_str());
  }
}

TEST(Settings, AMissingFileIsNamed) {
  const auto settings = InstanceSettings::Load("no-such-file.json");
  STRCMP_CONTAINS("no-such-file.json", settings.error().message.c_str());
}
