#include "tests/forwarding/forwarding_fakes.h"
#include "zinnia_decisions/forwarding/placement/chain_counter.h"
#include "zinnia_decisions/forwarding/placement/domain_capacity.h"
#include "zinnia_decisions/forwarding/placement/first_servers.h"
#include "zinnia_decisions/forwarding/placement/spare_chooser.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

namespace zinnia {

TEST_GROUP(Spares) {
  EngineProfile profile = MixedEngine();
  SparePool pool;
  ServerEntry lost = EngineServer("left", "middle", "k", {40, 60});

  void setup() override {
    pool.engines = {EngineServer("fast", "fast", "k", {0, 20}),
                    EngineServer("fast2", "fast", "k", {20, 40}),
                    EngineServer("middle", "middle", "k", {60, 70}),
                    EngineServer("middle2", "middle", "k", {70, 80})};
    for (std::uint32_t index = 0; index < 4; ++index) {
      pool.engines.push_back(
          EngineServer("slow" + std::to_string(index), "slow", "k", {index * 10, index * 10 + 10}));
    }
    pool.engines.push_back(EngineServer("elsewhere", "slow", "m", {40, 50}));
  }

  const ServerEntry& Engine(const std::string& name) {
    return *std::find_if(pool.engines.begin(), pool.engines.end(),
                         [&](const ServerEntry& engine) { return engine.name == name; });
  }

  std::vector<SpareShare> DivideRange() {
    return SpareChooser::DivideRange(profile, pool, lost, lost.layers);
  }
};

TEST(Spares, TheSlowestEnginesOfTheDomainCoverTheWholeRange) {
  const auto shares = DivideRange();
  CHECK_EQUAL(4U, shares.size());  // Half of a slow engine's memory holds six layers.
  std::uint32_t layer = 40;
  for (const SpareShare& share : shares) {
    STRNCMP_EQUAL("slow", share.server.c_str(), 4);
    CHECK_EQUAL(layer, share.layers.first);
    layer = share.layers.end;
  }
  CHECK_EQUAL(60U, layer);
}

TEST(Spares, BusyEnginesAndOtherDomainsAreNotUsed) {
  pool.busy = {"slow0"};
  const auto shares = DivideRange();
  CHECK_EQUAL(3U, shares.size());
  CHECK_TRUE(std::none_of(shares.begin(), shares.end(), [&](const SpareShare& share) {
    return pool.busy.contains(share.server) || share.server == "elsewhere";
  }));
  pool.busy.insert({"slow1", "slow2"});
  CHECK_TRUE(DivideRange().empty());  // A slow engine holds twelve layers.
}

// Guards against weights that take the memory of spares' requests though somebody holds the range.
TEST(Spares, NearlyFullSparesAreUsedOnlyForARangeThatNobodyHolds) {
  pool.busy = {"slow0", "slow1"};
  const auto shares = DivideRange();  // Ten layers are 0.81 of a slow engine's memory.
  CHECK_EQUAL(2U, shares.size());
  CHECK_TRUE((shares[0].layers == LayerRange{40, 50}));
  CHECK_TRUE((shares[1].layers == LayerRange{50, 60}));
  pool.engines.push_back(EngineServer("second", "middle", "k", {40, 60}));
  CHECK_TRUE(DivideRange().empty());
}

// Guards against counting the layers that engines hold instead of those they are assigned: here the
// slow engines leave the range of the fast one.
TEST(Spares, AnEngineIsNeededIfItsSparesAreReassigned) {
  pool.late_engines = {"fast"};
  for (ServerEntry& engine : pool.engines) {
    if (engine.accelerator == "slow" && engine.failure_domain == "k") {
      engine.layers = {60, 65};
      pool.busy.insert(engine.name);
    }
  }
  CHECK_TRUE(DivideRange().empty());
}

TEST(Spares, ALateEngineOfTheSameKindCoversTheRangeAlone) {
  pool.engines.push_back(EngineServer("extra", "middle", "k", {60, 70}));
  pool.late_engines = {"extra"};
  const auto shares = DivideRange();
  CHECK_EQUAL(1U, shares.size());
  STRCMP_EQUAL("extra", shares[0].server.c_str());
  CHECK_TRUE(shares[0].layers == lost.layers);
}

TEST(Spares, LayersWithLittleCapacityAreShortages) {
  const DomainCapacity capacity(profile, "k", pool.engines);
  const auto shortages = capacity.FindShortages({0, 80});
  CHECK_EQUAL(1U, shortages.size());
  CHECK_TRUE((shortages[0] == LayerRange{40, 60}));
  pool.engines.push_back(
      EngineServer("full", "slow", "k", {40, 52}));  // Its memory is all weights.
  const DomainCapacity with_full_engine(profile, "k", pool.engines);
  CHECK_TRUE((with_full_engine.FindShortages({0, 80}).front() == LayerRange{40, 60}));
  CHECK_FALSE(with_full_engine.CanSpare(Engine("middle")));
  CHECK_TRUE(with_full_engine.CanSpare(Engine("slow0")));
  CHECK_TRUE(DomainCapacity(profile, "empty", pool.engines).IsMostlyUncovered());
}

/** A fast chain of ranges of 20 layers and a slow one of ranges of 10; each engine begins 192
    requests, the domain has memory for 202. */
TEST_GROUP(FirstServers) {
  EngineProfile profile = MixedEngine();
  std::vector<ServerEntry> engines;

  void setup() override {
    engines.clear();
    for (std::uint32_t first = 0; first < 80; first += 10) {
      if (first % 20 == 0) {
        engines.push_back(
            EngineServer("fast" + std::to_string(first), "fast", "k", {first, first + 20}));
      }
      engines.push_back(
          EngineServer("slow" + std::to_string(first), "slow", "k", {first, first + 10}));
    }
  }

  void Lose(const std::string& name) {
    std::erase_if(engines, [&](const ServerEntry& engine) { return engine.name == name; });
  }
};

// Guards against replacing first servers that are not needed, and against ranges of second holders
// or of late engines that look like the rest of a chain.
TEST(FirstServers, AFirstServerIsLackingIfTheOthersCannotBeginEnoughRequests) {
  struct Case {
    const char* situation;
    std::vector<std::string> lost;
    std::vector<ServerEntry> added;
    double usual_answer_tokens;
    std::uint32_t most_requests;
    std::vector<LostFirstRange> found;
  };
  const Case cases[] = {
      {"complete chains", {}, {}, 200, 192, {}},
      {"first server lost", {"slow0"}, {}, 200, 192, {{{0, 10}, "slow"}}},
      {"requests are larger, so fewer fit", {"slow0"}, {}, 400, 192, {}},
      {"replaced", {"slow0"}, {EngineServer("spare", "slow", "k", {0, 10})}, 200, 192, {}},
      {"replaced by two spares",
       {"slow0"},
       {EngineServer("spare", "slow", "k", {0, 5}), EngineServer("spare2", "slow", "k", {5, 10})},
       200,
       192,
       {}},
      {"replaced in another domain",
       {"slow0"},
       {EngineServer("elsewhere", "slow", "m", {0, 10})},
       200,
       192,
       {{{0, 10}, "slow"}}},
      {"another first server begins enough",
       {"slow0"},
       {EngineServer("extra", "slow", "k", {0, 7})},
       200,
       192,
       {}},
      {"little memory elsewhere", {"slow0", "slow50"}, {}, 200, 192, {}},
      {"late engine that no engine follows",
       {"slow0"},
       {EngineServer("late", "slow", "k", {7, 14})},
       200,
       192,
       {{{0, 10}, "slow"}}},
      {"late engine beside one of a broken chain",
       {"slow0"},
       {EngineServer("late", "fast", "k", {30, 37})},
       200,
       192,
       {{{0, 10}, "slow"}}},
      {"late engine beside one of a chain",
       {},
       {EngineServer("late", "slow", "k", {10, 17})},
       200,
       90,
       {}},
      {"a slow engine cannot hold both", {"slow0", "slow10"}, {}, 200, 192, {{{0, 20}, "fast"}}},
  };
  for (const Case& test : cases) {
    setup();
    profile.usual_answer_tokens = test.usual_answer_tokens;
    std::for_each(test.lost.begin(), test.lost.end(), [&](const auto& name) { Lose(name); });
    engines.insert(engines.end(), test.added.begin(), test.added.end());
    for (ServerEntry& engine : engines) {
      engine.most_requests = test.most_requests;
    }
    const auto found = FirstServers(profile, "k", engines).FindLost();
    CHECK_EQUAL_TEXT(test.found.size(), found.size(), test.situation);
    for (std::size_t index = 0; index < found.size(); ++index) {
      CHECK_TRUE_TEXT(found[index].layers == test.found[index].layers, test.situation);
      STRCMP_EQUAL_TEXT(test.found[index].accelerator.c_str(), found[index].accelerator.c_str(),
                        test.situation);
    }
  }
}

// Guards against counting an engine for two chains, and against a first choice that blocks a second
// chain.
TEST(FirstServers, ChainsShareNoEngine) {
  struct Case {
    std::vector<LayerRange> ranges;
    std::size_t chains;
    bool has_more_with_first_ten;
  };
  const Case cases[] = {
      {{}, 0, false},
      {{{0, 10}, {10, 80}}, 1, false},
      {{{0, 10}, {10, 80}, {10, 80}}, 1, true},
      {{{0, 10}, {10, 40}, {10, 40}, {40, 80}}, 1, false},
      {{{0, 20}, {20, 80}, {10, 20}}, 1, false},
      {{{0, 10}, {10, 20}, {20, 80}, {0, 20}, {10, 80}}, 2, false},
      {{{0, 10}, {10, 20}, {10, 80}, {20, 80}}, 1, true},
      {{{0, 10}, {11, 80}}, 0, false},
  };
  for (const Case& test : cases) {
    ChainCounter counter(80, test.ranges);
    CHECK_EQUAL(test.chains, counter.Count());
    CHECK_EQUAL(test.has_more_with_first_ten, counter.AddIfItCompletesChain({0, 10}));
  }
}

// Guards against taking an engine from a chain as a spare for a first server.
TEST(FirstServers, EnginesThatChainsDependOnAreNotDispensable) {
  for (const LayerRange& range : {LayerRange{7, 14}, LayerRange{10, 17}, LayerRange{73, 80}}) {
    setup();
    engines.push_back(EngineServer("late", "slow", "k", range));
    const FirstServers first_servers(profile, "k", engines);
    CHECK_TRUE(first_servers.IsDispensable(engines.back()));
    for (const ServerEntry& engine : engines) {
      CHECK_TRUE(engine.name == "late" || engine.layers.first == range.first ||
                 !first_servers.IsDispensable(engine));
    }
  }
  Lose("slow0");
  const FirstServers broken(profile, "k", engines);
  CHECK_FALSE(broken.IsDispensable(engines[1]));
}

}  // namespace zinnia
