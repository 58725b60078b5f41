#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "routing/fleet_builder.h"
#include "zinnia_base/time/virtual_time.h"
#include "zinnia_decisions/routing/completion_chooser.h"
#include "zinnia_decisions/routing/least_loaded_chooser.h"
#include "zinnia_decisions/routing/round_robin_chooser.h"
#include "zinnia_decisions/routing/shortest_completion_chooser.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {
namespace {

constexpr int kChoices = 60;

std::vector<std::unique_ptr<PipelineChooser>> AllChoosers(const Clock& clock) {
  std::vector<std::unique_ptr<PipelineChooser>> choosers;
  choosers.push_back(std::make_unique<RoundRobinChooser>(clock));
  choosers.push_back(std::make_unique<LeastLoadedChooser>(clock));
  choosers.push_back(std::make_unique<ShortestCompletionChooser>(clock));
  choosers.push_back(std::make_unique<CompletionChooser>(clock, RandomSource(1)));
  return choosers;
}

/** Servers used over kChoices sessions, all of them still in flight. */
std::set<BackendServerName> ServersUsed(PipelineChooser& chooser,
                                        const FleetSnapshot& fleet,
                                        const RouteQuery& query) {
  std::set<BackendServerName> used;
  for (int choice = 0; choice < kChoices; ++choice) {
    const auto chosen = chooser.Choose(fleet, query);
    CHECK_TRUE(chosen.has_value());
    chooser.OnSent(chosen->route, query);
    for (const Route::Hop& hop : chosen->route.hops) {
      used.insert(hop.server);
    }
  }
  return used;
}

}  // namespace

TEST_GROUP(Chooser) {
  VirtualTime m_time;
  FleetSnapshot m_fleet = MakeTwoStageFleet();

  void ExpectNeverUsed(const BackendServerName& server, const RouteQuery& query) {
    for (const auto& chooser : AllChoosers(m_time)) {
      CHECK_FALSE(ServersUsed(*chooser, m_fleet, query).contains(server));
    }
  }
};

// Guards against sending new sessions to a server that is shutting down.
TEST(Chooser, NeverUsesALeavingServer) {
  m_fleet.servers["first-1"].state = BackendServerState::kLeaving;
  ExpectNeverUsed("first-1", MakeQuery());
}

// Guards against mixing model versions in one response when a server reloads while its pipeline
// still lists it.
TEST(Chooser, NeverUsesAServerWithAnotherVersion) {
  m_fleet.servers["second-0"].server.loaded->version = "v2";
  ExpectNeverUsed("second-0", MakeQuery());
}

// Guards against routing a recovered session back to the server that failed.
TEST(Chooser, NeverUsesAnExcludedServer) {
  RouteQuery query = MakeQuery();
  query.excluded = {"first-0"};
  ExpectNeverUsed("first-0", query);
}

TEST(Chooser, UsesSuspectServersOnlyWhereNoOtherIsLeft) {
  m_fleet.servers["first-0"].state = BackendServerState::kSuspect;
  ExpectNeverUsed("first-0", MakeQuery());
  m_fleet.servers["first-1"].state = BackendServerState::kGone;
  m_fleet.servers["first-2"].state = BackendServerState::kGone;
  for (const auto& chooser : AllChoosers(m_time)) {
    CHECK_TRUE(ServersUsed(*chooser, m_fleet, MakeQuery()).contains("first-0"));
  }
}

TEST(Chooser, DistinguishesAnUnknownModelFromAMissingPipeline) {
  CompletionChooser chooser(m_time, RandomSource(1));
  RouteQuery query = MakeQuery();
  query.model = "other";
  CHECK_TRUE(chooser.Choose(m_fleet, query).error().kind == ErrorKind::kUnknownModel);
  m_fleet.pipelines.front().draining = true;
  const auto draining = chooser.Choose(m_fleet, MakeQuery());
  CHECK_TRUE(draining.error().kind == ErrorKind::kNoPipeline);
  CHECK_TRUE(draining.error().retry_after.has_value());
}

// Guards against rebuilding the caches of all stages when only one server was lost.
TEST(Chooser, ReplaceKeepsTheOtherHops) {
  for (const auto& chooser : AllChoosers(m_time)) {
    const Route route = chooser->Choose(m_fleet, MakeQuery())->route;
    const auto replaced = chooser->Replace(m_fleet, route, 1, MakeQuery());
    CHECK_TRUE(replaced.has_value());
    CHECK_EQUAL(route.hops[0].server, replaced->route.hops[0].server);
    CHECK_TRUE(route.hops[1].server != replaced->route.hops[1].server);
  }
}

TEST(Chooser, ReplaceFindsAServerThatNoPipelineNames) {
  RoundRobinChooser chooser(m_time);
  const Route route = chooser.Choose(m_fleet, MakeQuery())->route;
  m_fleet.pipelines.clear();
  CHECK_TRUE(chooser.Replace(m_fleet, route, 0, MakeQuery()).has_value());
}

// Guards against load that oscillates with the report interval because every instance sends all
// sessions to the server that the last report showed as idle.
TEST(Chooser, InstancesWithTheSameStaleReportDoNotOverloadOneServer) {
  for (auto& [name, view] : m_fleet.servers) {
    view.server.failure_domain = "a";
    view.load.reported_running = name.ends_with("0") ? 0 : 6;
    view.load.reported_at = m_time.Now() + std::chrono::seconds(1);
  }
  m_fleet.live_instances = 8;
  std::map<BackendServerName, int> sessions;
  for (std::uint64_t instance = 0; instance < 8; ++instance) {
    CompletionChooser chooser(m_time, RandomSource(instance));
    for (int choice = 0; choice < 9; ++choice) {
      const auto chosen = chooser.Choose(m_fleet, MakeQuery());
      chooser.OnSent(chosen->route, MakeQuery());
      ++sessions[chosen->route.hops[0].server];
    }
  }
  CHECK_TRUE(sessions["first-0"] < 48);
  CHECK_TRUE(sessions["first-1"] > 8);
  CHECK_TRUE(sessions["first-2"] > 8);
}

// Guards against repeated prefill of the same prompt, and against spreading a prompt that crashes
// servers, when instances route equal prefixes to different servers.
TEST(Chooser, EveryInstanceRoutesEqualPrefixesToTheSameServers) {
  for (auto& [name, view] : m_fleet.servers) {
    view.server.failure_domain = "a";
  }
  for (std::uint64_t prefix = 1; prefix <= 20; ++prefix) {
    std::set<std::string> routes;
    for (std::uint64_t instance = 0; instance < 8; ++instance) {
      CompletionChooser chooser(m_time, RandomSource(instance));
      const Route route = chooser.Choose(m_fleet, MakeQuery(prefix))->route;
      routes.insert(route.hops[0].server + "," + route.hops[1].server);
    }
    LONGS_EQUAL(1, routes.size());
  }
}

TEST(Chooser, PrefersTheFastLinkAtLowLoadAndSpreadsAtHighLoad) {
  using namespace std::chrono_literals;
  m_fleet.links = {{"a", "c", 30ms, 1.25e7}, {"c", "a", 30ms, 1.25e7}};
  CompletionChooser chooser(m_time, RandomSource(1));
  for (int choice = 0; choice < kChoices; ++choice) {
    const Route route = chooser.Choose(m_fleet, MakeQuery())->route;
    CHECK_TRUE(route.hops[0].server != "first-2");
  }
  RouteQuery many = MakeQuery();
  for (int sent = 0; sent < 2'000; ++sent) {
    chooser.OnSent(chooser.Choose(m_fleet, many)->route, many);
  }
  CHECK_TRUE(ServersUsed(chooser, m_fleet, many).contains("first-2"));
}

// Guards against missed deadlines when an idle server behind a slow link looks cheaper than busy
// servers nearby.
TEST(Chooser, AvoidsASlowLinkWhileServersNearbyAreBusy) {
  using namespace std::chrono_literals;
  m_fleet.links = {{"a", "c", 30ms, 1.25e7}, {"c", "a", 30ms, 1.25e7}};
  CompletionChooser chooser(m_time, RandomSource(1));
  for (int sent = 0; sent < 300; ++sent) {
    const Route route = chooser.Choose(m_fleet, MakeQuery())->route;
    chooser.OnSent(route, MakeQuery());
    CHECK_TRUE(route.hops[0].server != "first-2" && route.hops[1].server != "second-2");
  }
}

// Guards against underused long pipelines, which result if a session is counted at all servers of
// its route at once.
TEST(Chooser, CountsASessionAtOneServerAtATime) {
  FleetBuilder builder;
  builder.AddServer("whole", {0, 16});
  builder.AddPipeline("one-stage", {{{0, 16}, {"whole"}}});
  std::vector<PipelineStage> quarters;
  for (std::uint32_t first = 0; first < 16; first += 4) {
    const std::string name = "quarter-" + std::to_string(first);
    builder.AddServer(name, {first, first + 4});
    quarters.push_back({{first, first + 4}, {name}});
  }
  builder.AddPipeline("four-stages", quarters);
  CompletionChooser chooser(m_time, RandomSource(1));
  std::map<PipelineName, int> sessions;
  for (int sent = 0; sent < 100; ++sent) {
    const Route route = chooser.Choose(builder.Fleet(), MakeQuery())->route;
    chooser.OnSent(route, MakeQuery());
    ++sessions[route.pipeline];
  }
  CHECK_TRUE(sessions["four-stages"] > 2 * sessions["one-stage"]);
  CHECK_TRUE(sessions["one-stage"] > 5);
}

TEST(Chooser, GivesAServerOfHalfTheRateAboutHalfTheSessions) {
  for (auto& [name, view] : m_fleet.servers) {
    view.server.failure_domain = "a";
    view.load.decode_tokens_per_second = name.ends_with("0") ? 500 : 1'000;
  }
  CompletionChooser chooser(m_time, RandomSource(1));
  std::map<BackendServerName, int> sessions;
  for (int sent = 0; sent < 1'000; ++sent) {
    const Route route = chooser.Choose(m_fleet, MakeQuery())->route;
    chooser.OnSent(route, MakeQuery());
    ++sessions[route.hops[0].server];
  }
  CHECK_TRUE(sessions["first-0"] > 170 && sessions["first-0"] < 230);
}

TEST(Chooser, PrefixHistoryEvictsThePrefixRecordedLongestAgo) {
  PrefixHistory memory(2);
  memory.Record(1, 10);
  memory.Record(2, 10);
  memory.Record(1, 11);
  memory.Record(3, 10);
  LONGS_EQUAL(2, memory.Size());
  CHECK_FALSE(memory.WasSentTo(2, 10));
  CHECK_TRUE(memory.WasSentTo(1, 10) && memory.WasSentTo(1, 11));
}

}  // namespace zinnia
