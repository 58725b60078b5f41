#include <fmt/format.h>
#include <sys/wait.h>

#include <csignal>
#include <memory>
#include <string>
#include <vector>

#include "http_client.h"
#include "process_harness.h"

// The macros of CppUTest come after the standard headers.
#include <CppUTest/TestHarness.h>

namespace zinnia::testing {

namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

/** One engine and the layers it holds. */
struct Stage {
  std::unique_ptr<HttpClient> client;
  unsigned first = 0;
  unsigned end = 0;

  /** Sends one step, with `input` as its last members, and gives the answer to it. */
  json::object Step(unsigned attempt, unsigned position, bool sample, const std::string& input) {
    const std::string body = fmt::format(
        R"({{"steps":[{{"session":"s","attempt":{},"position":{},"first_layer":{},"end_layer":{},)"
        R"("version":"1","seed":7,"sample":{},{}}}]}})",
        attempt, position, first, end, sample, input);
    return client->Post("/v1/steps", body).Json().at("answers").at(0).as_object();
  }

  std::string Status(unsigned attempt, unsigned position, const std::string& input) {
    return std::string(Step(attempt, position, false, input).at("status").as_string());
  }
};

const std::string kPrompt = R"("prompt":"kuna kitanda leo usiku")";
constexpr unsigned kPromptTokens = 4;

/** Runs one input through all stages and gives the token. */
json::object RunThrough(std::vector<Stage>& stages,
                        unsigned attempt,
                        unsigned position,
                        std::string input) {
  for (Stage& stage : stages) {
    const bool last = &stage == &stages.back();
    const json::object answer = stage.Step(attempt, position, last, input);
    STRCMP_EQUAL("done", answer.at("status").as_string().c_str());
    if (last) {
      return answer.at("token").as_object();
    }
    input = "\"states\":" + json::serialize(answer.at("states"));
  }
  return {};
}

std::string TokenInput(const json::object& token) {
  return "\"tokens\":[" + json::serialize(token.at("id")) + "]";
}

/** The text of the answer to kPrompt, token by token. */
std::string Decode(std::vector<Stage> stages) {
  json::object token = RunThrough(stages, 1, 0, kPrompt);
  std::string text;
  for (unsigned position = kPromptTokens; !token.at("end").as_bool(); ++position) {
    text += token.at("text").as_string();
    token = RunThrough(stages, 1, position, TokenInput(token));
  }
  return text;
}

}  // namespace

TEST_GROUP(EngineStandin) {
  ProcessHarness m_harness;

  Stage Start(unsigned first, unsigned end, std::vector<std::string> more = {}) {
    more.insert(more.end(),
                {"--first-layer", std::to_string(first), "--end-layer", std::to_string(end)});
    return {std::make_unique<HttpClient>(m_harness.StartStandin("engine", more).address), first,
            end};
  }

  std::string DecodeOver(const std::vector<std::pair<unsigned, unsigned>>& ranges) {
    std::vector<Stage> stages;
    stages.reserve(ranges.size());
    for (const auto& [first, end] : ranges) {
      stages.push_back(Start(first, end));
    }
    return Decode(std::move(stages));
  }

  void Control(Stage & stage, const std::string& settings) {
    LONGS_EQUAL(200, stage.client->Post("/control", settings).status);
  }
};

TEST(EngineStandin, TheTextDoesNotDependOnTheSplitIntoStages) {
  const std::string text = DecodeOver({{0, 12}});
  CHECK(text.size() > 20);
  STRCMP_EQUAL(text.c_str(), DecodeOver({{0, 3}, {3, 8}, {8, 12}}).c_str());
}

TEST(EngineStandin, ASkippedDoubledOrSwappedLayerChangesTheText) {
  const std::string text = DecodeOver({{0, 12}});
  CHECK(text != DecodeOver({{0, 3}, {4, 12}}));
  CHECK(text != DecodeOver({{0, 4}, {3, 12}}));
  CHECK(text != DecodeOver({{0, 3}, {8, 12}, {3, 8}}));
}

TEST(EngineStandin, AHiddenStateDependsOnAllEarlierPositions) {
  Stage stage = Start(0, 4);
  const json::object one = stage.Step(1, 0, false, R"("prompt":"chumba leo")");
  const json::object other = stage.Step(2, 0, false, R"("prompt":"kitanda leo")");
  CHECK(one.at("states").at(1) != other.at("states").at(1));
}

TEST(EngineStandin, OnlyAStepAtExactlyTheCachedLengthIsRun) {
  // A router repeats a step whose answer came late, and another one overtakes it. Run twice or out
  // of order, the step would change the text of the whole session unnoticed.
  Stage stage = Start(0, 4);
  STRCMP_EQUAL("unknown_session", stage.Status(1, 4, R"("tokens":[1])").c_str());
  STRCMP_EQUAL("done", stage.Status(1, 0, kPrompt).c_str());
  STRCMP_EQUAL("wrong_length", stage.Status(1, 0, kPrompt).c_str());
  STRCMP_EQUAL("wrong_length", stage.Status(1, 5, R"("tokens":[1])").c_str());
  LONGS_EQUAL(4, stage.Step(1, 5, false, R"("tokens":[1])").at("length").to_number<int>());
  const json::value ledger = stage.client->Get("/control/ledger").Json();
  LONGS_EQUAL(kPromptTokens, ledger.at("rows").as_array().size());
  for (const json::value& row : ledger.at("rows").as_array()) {
    LONGS_EQUAL(1, row.at("count").to_number<int>());
  }
}

TEST(EngineStandin, ARefusedStepIsAnsweredAndHoldsUpNothing) {
  Stage full = Start(0, 4, {"--max-queued", "0"});
  const json::object refused = full.Step(3, 0, false, kPrompt);
  STRCMP_EQUAL("overloaded", refused.at("status").as_string().c_str());
  LONGS_EQUAL(3, refused.at("attempt").to_number<int>());
  Stage stage = Start(0, 4);
  STRCMP_EQUAL("rejected", stage.Status(1, 0, R"("prompt":"leo","tokens":["x"])").c_str());
  STRCMP_EQUAL("done", stage.Status(2, 0, kPrompt).c_str());
}

TEST(EngineStandin, ANewAttemptAdoptsTheCacheAndGoesOnWithTheSameText) {
  std::vector<Stage> stages;
  stages.push_back(Start(0, 6));
  stages.push_back(Start(6, 12));
  const json::object first = RunThrough(stages, 1, 0, kPrompt);
  const json::object second = RunThrough(stages, 1, kPromptTokens, TokenInput(first));
  const std::string adopt = fmt::format(R"(,"adopt":{{"attempt":1,"length":{}}})", kPromptTokens);
  const json::object answer = stages[0].Step(2, kPromptTokens, false, TokenInput(first) + adopt);
  const json::object again = stages[1].Step(
      2, kPromptTokens, true, "\"states\":" + json::serialize(answer.at("states")) + adopt);
  CHECK(again.at("token") == json::value(second));
  STRCMP_EQUAL("wrong_length",
               stages[0].Status(3, 9, R"("tokens":[1],"adopt":{"attempt":2,"length":9})").c_str());
  STRCMP_EQUAL("unknown_session",
               stages[0].Status(9, 2, R"("tokens":[1],"adopt":{"attempt":8,"length":2})").c_str());
  const json::value found =
      stages[1].client->Post("/v1/sessions/find", R"({"session":"s"})").Json();
  LONGS_EQUAL(2, found.at("attempt").to_number<int>());
  CHECK(found.at("tokens") == json::value({first, second}));
}

TEST(EngineStandin, AReleasedAttemptStaysReleased) {
  Stage stage = Start(0, 4);
  STRCMP_EQUAL("done", stage.Status(1, 0, kPrompt).c_str());
  stage.client->Post("/v1/sessions/release", R"({"session":"s","attempt":1})");
  LONGS_EQUAL(404, stage.client->Post("/v1/sessions/find", R"({"session":"s"})").status);
  STRCMP_EQUAL("unknown_session", stage.Status(1, 0, kPrompt).c_str());
  STRCMP_EQUAL("done", stage.Status(2, 0, kPrompt).c_str());
}

TEST(EngineStandin, AMovedCacheIsWholeOrNotThere) {
  // The connection of a transfer ends half way, and the importer gets a part of the cache. A stage
  // that kept it would go on with other hidden states than the first one had.
  Stage from = Start(0, 4);
  Stage to = Start(0, 4);
  STRCMP_EQUAL("done", from.Status(1, 0, kPrompt).c_str());
  Control(from, R"({"truncate_next_export":true})");
  const auto move = [&] {
    json::object blob =
        from.client->Post("/v1/cache/export", R"({"session":"s","attempt":1})").Json().as_object();
    blob["session"] = "s";
    blob["attempt"] = 2;
    return to.client->Post("/v1/cache/import", json::serialize(blob)).status;
  };
  LONGS_EQUAL(422, move());
  LONGS_EQUAL(404, to.client->Post("/v1/sessions/find", R"({"session":"s"})").status);
  LONGS_EQUAL(200, move());
  CHECK(from.Step(1, 4, false, R"("tokens":[5])").at("states") ==
        to.Step(2, 4, false, R"("tokens":[5])").at("states"));
}

TEST(EngineStandin, APoisonousPromptEndsTheProcess) {
  auto server = m_harness.StartStandin("engine");
  HttpClient client(server.address);
  client.Post("/control", R"({"crash_on":"kitanda"})");
  Stage stage{std::make_unique<HttpClient>(server.address), 0, 12};
  STRCMP_EQUAL("done", stage.Status(1, 0, R"("prompt":"kuna chumba")").c_str());
  CHECK_THROWS(std::exception, stage.Status(2, 0, kPrompt));
  const auto status = server.process.WaitForEnd(10s);
  CHECK(status && WIFSIGNALED(*status));
  LONGS_EQUAL(SIGABRT, WTERMSIG(*status));
}

TEST(EngineStandin, ALeavingEngineFinishesItsSessionsAndTakesNoNewOnes) {
  Stage stage = Start(0, 4);
  STRCMP_EQUAL("done", stage.Status(1, 0, kPrompt).c_str());
  Control(stage, R"({"leaving":true})");
  STRCMP_EQUAL("done", stage.Status(1, 4, R"("tokens":[1])").c_str());
  STRCMP_EQUAL("leaving", stage.Status(2, 0, kPrompt).c_str());
  CHECK(stage.client->Get("/v1/state").Json().at("leaving").as_bool());
}

TEST(EngineStandin, OnlyAnEngineThatChecksFencingRefusesAnOldEpoch) {
  // A holder of orders is paused, another takes over with a higher epoch and orders a load; then
  // the first wakes and sends its own.
  const auto weights = m_harness.StartStandin("weights", {"--bytes-per-second", "1000000000"});
  const auto order = [](const char* id, int epoch) {
    return fmt::format(R"({{"order":"load","order_id":"{}","model":"zinnia","version":"2",)"
                       R"("first_layer":0,"end_layer":4,"epoch":{},"valid_for_ms":5000}})",
                       id, epoch);
  };
  Stage checks = Start(0, 4, {"--checks-fencing", "--weights", weights.address});
  Stage trusts = Start(0, 4);
  LONGS_EQUAL(202, checks.client->Post("/v1/orders", order("new", 5)).status);
  LONGS_EQUAL(409, checks.client->Post("/v1/orders", order("old", 4)).status);
  LONGS_EQUAL(202, trusts.client->Post("/v1/orders", order("new", 5)).status);
  LONGS_EQUAL(202, trusts.client->Post("/v1/orders", order("old", 4)).status);
  json::value state;
  do {
    state = checks.client->Get("/v1/state").Json();
  } while (!state.at("loading").is_null());
  STRCMP_EQUAL("2", state.at("version").as_string().c_str());
  STRCMP_EQUAL("not_loaded", checks.Status(1, 0, kPrompt).c_str());
  LONGS_EQUAL(1, HttpClient(weights.address)
                     .Get("/control/counts")
                     .Json()
                     .at("/weights/zinnia/2/0-4")
                     .to_number<int>());
}

TEST(EngineStandin, CacheEventsComeWithGaps) {
  Stage stage = Start(0, 4, {"--prefix-blocks", "4", "--event-lag-ms", "0"});
  std::string words;
  for (int word = 0; word < 96; ++word) {
    words += fmt::format("w{} ", word);
  }
  stage.Status(1, 0, "\"prompt\":\"" + words + "\"");
  const json::value events = stage.client->Get("/v1/cache/events?after=0").Json();
  LONGS_EQUAL(7, events.at("events").as_array().size());  // of 6 stored and 2 evicted
  LONGS_EQUAL(8, events.at("next").to_number<int>());
}

}  // namespace zinnia::testing
