#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tests/adapters/traffic_fixed_snapshot.h"
#include "tests/adapters/traffic_loop.h"
#include "tests/adapters/traffic_scripted_server.h"
#include "zinnia_adapters/engines/channel_listener.h"
#include "zinnia_adapters/engines/engine_channel.h"
#include "zinnia_adapters/engines/http_stage_links.h"
#include "zinnia_adapters/engines/step_deadline.h"
#include "zinnia_adapters/engines/step_queue.h"
#include "zinnia_base/time/virtual_time.h"
#include "zinnia_world/fleet/server_rates_report.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {
namespace {

namespace json = boost::json;

struct Answers final : StepListener {
  void OnStepAnswer(std::uint32_t hop, StepAnswer answer) override {
    answers[hop].push_back(std::move(answer));
    ++count;
  }
  StepStatus StatusOf(std::uint32_t hop) { return answers.at(hop).at(0).status; }
  std::map<std::uint32_t, std::vector<StepAnswer>> answers;
  std::size_t count = 0;
};

struct Events final : ChannelListener {
  void OnServerCrashed(const BackendServerName& server,
                       std::uint64_t incarnation,
                       InFlightAtCrash in_flight) override {
    log.push_back(fmt::format("crashed {} incarnation {}", server, incarnation));
    alone = std::move(in_flight.alone);
    blamed = std::move(in_flight.beside_others);
    blamed.insert(blamed.end(), alone.begin(), alone.end());
  }
  void OnServerSuspect(const BackendServerName& server) override {
    log.push_back("suspect " + server);
  }
  void OnServerRecovered(const BackendServerName& server) override {
    log.push_back("recovered " + server);
  }
  void OnServerLoad(const BackendServerName& server,
                    std::uint32_t running,
                    std::uint32_t queued) override {
    load = fmt::format("{} {} {}", server, running, queued);
  }
  void OnServerRates(const BackendServerName&, const ServerRatesReport& told) override {
    rates = told;
  }
  void OnServerLeaving(const BackendServerName& server) override {
    log.push_back("leaving " + server);
  }
  std::vector<std::string> log;
  std::vector<Fingerprint> blamed;
  std::vector<Fingerprint> alone;  // Part of `blamed`.
  std::string load;
  std::optional<ServerRatesReport> rates;
};

std::string AnswersTo(const json::array& steps, const std::string& status) {
  json::array answers;
  for (const json::value& step : steps) {
    answers.push_back({{"status", status},
                       {"attempt", step.at("attempt")},
                       {"length", step.at("position").to_number<int>() + 1},
                       {"prompt_tokens", 0},
                       {"states", json::array{"s\"1"}},
                       {"token", nullptr}});
  }
  return json::serialize(
      json::object{{"load", {{"running", 3}, {"queued", 4}}}, {"answers", answers}});
}

TEST_GROUP(TrafficEngineLinks) {
  boost::asio::io_context loop;
  VirtualTime time;
  FixedSnapshot snapshots;
  Events events;
  std::uint64_t incarnation = 7;
  std::string status = "done";
  bool hold = false;
  bool cut_probes = false;
  std::vector<json::array> batches;
  std::deque<ScriptedServer::Received> held;
  ScriptedServer server{loop,
                        [this](const ScriptedServer::Received& received) { OnRequest(received); }};
  HttpStageLinks links{{loop, time, time, snapshots, events}};
  std::shared_ptr<Answers> answers = std::make_shared<Answers>();

  void setup() override {
    snapshots.AddServer("b-1", server.Address());
  }

  void OnRequest(const ScriptedServer::Received& received) {
    if (received.request.target() == "/v1/state" && cut_probes) {
      received.drop();
      return;
    }
    if (received.request.target() == "/v1/state") {
      received.answer(200, fmt::format(R"({{"incarnation":{}}})", incarnation));
      return;
    }
    if (received.request.target() != "/v1/steps") {
      held.push_back(received);
      return;
    }
    batches.push_back(json::parse(received.request.body()).at("steps").as_array());
    if (hold) {
      held.push_back(received);
    } else {
      received.answer(200, AnswersTo(batches.back(), status));
    }
  }

  void AnswerHeld(std::size_t index) {
    const auto steps = json::parse(held[index].request.body()).at("steps").as_array();
    held[index].answer(200, AnswersTo(steps, status));
  }

  StepRequest MakeStep(std::uint32_t positions, bool isolated = false) {
    StepRequest step;
    step.session = "s-1";
    step.attempt = 2;
    step.position = 5;
    step.layers = {0, 8};
    step.version = "v1";
    step.input = TokenInput{"", std::vector<TokenId>(positions, 11)};
    step.isolated = isolated;
    step.fingerprint = Fingerprint::Of(isolated ? "isolated" : "plain");
    return step;
  }

  void Send(std::uint32_t hop, StepRequest step) {
    links.SendStep("b-1", hop, std::move(step), answers);
  }

  /** One step there and back, so that connection and incarnation are known. */
  void WarmUp() {
    Send(99, MakeStep(1));
    CHECK(RunUntil(loop, [this] { return answers->count == 1 && server.targets.size() == 2; }));
    RunReady(loop);
    RunReady(loop);
    answers = std::make_shared<Answers>();
    batches.clear();
  }
};

TEST(TrafficEngineLinks, StepsOfOneTurnGoInOneRequest) {
  for (std::uint32_t hop = 0; hop < 5; ++hop) {
    Send(hop, MakeStep(1));
  }
  CHECK(RunUntil(loop, [this] { return answers->count == 5; }));
  LONGS_EQUAL(1, batches.size());
  LONGS_EQUAL(5, batches[0].size());
  CHECK(StepStatus::kDone == answers->StatusOf(4));
  LONGS_EQUAL(6, answers->answers[4][0].length);
  STRCMP_EQUAL("s\"1", answers->answers[4][0].states.at(0).c_str());
  STRCMP_EQUAL("b-1 3 4", events.load.c_str());
  STRCMP_EQUAL(
      R"({"session":"s-1","attempt":2,"position":5,"first_layer":0,"end_layer":8,"version":"v1","priority":1,"seed":0,"sample":false,"tokens":[11]})",
      json::serialize(batches[0][0]).c_str());
}

TEST(TrafficEngineLinks, BatchGathersWhileTwoAreInFlight) {
  hold = true;
  for (std::uint32_t hop = 0; hop < 2; ++hop) {
    Send(hop, MakeStep(1));
    CHECK(RunUntil(loop, [&] { return batches.size() == hop + 1; }));
  }
  for (std::uint32_t hop = 2; hop < 6; ++hop) {
    Send(hop, MakeStep(1));
    RunReady(loop);
  }
  LONGS_EQUAL(2, batches.size());
  AnswerHeld(0);
  CHECK(RunUntil(loop, [this] { return batches.size() == 3; }));
  LONGS_EQUAL(4, batches[2].size());
}

TEST(TrafficEngineLinks, BatchIsBoundedInStepsAndBytes) {
  // Symptom: all sessions of a server fail together whenever it is busy. Sequence: many steps
  // gather, their request grows past the size that the server takes. Cause: batches bounded by
  // nothing.
  for (std::uint32_t hop = 0; hop < StepQueue::kMostSteps + 1; ++hop) {
    Send(hop, MakeStep(1));
  }
  CHECK(RunUntil(loop, [this] { return answers->count == StepQueue::kMostSteps + 1; }));
  // They travel on two connections, so either may arrive first.
  LONGS_EQUAL(2, batches.size());
  LONGS_EQUAL(StepQueue::kMostSteps, std::max(batches[0].size(), batches[1].size()));
  batches.clear();

  StepRequest large = MakeStep(1);
  large.input = HiddenInput{{std::string(StepQueue::kMostBytes / 2, 'h')}};
  for (std::uint32_t hop = 1000; hop < 1003; ++hop) {
    Send(hop, large);
  }
  CHECK(RunUntil(loop, [this] { return answers->count == StepQueue::kMostSteps + 4; }));
  LONGS_EQUAL(2, batches.size());
  LONGS_EQUAL(2, std::max(batches[0].size(), batches[1].size()));
}

TEST(TrafficEngineLinks, BatchThatWaitedBehindAnotherIsMeasuredWithoutTheWait) {
  // Symptom: servers seem half as fast as they are under load. Sequence: two batches are in flight,
  // the engine runs one after the other, both are timed from their sending. Cause: the second one's
  // time holds the first one's.
  constexpr int kRounds = 40;
  const auto take = [](std::size_t steps) {
    return std::chrono::milliseconds(2) + std::chrono::microseconds(100) * steps;
  };
  hold = true;
  std::uint32_t hop = 0;
  for (int round = 0; round < kRounds; ++round) {
    held.clear();
    batches.clear();
    for (const std::size_t steps : {1, 8}) {
      const std::size_t sent = batches.size();
      for (std::size_t step = 0; step < steps; ++step) {
        Send(hop++, MakeStep(1));
      }
      CHECK(RunUntil(loop, [&] { return batches.size() == sent + 1; }));
    }
    for (std::size_t batch = 0; batch < 2; ++batch) {
      time.AdvanceBy(take(batches[batch].size()));
      const std::size_t answered = answers->count + batches[batch].size();
      AnswerHeld(batch);
      CHECK(RunUntil(loop, [&] { return answers->count == answered; }));
    }
    time.AdvanceBy(std::chrono::milliseconds(50));
  }
  CHECK(events.rates.has_value());
  DOUBLES_EQUAL(64 / 0.0084, events.rates->decode_tokens_per_second, 64 / 0.0084 * 0.01);
  CHECK(events.rates->empty_step_time > std::chrono::microseconds(1'950));
  CHECK(events.rates->step_time_p50 > std::chrono::milliseconds(2));
}

TEST(TrafficEngineLinks, LongPrefillDoesNotHoldUpTokens) {
  // Symptom: all streams pause while one caller sends a long prompt. Sequence: a prefill of many
  // positions is in flight; decode steps come. Cause: both kinds in the same lanes.
  hold = true;
  Send(0, MakeStep(2000));
  CHECK(RunUntil(loop, [this] { return batches.size() == 1; }));
  Send(1, MakeStep(3000));
  hold = false;
  Send(2, MakeStep(1));
  CHECK(RunUntil(loop, [this] { return answers->count == 1; }));
  CHECK(StepStatus::kDone == answers->StatusOf(2));
  LONGS_EQUAL(2, batches.size());
}

TEST(TrafficEngineLinks, IsolatedStepsGoOneAtATimeInRequestsOfTheirOwn) {
  hold = true;
  Send(0, MakeStep(1, true));
  Send(1, MakeStep(1, true));
  Send(2, MakeStep(1));
  CHECK(RunUntil(loop, [this] { return batches.size() == 2; }));
  RunReady(loop);
  LONGS_EQUAL(2, batches.size());
  LONGS_EQUAL(1, batches[0].size());
  LONGS_EQUAL(1, batches[1].size());
  AnswerHeld(0);
  AnswerHeld(1);
  CHECK(RunUntil(loop, [this] { return batches.size() == 3; }));
}

TEST(TrafficEngineLinks, IsolatedStepsWaitUntilTheCrashesAreKnown) {
  // Symptom: one request takes down a third and a fourth server. Sequence: it crashes one server,
  // is helped to a second within a millisecond, and copies start through instances that have not
  // heard of the first crash. Cause: the second try did not wait for the others to know.
  links.HoldIsolated();
  links.HoldIsolated();
  Send(0, MakeStep(1, true));
  Send(1, MakeStep(1));
  CHECK(RunUntil(loop, [this] { return answers->count == 1; }));
  LONGS_EQUAL(1, batches.size());
  links.ReleaseIsolated();
  RunReady(loop);
  LONGS_EQUAL(1, batches.size());
  links.ReleaseIsolated();
  CHECK(RunUntil(loop, [this] { return answers->count == 2; }));
}

TEST(TrafficEngineLinks, MissedDeadlineAnswersAllAndTheLateAnswerIsDropped) {
  // Symptom: a session gets the answer of a step that it gave up. Sequence: the engine freezes, the
  // deadline passes, the session starts a new attempt, the engine wakes and answers. Cause: late
  // answers passed on.
  WarmUp();
  hold = true;
  Send(0, MakeStep(1));
  Send(1, MakeStep(1));
  CHECK(RunUntil(loop, [this] { return batches.size() == 1; }));
  time.AdvanceBy(StepDeadline::kUnlearned);
  LONGS_EQUAL(2, answers->count);
  CHECK(StepStatus::kTimedOut == answers->StatusOf(0));
  CHECK(StepStatus::kTimedOut == answers->StatusOf(1));
  STRCMP_EQUAL("suspect b-1", events.log.at(0).c_str());

  AnswerHeld(0);
  CHECK(RunUntil(loop, [this] { return events.log.size() == 2; }));
  STRCMP_EQUAL("recovered b-1", events.log.at(1).c_str());
  LONGS_EQUAL(2, answers->count);
}

TEST(TrafficEngineLinks, FrozenServerStillGetsNewStepsAndAnswersThem) {
  // Symptom: after one freeze a server is never used again. Sequence: both lanes time out, the
  // server is well again, steps come. Cause: lanes of timed-out batches are not given back.
  WarmUp();
  hold = true;
  for (std::uint32_t hop = 0; hop < 2; ++hop) {
    Send(hop, MakeStep(1));
    CHECK(RunUntil(loop, [&] { return batches.size() == hop + 1; }));
  }
  time.AdvanceBy(StepDeadline::kUnlearned);
  hold = false;
  Send(2, MakeStep(1));
  CHECK(RunUntil(loop, [this] { return answers->count == 3; }));
  CHECK(StepStatus::kDone == answers->StatusOf(2));
}

TEST(TrafficEngineLinks, RefusedReconnectionIsACrashAndNamesWhatWasInFlight) {
  WarmUp();
  hold = true;
  Send(0, MakeStep(1));
  Send(1, MakeStep(1, true));
  CHECK(RunUntil(loop, [this] { return batches.size() == 2; }));
  server.Crash();
  CHECK(RunUntil(loop, [this] { return answers->count == 2; }));
  CHECK(StepStatus::kServerCrashed == answers->StatusOf(0));
  CHECK(StepStatus::kServerCrashed == answers->StatusOf(1));
  LONGS_EQUAL(2, events.blamed.size());
  STRCMP_EQUAL("crashed b-1 incarnation 7", events.log.back().c_str());
}

TEST(TrafficEngineLinks, ProbeThatIsCutIsNoVerdict) {
  // Symptom: a request crashes all servers of a stage, one after the other. Sequence: the process
  // that dies still accepts the probe's connection and cuts it; then it is gone. Cause: the cut
  // probe was taken for a lost connection, so nobody was blamed.
  WarmUp();
  hold = true;
  Send(0, MakeStep(1));
  CHECK(RunUntil(loop, [this] { return batches.size() == 1; }));
  cut_probes = true;
  held[0].drop();
  CHECK(RunUntil(loop, [this] { return server.targets.size() == 4; }));
  server.Crash();
  CHECK(RunUntil(loop, [this] {
    time.AdvanceBy(EngineChannel::kProbeAgainAfter);
    return answers->count == 1;
  }));
  CHECK(StepStatus::kServerCrashed == answers->StatusOf(0));
  CHECK_FALSE(answers->answers[0][0].never_sent);
  LONGS_EQUAL(1, events.blamed.size());
}

TEST(TrafficEngineLinks, NewIncarnationIsACrash) {
  // Symptom: a request that kills engines is never quarantined. Sequence: the engine dies and its
  // supervisor starts it at once, so that the reconnection is not refused. Cause: only refusal
  // counted as a crash.
  WarmUp();
  hold = true;
  Send(0, MakeStep(1));
  CHECK(RunUntil(loop, [this] { return batches.size() == 1; }));
  server.Crash();
  incarnation = 8;
  server.Restart();
  CHECK(RunUntil(loop, [this] { return answers->count == 1; }));
  CHECK(StepStatus::kServerCrashed == answers->StatusOf(0));
  LONGS_EQUAL(1, events.blamed.size());
}

TEST(TrafficEngineLinks, CutConnectionToTheSameIncarnationIsNoCrash) {
  // Symptom: healthy requests are quarantined after a network cut. Sequence: a connection with a
  // batch in flight is cut, the engine goes on. Cause: a cut taken for a crash.
  WarmUp();
  hold = true;
  Send(0, MakeStep(1));
  CHECK(RunUntil(loop, [this] { return batches.size() == 1; }));
  held[0].drop();
  CHECK(RunUntil(loop, [this] { return answers->count == 1; }));
  CHECK(StepStatus::kConnectionLost == answers->StatusOf(0));
  LONGS_EQUAL(0, events.blamed.size());
}

TEST(TrafficEngineLinks, CrashOfAnIdleServerBlamesNobody) {
  // Symptom: a harmless request is quarantined. Sequence: the server dies while idle; the next step
  // meets a refused connection. Cause: steps blamed that were never sent.
  WarmUp();
  server.Crash();
  RunReady(loop);
  Send(0, MakeStep(1));
  CHECK(RunUntil(loop, [this] { return answers->count == 1; }));
  CHECK(StepStatus::kServerCrashed == answers->StatusOf(0));
  CHECK_TRUE(answers->answers[0][0].never_sent);
  LONGS_EQUAL(0, events.blamed.size());
}

// Guards against a request that is blamed for the death of two servers that went down together: its
// second try reaches one that takes connections, but is about to be gone.
TEST(TrafficEngineLinks, IsolatedStepsReachOnlyServersThatLive) {
  WarmUp();
  cut_probes = true;
  Send(0, MakeStep(1, true));
  CHECK(RunUntil(loop, [this] { return server.targets.back() == "/v1/state"; }));
  RunReady(loop);
  LONGS_EQUAL(0, batches.size());
  server.Crash();
  CHECK(RunUntil(loop, [this] {
    time.AdvanceBy(std::chrono::milliseconds(5));
    return answers->count == 1;
  }));
  CHECK(StepStatus::kServerCrashed == answers->StatusOf(0));
  CHECK_TRUE(answers->answers[0][0].never_sent);
  LONGS_EQUAL(0, events.blamed.size());
}

TEST(TrafficEngineLinks, ACrashUnderAnIsolatedStepSaysThatItRanAlone) {
  WarmUp();
  hold = true;
  Send(0, MakeStep(1, true));
  Send(1, MakeStep(1));
  CHECK(RunUntil(loop, [this] { return batches.size() == 2; }));
  server.Crash();
  CHECK(RunUntil(loop, [this] { return answers->count == 2; }));
  LONGS_EQUAL(2, events.blamed.size());
  LONGS_EQUAL(1, events.alone.size());
  CHECK(Fingerprint::Of("isolated") == events.alone.front());
}

TEST(TrafficEngineLinks, LeavingAnswerIsReported) {
  status = "leaving";
  Send(0, MakeStep(1));
  CHECK(RunUntil(loop, [this] { return answers->count == 1; }));
  STRCMP_EQUAL("leaving b-1", events.log.at(0).c_str());
}

TEST(TrafficEngineLinks, CutImportIsReleasedAtTheTarget) {
  // Symptom: engines fill with half caches. Sequence: export done, the import's connection breaks.
  // Cause: whether the import was kept is not known, and nobody cleans up.
  std::string error;
  links.MoveCache("b-1", "b-1", "s-1", 2, 3, [&](const Result<std::uint32_t>& moved) {
    error = std::string(NameOf(moved.error().kind));
  });
  CHECK(RunUntil(loop, [this] { return held.size() == 1; }));
  held[0].answer(200, R"({"length":9,"prompt_tokens":4,"blob":"xyz"})");
  CHECK(RunUntil(loop, [this] { return held.size() == 2; }));
  STRCMP_EQUAL(R"({"length":9,"prompt_tokens":4,"blob":"xyz","session":"s-1","attempt":3})",
               held[1].request.body().c_str());
  held[1].drop();
  CHECK(RunUntil(loop, [this] { return held.size() == 3; }));
  STRCMP_EQUAL(R"({"session":"s-1","attempt":3})", held[2].request.body().c_str());
  STRCMP_EQUAL("outcome_unknown", error.c_str());
}

TEST(TrafficEngineLinks, FindGivesTokensOrNotFound) {
  std::string found;
  const auto callback = [&](const Result<HeldSession>& held_session) {
    found += held_session ? held_session->tokens.at(0).text
                          : std::string(NameOf(held_session.error().kind));
  };
  links.FindSession("b-1", "s-1", callback);
  links.FindSession("b-1", "s-2", callback);
  CHECK(RunUntil(loop, [this] { return held.size() == 2; }));
  held[0].answer(
      200,
      R"({"attempt":1,"length":3,"prompt_tokens":2,"tokens":[{"id":1,"text":"a","end":false}]})");
  CHECK(RunUntil(loop, [&] { return found == "a"; }));
  held[1].answer(404, "{}");
  CHECK(RunUntil(loop, [&] { return found == "anot_found"; }));
}

TEST_GROUP(TrafficStepDeadline){};

// Symptom: the second freeze of a server is noticed after half a second, the third after two.
// Sequence: a server that answers in 5 ms freezes now and then. Cause: the time waited for a missed
// deadline was learned as if steps took that long.
TEST(TrafficStepDeadline, FreezesDoNotLengthenTheNextDeadline) {
  StepDeadline deadline;
  for (int freeze = 0; freeze < 4; ++freeze) {
    for (int step = 0; step < 48; ++step) {
      deadline.Observe(std::chrono::milliseconds(5), 1);
    }
    CHECK(deadline.DeadlineFor(1) == StepDeadline::kFloor);
    deadline.ObserveMissed();
  }
}

// Symptom: a server that became slower for good is left by every session for ever.
TEST(TrafficStepDeadline, FollowsAServerThatMissesEveryDeadline) {
  StepDeadline deadline;
  for (int step = 0; step < 64; ++step) {
    deadline.Observe(std::chrono::milliseconds(5), 1);
  }
  for (int missed = 0; missed < 96; ++missed) {
    deadline.ObserveMissed();
  }
  CHECK(deadline.DeadlineFor(1) > std::chrono::milliseconds(400));
}

TEST(TrafficStepDeadline, FollowsTheLatenciesBetweenFloorAndCap) {
  StepDeadline deadline;
  CHECK(StepDeadline::kUnlearned == deadline.DeadlineFor(1));
  for (int sample = 0; sample < 200; ++sample) {
    deadline.Observe(std::chrono::milliseconds(1), 1);
  }
  CHECK(StepDeadline::kFloor == deadline.DeadlineFor(1));
  CHECK(std::chrono::milliseconds(400) <= deadline.DeadlineFor(100));
  CHECK(std::chrono::milliseconds(600) >= deadline.DeadlineFor(100));
  // A server that became a hundred times slower must not miss every deadline from then on.
  for (int sample = 0; sample < 4000; ++sample) {
    deadline.Observe(std::chrono::milliseconds(100), 1);
  }
  CHECK(std::chrono::milliseconds(400) <= deadline.DeadlineFor(1));
  CHECK(StepDeadline::kCap == deadline.DeadlineFor(100'000));
}

}  // namespace
}  // namespace zinnia
