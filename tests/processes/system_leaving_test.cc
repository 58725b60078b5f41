#include <algorithm>
#include <future>

#include "fleet_fixture.h"
#include "polling.h"

// The macros of CppUTest come after the standard headers.
#include <CppUTest/TestHarness.h>

namespace zinnia::testing {

/** Promise 5: a backend server that leaves gets no new work, and what it runs ends whole. */
TEST_GROUP(SystemLeaving) {
  Fleet m_fleet;

  /** The sessions that ever ran at the engine, as one text. */
  std::string WorkOf(const Fleet::Engine& engine) {
    std::set<std::string> sessions;
    const auto ledger = HttpClient(engine.address).Get("/control/ledger").Json();
    for (const auto& row : ledger.at("rows").as_array()) {
      sessions.emplace(row.at("session").as_string());
    }
    std::string text;
    for (const std::string& session : sessions) {
      text += session + " ";
    }
    return text;
  }

  Fleet::Engine& EngineNamed(const std::string& name) {
    return *std::ranges::find(m_fleet.Engines(), name, &Fleet::Engine::name);
  }

  bool AllInstancesSay(const std::string& server, const std::string& state) {
    return Eventually([&] {
      bool all = true;
      for (const std::size_t instance : {0, 1, 2}) {
        const auto states =
            m_fleet.Column(instance, "backend_servers where name = " + server, "state");
        all = all && states == std::vector<std::string>{state};
      }
      return all;
    });
  }

  /** Checks that new answers through all instances are whole without the server. */
  void CheckNoNewWork(const std::string& server) {
    const std::string work = WorkOf(EngineNamed(server));
    for (int round = 0; round < 3; ++round) {
      for (const std::size_t instance : {0, 1, 2}) {
        ChatCall call;
        call.seed = round;
        call.max_tokens = 3;
        CHECK_TRUE(m_fleet.Chat(instance, call).done);
      }
    }
    STRCMP_EQUAL(work.c_str(), WorkOf(EngineNamed(server)).c_str());
  }
};

TEST(SystemLeaving, AnOperatorsDrainMovesRunningAnswersAndStopsNewOnes) {
  // Symptom: answers are cut off when a drained server is switched off, or it never gets free.
  // Events: operators drain a server through one instance while sessions of all three run there.
  // Cause: the other instances don't hear of it, or sessions that run stay to their end.
  const std::string text = m_fleet.Chat(0).Text();
  std::string drained;
  ChatCall call;
  call.on_progress = [&](const StreamedAnswer& so_far) {
    if (drained.empty() && so_far.tokens.size() >= 4) {
      drained = m_fleet.EnginesOf(so_far.session).at(1)->name;
      m_fleet.Change(1, "drain backend_server " + drained);
    }
    return true;
  };
  std::vector<std::future<StreamedAnswer>> beside;
  for (const std::size_t instance : {1, 2, 1, 2}) {
    beside.push_back(std::async(std::launch::async, [=, this] { return m_fleet.Chat(instance); }));
  }
  const StreamedAnswer answer = m_fleet.Chat(0, call);
  CHECK_TRUE(answer.done);
  STRCMP_EQUAL(text.c_str(), answer.Text().c_str());
  for (auto& other : beside) {
    const StreamedAnswer answer_beside = other.get();
    CHECK_TRUE(answer_beside.done);
    STRCMP_EQUAL(text.c_str(), answer_beside.Text().c_str());
  }
  CHECK_TRUE(AllInstancesSay(drained, "leaving"));
  CheckNoNewWork(drained);
}

TEST(SystemLeaving, AServerThatTheListCallsLeavingStaysSoWhenTheListFlapsBack) {
  // Symptom: a server gets new sessions seconds before the platform stops it.
  // Events: the list says leaving, and a moment later, from a copy that lags, not leaving.
  // Cause: the newest list is taken for the truth.
  m_fleet.PublishList({"stage1a"});
  CHECK_TRUE(AllInstancesSay("stage1a", "leaving"));
  CheckNoNewWork("stage1a");
  m_fleet.PublishList();
  const int reads = m_fleet.ListReads();
  CHECK_TRUE(Eventually([&] { return m_fleet.ListReads() >= reads + 6; }));
  CHECK_TRUE(AllInstancesSay("stage1a", "leaving"));
  CheckNoNewWork("stage1a");
}

TEST(SystemLeaving, AnEngineThatSaysSoFirstGetsNoNewWork) {
  // Symptom: new sessions are refused with an error although another replica is free.
  // Events: the engine is told by its platform that it leaves before the list says so.
  // Cause: only the list is asked.
  Fleet::Control(EngineNamed("stage1a").address, R"({"leaving":true})");
  CHECK_TRUE(AllInstancesSay("stage1a", "leaving"));
  CheckNoNewWork("stage1a");
}

}  // namespace zinnia::testing
