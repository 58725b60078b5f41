#include "tests/control/control_fleet.h"
#include "zinnia_decisions/fleet_control/subset_selection.h"
#include "zinnia_world/fleet/server_rates_report.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(Leaving) {
  ControlFleet fleet{6};

  void setup() override {
    for (int server = 0; server < 4; ++server) {
      fleet.AddServer(fmt::format("b-{}", server), {0, 8});
    }
    fleet.StartAll();
    fleet.time.AdvanceBy(seconds(5));
    Everywhere(BackendServerState::kLive);
  }

  void Everywhere(BackendServerState state) {
    for (std::size_t index = 0; index < 6; ++index) {
      if (fleet.IsUp(index)) {
        CHECK_TRUE(fleet.StateAt(index, "b-1") == state);
      }
    }
  }

  /** Checks that the state holds for a while. */
  void StaysLeaving() {
    for (int second = 0; second < 30; ++second) {
      fleet.time.AdvanceBy(seconds(1));
      Everywhere(BackendServerState::kLeaving);
    }
  }
};

TEST(Leaving, ListReportsLeaving) {
  fleet.Listed("b-1").leaving = true;
  fleet.time.AdvanceBy(seconds(3));
  Everywhere(BackendServerState::kLeaving);
  StaysLeaving();
}

// The first report of leaving counts: later contradicting reports must not direct new work to the
// server.
TEST(Leaving, ListAndEngineFlapBackWithoutEffect) {
  fleet.Listed("b-1").leaving = true;
  fleet.engines.states["b-1"].leaving = true;
  fleet.time.AdvanceBy(seconds(3));
  fleet.Listed("b-1").leaving = false;
  fleet.engines.states["b-1"].leaving = false;
  StaysLeaving();
}

// The list must not be the only source: it may lag by many seconds.
TEST(Leaving, EngineReportsLeavingBeforeTheList) {
  fleet.engines.states["b-1"].leaving = true;
  fleet.time.AdvanceBy(seconds(3));
  Everywhere(BackendServerState::kLeaving);
  StaysLeaving();
}

// Instances that can reach neither the engine nor the list must learn of it from a peer.
TEST(Leaving, ReportOfOneInstanceReachesAllOthers) {
  fleet.list.outage = true;
  for (auto& process : fleet.processes) {
    process->engines.cut = true;
  }
  fleet.At(3).ReportServerLeaving("b-1");
  fleet.time.AdvanceBy(seconds(1));
  Everywhere(BackendServerState::kLeaving);
}

TEST(Leaving, OperatorsDrainHoldsUntilItIsRemoved) {
  fleet.Change(0, 0, {{"server/b-1", R"({"drain":true})"}});
  fleet.time.AdvanceBy(seconds(3));
  Everywhere(BackendServerState::kLeaving);
  StaysLeaving();
  fleet.Change(0, 1, {{"server/b-1", std::nullopt}});
  fleet.time.AdvanceBy(seconds(3));
  Everywhere(BackendServerState::kLive);
}

TEST(Leaving, OperatorsDrainSurvivesARestartOfTheServer) {
  fleet.Change(0, 0, {{"server/b-1", R"({"drain":true})"}});
  fleet.time.AdvanceBy(seconds(3));
  fleet.engines.states["b-1"].incarnation = 2;
  StaysLeaving();
}

TEST(Leaving, RestartedServerStartsClean) {
  fleet.engines.states["b-1"].leaving = true;
  fleet.time.AdvanceBy(seconds(3));
  fleet.engines.states["b-1"].leaving = false;
  fleet.engines.states["b-1"].incarnation = 2;
  fleet.time.AdvanceBy(seconds(5));
  Everywhere(BackendServerState::kLive);
}

// A restarted instance missed the rumour, the engine is silent and the list lags: peers must send
// it.
TEST(Leaving, NewInstanceGetsLeavingServersFromItsPeers) {
  fleet.engines.states["b-1"].leaving = true;
  fleet.time.AdvanceBy(seconds(60));
  fleet.engines.states["b-1"].leaving = false;
  fleet.Restart(5);
  fleet.time.AdvanceBy(seconds(3));
  Everywhere(BackendServerState::kLeaving);
}

TEST(Leaving, BothSidesOfAPartitionStop) {
  fleet.Cut(3);
  fleet.time.AdvanceBy(seconds(20));
  fleet.engines.states["b-1"].leaving = true;
  fleet.time.AdvanceBy(seconds(3));
  Everywhere(BackendServerState::kLeaving);
  fleet.Heal();
  StaysLeaving();
}

// An empty or unreadable list must not make all servers gone.
TEST(Leaving, EmptyListDoesNotEmptyTheFleet) {
  const InstanceListing whole = fleet.list.listing;
  fleet.list.listing.servers.clear();
  for (auto& process : fleet.processes) {
    process->engines.cut = true;
  }
  fleet.time.AdvanceBy(seconds(120));
  Everywhere(BackendServerState::kSuspect);
  fleet.list.listing = whole;
  for (auto& process : fleet.processes) {
    process->engines.cut = false;
  }
  fleet.time.AdvanceBy(seconds(5));
  Everywhere(BackendServerState::kLive);
  fleet.list.outage = true;
  fleet.time.AdvanceBy(seconds(120));
  Everywhere(BackendServerState::kLive);
}

TEST(Leaving, ServerMissingFromTheListAndSilentIsGone) {
  std::erase_if(fleet.list.listing.servers,
                [](const ListedServer& row) { return row.server.name == "b-1"; });
  fleet.time.AdvanceBy(seconds(30));
  Everywhere(BackendServerState::kSuspect);
  fleet.engines.states.erase("b-1");
  fleet.time.AdvanceBy(seconds(10));
  Everywhere(BackendServerState::kGone);
}

TEST(Leaving, MarksAreBounded) {
  LeavingTracker tracker;
  for (int server = 0; server < 20'000; ++server) {
    tracker.Mark(fmt::format("b-{}", server), 1, LeavingSource::kPeer,
                 TimePoint{} + seconds(server));
  }
  CHECK_EQUAL(16'384, tracker.marks().size());
  CHECK_TRUE(tracker.IsLeaving("b-19999", 1));
  CHECK_FALSE(tracker.IsLeaving("b-0", 1));
}

TEST_GROUP(Fleet) {
  ControlFleet fleet{2};
};

TEST(Fleet, PipelinesHoldTheServersThatReportRangeAndVersion) {
  fleet.AddServer("b-0", {0, 8});
  fleet.AddServer("b-1", {0, 8});
  fleet.AddServer("b-2", {8, 16});
  fleet.AddServer("b-3", {8, 16});
  fleet.engines.states["b-3"].loaded->version = "v0";
  fleet.StartAll();
  fleet.time.AdvanceBy(seconds(3));
  fleet.Change(0, 0, {{"pipeline/p", R"({"model":"model","version":"v1","stages":[
                    {"first_layer":0,"end_layer":8,"replicas":["b-1","b-9"]},
                    {"first_layer":8,"end_layer":16,"replicas":[]}]})"}});
  fleet.time.AdvanceBy(seconds(3));
  const auto snapshot = fleet.At(1).Current();
  CHECK_EQUAL(1, snapshot->pipelines.size());
  CHECK_TRUE(snapshot->pipelines[0].stages[0].replicas == std::vector<std::string>{"b-1"});
  CHECK_TRUE(snapshot->pipelines[0].stages[1].replicas == std::vector<std::string>{"b-2"});
  CHECK_EQUAL(2, snapshot->live_instances);
}

// An instance that is ready before its first engine polls refuses callers with no_pipeline.
TEST(Fleet, AnInstanceThatStartsIsReadyOnceItsEnginesHaveAnswered) {
  fleet.AddServer("b-0", {0, 16});
  fleet.StartAll();
  fleet.time.AdvanceBy(seconds(3));
  fleet.Change(0, 0, {{"pipeline/p", R"({"model":"model","version":"v1","stages":[
                    {"first_layer":0,"end_layer":16,"replicas":["b-0"]}]})"}});
  fleet.time.AdvanceBy(seconds(3));
  fleet.Restart(1);
  for (int elapsed = 0; elapsed < 5'000 && !fleet.At(1).IsReady(); elapsed += 10) {
    fleet.time.AdvanceBy(std::chrono::milliseconds(10));
  }
  CHECK_TRUE(fleet.At(1).IsReady());
  CHECK_EQUAL(1, fleet.At(1).Current()->pipelines.size());
  CHECK_EQUAL(1, fleet.At(1).Current()->pipelines[0].stages[0].replicas.size());
}

// One engine that does not answer must not keep the whole fleet from being ready.
TEST(Fleet, AnEngineThatIsSilentDoesNotKeepAnInstanceFromBeingReady) {
  fleet.AddServer("b-0", {0, 16});
  fleet.engines.states.erase("b-0");
  fleet.StartAll();
  fleet.Change(0, 0, {{"model/m", R"({"version":"v1","layers":16})"}});
  fleet.time.AdvanceBy(seconds(20));
  CHECK_TRUE(fleet.At(1).IsReady());
}

TEST(Fleet, LoadReportsArePublishedAtABoundedRate) {
  fleet.AddServer("b-0", {0, 8});
  fleet.StartAll();
  fleet.time.AdvanceBy(seconds(3));
  const std::uint64_t before = fleet.At(0).Current()->sequence;
  for (int report = 0; report < 1000; ++report) {
    fleet.At(0).ReportServerLoad("b-0", 3, static_cast<std::uint32_t>(report));
    fleet.time.AdvanceBy(milliseconds(1));
  }
  fleet.time.AdvanceBy(milliseconds(300));
  LONGS_EQUAL(999, fleet.At(0).Current()->servers.at("b-0").load.reported_queued);
  CHECK_TRUE(fleet.At(0).Current()->sequence - before <= 6);
}

TEST(Fleet, MeasuredRatesStandBesideTheLoadAndUnknownOnesReplaceNothing) {
  fleet.AddServer("b-0", {0, 8});
  fleet.StartAll();
  fleet.time.AdvanceBy(seconds(3));
  ServerRatesReport rates;
  rates.step_time_p50 = milliseconds(2);
  rates.decode_tokens_per_second = 32'000.0;
  fleet.At(0).ReportServerRates("b-0", rates);
  // Another traffic thread, without enough samples for the rate.
  rates.step_time_p50 = milliseconds(3);
  rates.decode_tokens_per_second = 0.0;
  fleet.At(0).ReportServerRates("b-0", rates);
  fleet.At(0).ReportServerLoad("b-0", 3, 4);
  fleet.time.AdvanceBy(milliseconds(300));
  const ServerLoad load = fleet.At(0).Current()->servers.at("b-0").load;
  DOUBLES_EQUAL(32'000.0, load.decode_tokens_per_second, 0.0);
  CHECK_TRUE(load.step_time_p50 == milliseconds(3));
  LONGS_EQUAL(4, load.reported_queued);
}

TEST(Fleet, SubsetsAreStableOverlappingAndMixed) {
  std::map<BackendServerName, ServerRow> rows;
  for (int server = 0; server < 600; ++server) {
    ServerRow row;
    row.server.name = fmt::format("b-{}", server);
    row.server.pool = "pool";
    row.server.failure_domain = fmt::format("domain-{}", server % 3);
    row.server.accelerator = static_cast<AcceleratorKind>(server % 4);
    rows.emplace(row.server.name, row);
  }
  std::map<BackendServerName, int> chosen;
  for (int instance = 0; instance < 100; ++instance) {
    const std::string name = fmt::format("instance-{}", instance);
    const auto subset = SelectServers(name, rows, {});
    CHECK_EQUAL(64, subset.size());
    CHECK_TRUE(subset == SelectServers(name, rows, {}));
    std::map<std::string, int> mix;
    for (const BackendServerName& server : subset) {
      ++chosen[server];
      ++mix[rows.at(server).server.failure_domain];
      ++mix[std::string(NameOf(rows.at(server).server.accelerator))];
    }
    CHECK_EQUAL(7, mix.size());
    for (const auto& [bucket, count] : mix) {
      CHECK_TRUE(count >= 15);
    }
  }
  CHECK_EQUAL(600, chosen.size());
  for (const auto& [server, count] : chosen) {
    CHECK_TRUE(count <= 30);
  }
}

}  // namespace zinnia
