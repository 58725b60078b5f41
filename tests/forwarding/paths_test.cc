#include "tests/forwarding/forwarding_fakes.h"
#include "zinnia_decisions/forwarding/beliefs/load_tracker.h"
#include "zinnia_decisions/forwarding/beliefs/pipe_meter.h"
#include "zinnia_decisions/forwarding/beliefs/probe_round.h"
#include "zinnia_decisions/forwarding/beliefs/server_health.h"
#include "zinnia_decisions/forwarding/beliefs/silence_detector.h"
#include "zinnia_decisions/forwarding/limits/holder_division.h"
#include "zinnia_decisions/forwarding/limits/server_limits.h"
#include "zinnia_decisions/forwarding/paths/path_finder.h"
#include "zinnia_decisions/forwarding/placement/layer_planner.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using std::chrono::seconds;

TEST_GROUP(Paths) {
  VirtualTime time;
  LoadTracker loads{time};
  ServerHealth health{time};
  HolderDivision division;
  ServerLimits limits{time, division, "self"};
  PipeMeter pipe{time};
  RandomSource random{1};
  NamedConnections connections;
  PathFinder finder{loads, health, limits, pipe, connections, random};
  GenerationSize size{774, 200};
  std::vector<ServerEntry> servers = {
      EngineServer("x1", "fast", "x", {0, 40}),    EngineServer("x2", "fast", "x", {40, 80}),
      EngineServer("y1", "middle", "y", {0, 20}),  EngineServer("y2", "middle", "y", {20, 40}),
      EngineServer("y3", "middle", "y", {40, 60}), EngineServer("y4", "middle", "y", {60, 80})};

  std::string Find(const std::set<BackendServerName>& avoided = {}) {
    const auto found = finder.Find(ViewOf(servers), "pool", size, "x", avoided);
    std::string text;
    if (!found) {
      return "none";
    }
    std::uint32_t layer = 0;
    for (const PathPart& part : found->path) {
      CHECK_EQUAL(layer, part.layers.first);
      layer = part.layers.end;
      text += part.server + " ";
    }
    CHECK_EQUAL(80U, layer);
    return text;
  }
};

TEST(Paths, CoversAllLayersOnceAndTakesTheFastest) {
  STRCMP_EQUAL("x1 x2 ", Find().c_str());
}

TEST(Paths, GoesWhollyElsewhereRatherThanAcross) {
  STRCMP_EQUAL("y1 y2 y3 y4 ", Find({"x2"}).c_str());
}

TEST(Paths, CrossesWhenNoDomainIsWhole) {
  STRCMP_EQUAL("x1 y3 y4 ", Find({"x2", "y1"}).c_str());
}

// Symptom: callers leave before their first token while engines idle. Sequence: two domains lose a
// stage, every request crosses. Cause: the pipe between domains taken as free.
TEST(Paths, KeepsToOneFailureDomainWhereAsked) {
  const auto found =
      finder.Find(ViewOf(servers), "pool", size, "x", {}, {std::nullopt, FailureDomainName("y")});
  CHECK_TRUE(found.has_value());
  STRCMP_EQUAL("y1", found->path.front().server.c_str());
  CHECK_FALSE(
      finder
          .Find(ViewOf(servers), "pool", size, "x", {"y2"}, {std::nullopt, FailureDomainName("y")})
          .has_value());
}

// Symptom: engines refuse paths, and orders to change one, that name a server twice in a row (fifty
// refused orders on a day of bulk returns, some of them for this). Sequence: a server has memory
// for the request on some of its layers and not on all, and other servers' ranges begin within
// them. Cause: the search takes it for two parts, each of which fits.
TEST(Paths, AServerWithoutMemoryForAllItsLayersDoesNotRunThemInTwoParts) {
  servers = {EngineServer("a", "fast", "x", {0, 30}), EngineServer("b", "slow", "x", {10, 20}),
             EngineServer("c", "slow", "x", {20, 30}), EngineServer("d", "fast", "x", {30, 60}),
             EngineServer("e", "middle", "x", {60, 80})};
  const double tokens = size.prompt_tokens + size.answer_tokens;
  const double room_for_layers = 25;
  constexpr double kReservableShare = 1.08;
  const double capacity = TokenLayerCapacity(MixedEngine(), servers[0]) * kReservableShare;
  loads.Add("a", capacity - tokens * room_for_layers);
  const auto found = finder.Find(ViewOf(servers), "pool", size, "x", {});
  CHECK_TRUE(found.has_value());
  std::set<BackendServerName> seen;
  for (const PathPart& part : found->path) {
    CHECK_TRUE(seen.insert(part.server).second);
    CHECK_TRUE(part.server != "a" || part.layers.Count() <= room_for_layers);
  }
}

// Symptom: first events wait at a stage while an equal one is free. Sequence: a few long prompts
// are being read at one of two engines that hold the same layers. Cause: paths chosen by the time
// of steps, which go by the number of requests and not by what is read.
TEST(Paths, LeavesAServerThatHasMoreToRead) {
  servers = {EngineServer("x1", "fast", "x", {0, 29}), EngineServer("x2", "middle", "x", {29, 46}),
             EngineServer("x3", "middle", "x", {46, 63}),
             EngineServer("x4", "middle", "x", {63, 80}),
             EngineServer("x5", "middle", "x", {63, 80})};
  STRCMP_EQUAL("x1 x2 x3 x4 ", Find().c_str());
  loads.Add("x4", 900'000);
  loads.Add("x5", 1'000);
  STRCMP_EQUAL("x1 x2 x3 x5 ", Find().c_str());
}

TEST(Paths, OfTwoAboutEqualFirstServersTakesTheOneItIsConnectedTo) {
  servers = {EngineServer("x1", "fast", "x", {0, 40}), EngineServer("x2", "fast", "x", {40, 80}),
             EngineServer("x3", "fast", "x", {0, 40})};
  connections.servers = {"x3"};
  STRCMP_EQUAL("x3 x2 ", Find().c_str());
  loads.Add("x3", 500'000);
  STRCMP_EQUAL("x1 x2 ", Find().c_str());
}

TEST(Paths, RefusesToCrossAFullPipe) {
  pipe.Add(700);
  STRCMP_EQUAL("none", Find({"x2", "y1"}).c_str());
  time.AdvanceBy(seconds(2));
  STRCMP_EQUAL("x1 y3 y4 ", Find({"x2", "y1"}).c_str());
}

TEST(Paths, LeavesServersWithoutMemory) {
  const double room = TokenLayerCapacity(MixedEngine(), servers[1]);
  loads.SetDomainUses("peer", {{"x2", {100, room}}});
  STRCMP_EQUAL("y1 y2 y3 y4 ", Find().c_str());
}

// Symptom: half of the requests are refused though memory is free. Sequence: one long chain has
// room for 700 requests, its first engine takes 192. Cause: only memory counted.
TEST(Paths, LeavesFirstServersThatTakeNoMoreRequests) {
  loads.SetDomainUses("peer", {{"x1", {190, 0, 190}}});
  STRCMP_EQUAL("y1 y2 y3 y4 ", Find().c_str());
  loads.SetDomainUses("peer", {{"x1", {190, 0, 20}}});
  STRCMP_EQUAL("x1 x2 ", Find().c_str());
}

// Guards against requests that begin at a server which has as many as it takes; work that passes
// through it does not count.
TEST(Paths, BeginsElsewhereWhereAServerIsAtItsLimit) {
  time.AdvanceBy(seconds(10));
  limits.OnNews({"x2", 2.0, {}});
  STRCMP_EQUAL("x1 x2 ", Find().c_str());
  limits.OnNews({"x1", 2.0, {}});
  STRCMP_EQUAL("y1 y2 y3 y4 ", Find().c_str());
  time.AdvanceBy(seconds(1));
  STRCMP_EQUAL("x1 x2 ", Find().c_str());
}

TEST(Paths, LeavesExcludedServersUntilTheirTimeIsOver) {
  health.Exclude("x1", seconds(1));
  STRCMP_EQUAL("y1 y2 y3 y4 ", Find().c_str());
  time.AdvanceBy(seconds(2));
  STRCMP_EQUAL("x1 x2 ", Find().c_str());
}

TEST(Paths, LeavesServersThatSayTheyAreSlow) {
  health.NotePace({"x2", 8.0, {}});
  STRCMP_EQUAL("y1 y2 y3 y4 ", Find().c_str());
  time.AdvanceBy(seconds(4));
  STRCMP_EQUAL("x1 x2 ", Find().c_str());
}

TEST(Paths, UsesPartsOfRanges) {
  servers.push_back(EngineServer("x3", "fast", "x", {30, 60}));
  servers.push_back(EngineServer("x4", "fast", "x", {55, 80}));
  STRCMP_EQUAL("x1 x3 x4 ", Find({"x2"}).c_str());
}

// Symptom: a process ends with std::out_of_range. Sequence: the first server of a running request
// leaves the view, then a later stage stalls and the request is rerouted. Cause: crossings counted
// by looking up every server of the path in the view.
TEST(Paths, ReroutesARequestWhoseFirstServerHasLeft) {
  const PathPart gone{"left", {"10.0.0.9", 1}, {0, 40}};
  const auto found = finder.Find(ViewOf(servers), "pool", size, "x", {}, {gone});
  CHECK_TRUE(found.has_value());
  STRCMP_EQUAL("left", found->path.front().server.c_str());
  CHECK_EQUAL(80U, found->path.back().layers.end);
}

TEST_GROUP(Silence) {
  LayerPath one = {{"a", {}, {0, 40}}, {"b", {}, {40, 80}}};
  LayerPath other = {{"a", {}, {0, 40}}, {"c", {}, {40, 80}}};
  TimePoint now = TimePoint() + std::chrono::seconds(10);

  StreamProgress Stream(const LayerPath& path, int silent_ms) {
    return {&path, now - std::chrono::milliseconds(silent_ms), std::chrono::milliseconds(40)};
  }

  std::string Suspects(const std::vector<StreamProgress>& streams) {
    std::string names;
    for (const PathPart& part : SilenceDetector::Suspects(streams, now)) {
      names += part.server + " ";
    }
    return names;
  }
};

// Symptom: every stream of a lost stage pauses for 300 ms. Sequence: stage b dies; streams over a
// and c go on. Cause: each stream judged alone, and by its engine's late report.
TEST(Silence, ManySilentStreamsThroughOneServerMakeItSuspect) {
  STRCMP_EQUAL("b ", Suspects({Stream(one, 80), Stream(one, 90), Stream(one, 100), Stream(one, 85),
                               Stream(other, 10)})
                         .c_str());
}

// Symptom: streams of a dead rack stand still for a quarter of a second before anybody acts.
// Sequence: three servers of a path of four die together; all four are probed and one answers.
// Cause: a round in which most are silent taken for the instance's own way being cut.
TEST(Silence, OneAnswerOrOtherStreamsShowThatTheWayWorks) {
  ProbeRound rack(4, false);
  rack.OnAnswer("a", false);
  rack.OnAnswer("b", false);
  CHECK_FALSE(rack.IsComplete());
  rack.OnAnswer("c", false);
  rack.OnAnswer("d", true);
  CHECK_TRUE(rack.IsComplete());
  CHECK_EQUAL(3U, rack.Dead().size());
  ProbeRound whole_path(1, true);
  whole_path.OnAnswer("a", false);
  CHECK_EQUAL(1U, whole_path.Dead().size());
}

// Symptom: an instance that is cut off takes the servers of the whole fleet out of use. Sequence:
// all its streams fall silent, none of their servers answers. Cause: its own cut taken for their
// death.
TEST(Silence, WithoutAnySignOfLifeNobodyIsNamed) {
  ProbeRound round(2, false);
  round.OnAnswer("a", false);
  round.OnAnswer("b", false);
  CHECK_TRUE(round.Dead().empty());
}

TEST(Silence, StreamsOfOtherPathsThatFlowAreSeen) {
  const std::vector<StreamProgress> silent = {Stream(one, 80), Stream(one, 90)};
  const std::vector<PathPart> suspects = {one.front()};
  CHECK_FALSE(SilenceDetector::OthersFlow(silent, suspects, now));
  const LayerPath elsewhere = {{"z", {}, {0, 80}}};
  CHECK_TRUE(SilenceDetector::OthersFlow({Stream(one, 80), Stream(elsewhere, 10)}, suspects, now));
  CHECK_FALSE(
      SilenceDetector::OthersFlow({Stream(one, 80), Stream(elsewhere, 300)}, suspects, now));
}

TEST(Silence, AllServersOfASilentPathAreSuspectTogether) {
  STRCMP_EQUAL("a b ", Suspects({Stream(one, 80), Stream(one, 90), Stream(one, 80)}).c_str());
}

TEST(Silence, OnePauseOfOneStreamIsNothing) {
  STRCMP_EQUAL("", Suspects({Stream(one, 150), Stream(one, 20)}).c_str());
  STRCMP_EQUAL("", Suspects({Stream(one, 20), Stream(one, 150)}).c_str());
  STRCMP_EQUAL("", Suspects({Stream(one, 300)}).c_str());
  STRCMP_EQUAL("", Suspects({Stream(one, 60), Stream(one, 60), Stream(one, 60)}).c_str());
}

TEST_GROUP(LayerPlans) {
  EngineProfile engine = MixedEngine();
  std::vector<ServerEntry> servers;

  void AddServers(int count, const std::string& accelerator, const std::string& domain) {
    for (int index = 0; index < count; ++index) {
      servers.push_back(
          EngineServer(domain + accelerator + std::to_string(index), accelerator, domain));
    }
  }

  void CheckFits(const LayerPlanner::Ranges& ranges) {
    for (const ServerEntry& server : servers) {
      const auto range = ranges.find(server.name);
      if (range != ranges.end()) {
        const double weights = range->second.Count() * engine.layer_mb;
        CHECK_TRUE(weights <= engine.accelerators[server.accelerator].memory_mb);
        CHECK_TRUE(range->second.end <= engine.layers);
      }
    }
  }

  /** How many servers of a domain hold each layer, at least. */
  std::uint32_t LeastCover(const LayerPlanner::Ranges& ranges, const std::string& domain) {
    std::vector<std::uint32_t> cover(engine.layers, 0);
    for (const ServerEntry& server : servers) {
      const auto range = ranges.find(server.name);
      if (range == ranges.end() || (!domain.empty() && server.failure_domain != domain)) {
        continue;
      }
      for (std::uint32_t layer = range->second.first; layer < range->second.end; ++layer) {
        ++cover[layer];
      }
    }
    return *std::min_element(cover.begin(), cover.end());
  }
};

// Symptom: a failure domain refuses for two seconds, or sends all its requests over the pipe, when
// one stage of its chain is lost. Sequence: the engines beside the chains form one long chain over
// all domains, and each repair takes some of them out of it for good. Cause: no domain held any of
// its ranges twice. Mean worth of five days with trouble or full load on four seeds: 0.731 before,
// 0.751 with second holders.
TEST(LayerPlans, EnginesBesideAChainHoldItsRangesAgain) {
  AddServers(2, "fast", "u");
  AddServers(2, "middle", "u");
  AddServers(5, "slow", "u");
  const auto ranges = LayerPlanner::PlanPool(engine, servers);
  CheckFits(ranges);
  std::vector<LayerRange> stages;
  std::vector<bool> held_again(engine.layers, false);
  for (const auto& [name, range] : ranges) {
    if (!name.starts_with("uslow")) {
      stages.push_back(range);
      continue;
    }
    for (std::uint32_t layer = range.first; layer < range.end; ++layer) {
      CHECK_FALSE(held_again[layer]);
      held_again[layer] = true;
    }
  }
  CHECK_EQUAL(50, std::count(held_again.begin(), held_again.end(), true));
  const auto stood_in_for = std::count_if(stages.begin(), stages.end(), [&](const auto& stage) {
    return std::all_of(held_again.begin() + stage.first, held_again.begin() + stage.end,
                       [](bool held) { return held; });
  });
  CHECK_EQUAL(2, stood_in_for);
}

TEST(LayerPlans, EachDomainGetsAWholeChainOfItsFastest) {
  AddServers(1, "fast", "k");
  AddServers(3, "middle", "k");
  AddServers(8, "slow", "k");
  AddServers(1, "fast", "m");
  AddServers(6, "middle", "m");
  AddServers(5, "slow", "m");
  AddServers(2, "fast", "u");
  AddServers(2, "middle", "u");
  AddServers(5, "slow", "u");
  const auto ranges = LayerPlanner::PlanPool(engine, servers);
  CheckFits(ranges);
  CHECK_EQUAL(2U, LeastCover(ranges, "k"));  // Its eight slow engines hold a whole copy.
  CHECK_EQUAL(1U, LeastCover(ranges, "m"));
  CHECK_EQUAL(1U, LeastCover(ranges, "u"));
  CHECK_EQUAL(5U, LeastCover(ranges, ""));
  for (const ServerEntry& server : servers) {
    CHECK_TRUE(ranges.contains(server.name));
  }
}

TEST(LayerPlans, AGroupWithMemoryForSeveralChainsFormsThem) {
  AddServers(2, "fast", "k");
  AddServers(9, "middle", "k");
  const auto ranges = LayerPlanner::PlanPool(engine, servers);
  CheckFits(ranges);
  CHECK_EQUAL(2U, LeastCover(ranges, "k"));
  CHECK_EQUAL(11U, ranges.size());
}

TEST(LayerPlans, APoolTooSmallForOneDomainStillCoversAllLayers) {
  AddServers(2, "middle", "k");
  AddServers(2, "middle", "m");
  AddServers(1, "fast", "u");
  const auto ranges = LayerPlanner::PlanPool(engine, servers);
  CheckFits(ranges);
  CHECK_EQUAL(1U, LeastCover(ranges, ""));
}

TEST(LayerPlans, ALateEngineTakesWhatThePoolLacksMost) {
  const std::vector<ServerEntry> holders = {EngineServer("a", "fast", "k", {0, 40}),
                                            EngineServer("b", "fast", "k", {40, 80}),
                                            EngineServer("c", "fast", "k", {0, 40})};
  const auto range = LayerPlanner::RangeFor(engine, EngineServer("late", "fast", "k"), holders);
  CHECK_TRUE(range.has_value());
  CHECK_TRUE(range->first >= 40);
}

}  // namespace zinnia
