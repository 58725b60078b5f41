#include "zinnia_world/configuration/configuration.h"

#include <map>
#include <string>

#include "zinnia_world/fleet/network_address.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {
namespace {

using Entries = std::map<std::string, ConfigurationEntry>;

Entries MakeEntries(std::initializer_list<std::pair<std::string, std::string>> values) {
  Entries entries;
  for (const auto& [path, value] : values) {
    entries[path] = {path, 1, value};
  }
  return entries;
}

std::string ValidationErrorFor(const std::string& path, const std::string& json) {
  const auto checked = CheckConfigurationEntry(path, json);
  return checked ? "accepted" : checked.error().message;
}

}  // namespace

TEST_GROUP(ConfigurationTest){};

TEST(ConfigurationTest, ParsesEveryKindOfEntry) {
  const auto parsed = Configuration::Parse(
      7, MakeEntries({
             {"organisation/kitanda", R"({"key_digests":["ab"],"weight":2.5,"priority":3})"},
             {"model/drafter", R"({"version":"3","layers":12})"},
             {"pipeline/p",
              R"({"model":"drafter","version":"3","stages":[
                {"first_layer":0,"end_layer":4,"replicas":["a"]},
                {"first_layer":4,"end_layer":12,"replicas":[]}]})"},
             {"service/ledger", R"({"path_prefix":"/bookings","servers":["s"],"timeout_ms":500})"},
             {"server/a", R"({"weight":0.5,"drain":true})"},
             {"link/akl-a/akl-b", R"({"one_way_us":300,"bytes_per_second":1e9})"},
         }));
  const Configuration& configuration = parsed.value();
  LONGS_EQUAL(7, configuration.revision());
  STRCMP_EQUAL("kitanda", configuration.FindOrganisationByKeyDigest("ab")->name.c_str());
  LONGS_EQUAL(12, configuration.models().at("drafter").layers);
  LONGS_EQUAL(2, configuration.pipelines().at("p").stages.size());
  LONGS_EQUAL(500, configuration.services().at("ledger").timeout.count());
  CHECK_TRUE(configuration.server_orders().at("a").drain);
  STRCMP_EQUAL("akl-b", configuration.links().front().to.c_str());
}

TEST(ConfigurationTest, IgnoresTombstones) {
  const auto parsed = Configuration::Parse(2, {{"model/old", {"model/old", 2, std::nullopt}}});
  CHECK_TRUE(parsed.value().models().empty());
}

TEST(ConfigurationTest, ErrorsNamePathAndField) {
  STRCMP_CONTAINS("organisation/x.weigth is not a known field",
                  ValidationErrorFor("organisation/x", R"({"weigth":2})").c_str());
  STRCMP_CONTAINS("organisation/x.weight must be a number",
                  ValidationErrorFor("organisation/x", R"({"weight":"2"})").c_str());
  STRCMP_CONTAINS("model/m.layers is missing",
                  ValidationErrorFor("model/m", R"({"version":"1"})").c_str());
  STRCMP_CONTAINS("model/m is not a JSON object", ValidationErrorFor("model/m", "[1]").c_str());
  STRCMP_CONTAINS("is of no known kind", ValidationErrorFor("colour/red", "{}").c_str());
  STRCMP_CONTAINS("is not a path", ValidationErrorFor("model", "{}").c_str());
}

// Guards against responses computed without some of the layers.
TEST(ConfigurationTest, RejectsPipelinesWithGapsOrOverlaps) {
  const std::string gap = R"({"model":"m","version":"1","stages":[
      {"first_layer":0,"end_layer":4,"replicas":[]},{"first_layer":5,"end_layer":8,"replicas":[]}]})";
  STRCMP_CONTAINS("expected first_layer 4, found 5", ValidationErrorFor("pipeline/p", gap).c_str());
  const std::string late_start =
      R"({"model":"m","version":"1","stages":[{"first_layer":1,"end_layer":4,"replicas":[]}]})";
  STRCMP_CONTAINS("expected first_layer 0, found 1",
                  ValidationErrorFor("pipeline/p", late_start).c_str());
}

// Guards against one organisation reading the streams of another.
TEST(ConfigurationTest, RejectsKeySharedByTwoOrganisations) {
  const auto parsed =
      Configuration::Parse(1, MakeEntries({{"organisation/a", R"({"key_digests":["k"]})"},
                                           {"organisation/b", R"({"key_digests":["k"]})"}}));
  CHECK_FALSE(parsed.has_value());
  STRCMP_CONTAINS("organisation/b.key_digests", parsed.error().message.c_str());
}

TEST_GROUP(NetworkAddressTest){};

TEST(NetworkAddressTest, AcceptsIpAddressesOnly) {
  LONGS_EQUAL(8080, NetworkAddress::Parse("127.0.0.1:8080").value().port);
  for (const char* wrong :
       {"localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:80x", ":80"}) {
    CHECK_FALSE(NetworkAddress::Parse(wrong).has_value());
  }
}

}  // namespace zinnia
