#include "tests/forwarding/pool_schedule.h"
#include "zinnia_decisions/forwarding/placement/layer_division.h"
#include "zinnia_decisions/forwarding/placement/layer_planner.h"
#include "zinnia_decisions/forwarding/placement/spare_chooser.h"

#include <cmath>
#include <cstdlib>

#include <CppUTest/TestHarness.h>

namespace zinnia {

/** ZINNIA_SEEDS plays so many seeds, from ZINNIA_FIRST_SEED on. */
TEST_GROUP(PlacementMemory) {
  static constexpr std::uint64_t kSeeds = 300;

  EngineProfile profile = MixedEngine();

  static std::uint64_t FromEnvironment(const char* name, std::uint64_t otherwise) {
    const char* text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
  }

  bool Fits(const std::string& accelerator, const LayerRange& layers) const {
    return layers.Count() * profile.layer_mb <= profile.accelerators.at(accelerator).memory_mb;
  }

  /** Cards of which a slower one has more memory than a faster one. */
  void UseUnequalCards() {
    profile.accelerators = {{"large", {72'000, 2.4, 3.2}},
                            {"small", {14'000, 5.3, 7.9}},
                            {"medium", {22'000, 16.0, 8.2}}};
  }
};

// Guards against spares that are given equal parts though the faster ones have less memory: they
// crash, return empty and get the same order again without an end.
TEST(PlacementMemory, SparesOfSeveralCardsGetPartsThatTheyCanHold) {
  UseUnequalCards();
  SparePool pool;
  pool.engines = {
      EngineServer("first", "large", "k", {0, 27}), EngineServer("last", "large", "k", {53, 80}),
      EngineServer("small1", "small", "k", {0, 6}), EngineServer("small2", "small", "k", {6, 12}),
      EngineServer("medium1", "medium", "k", {12, 22})};
  const ServerEntry lost = EngineServer("lost", "large", "k", {27, 53});
  std::uint32_t next = lost.layers.first;
  for (const SpareShare& share : SpareChooser::DivideRange(profile, pool, lost, lost.layers)) {
    CHECK_EQUAL(next, share.layers.first);
    next = share.layers.end;
    CHECK_TRUE(Fits(share.server.starts_with("small") ? "small" : "medium", share.layers));
  }
  CHECK_EQUAL(lost.layers.end, next);
}

// Guards against a range that is left to nobody though its spares could hold it with room for a few
// requests, and against spares that have room for weights only.
TEST(PlacementMemory, ARangeThatNobodyElseHoldsIsCoveredAsLongAsAFewRequestsFit) {
  UseUnequalCards();
  SparePool pool;
  pool.engines = {EngineServer("first", "large", "k", {0, 27}),
                  EngineServer("last", "large", "k", {53, 80}),
                  EngineServer("small1", "small", "k", {0, 6}),
                  EngineServer("medium1", "medium", "k", {12, 22})};
  for (const std::uint32_t count : {12U, 19U, 20U}) {
    const ServerEntry lost = EngineServer("lost", "large", "k", {27, 27 + count});
    const auto shares = SpareChooser::DivideRange(profile, pool, lost, lost.layers);
    CHECK_EQUAL(count <= 19 ? 2U : 0U, shares.size());  // At most 12 and 7 layers.
  }
}

// Guards against parts that exceed what an engine can hold, and against giving up though the parts
// could take the range.
TEST(PlacementMemory, ADivisionIsWholeIfThePartsCanTakeTheRange) {
  std::mt19937_64 random(1);
  const auto draw = [&](std::uint32_t most) {
    return static_cast<std::uint32_t>(random() % (most + 1));
  };
  for (int round = 0; round < 5'000; ++round) {
    std::vector<LayerPart> parts(1 + draw(6));
    std::uint32_t most = 0;
    for (LayerPart& part : parts) {
      part = {1.0 + draw(80), draw(20)};
      most += part.most_layers;
    }
    const std::uint32_t first = draw(40);
    const LayerRange range = {first, first + 1 + draw(60)};
    const std::vector<LayerRange> divided = DivideLayers(range, parts);
    CHECK_EQUAL(most >= range.Count() ? parts.size() : 0, divided.size());
    std::uint32_t next = range.first;
    for (std::size_t index = 0; index < divided.size(); ++index) {
      CHECK_EQUAL(next, divided[index].first);
      CHECK_TRUE(divided[index].Count() <= parts[index].most_layers);
      next = divided[index].end;
    }
    CHECK_TRUE(divided.empty() || next == range.end);
  }
}

// Guards against a plan whose last server gets what rounding left over, and against an accelerator
// that the configuration does not name.
TEST(PlacementMemory, AChainOfSmallServersIsPlannedWithinTheirMemory) {
  profile.accelerators = {{"small", {5'200, 2.4, 3.2}}, {"tiny", {3'400, 2.4, 3.2}}};
  std::vector<ServerEntry> servers = {EngineServer("unknown", "other", "k")};
  for (int index = 0; index < 60; ++index) {
    servers.push_back(
        EngineServer("s" + std::to_string(index), index % 3 > 0 ? "small" : "tiny", "k"));
  }
  for (const auto& [name, layers] : LayerPlanner::PlanPool(profile, servers)) {
    const auto server =
        std::find_if(servers.begin(), servers.end(),
                     [&, &text = name](const ServerEntry& entry) { return entry.name == text; });
    CHECK_TRUE(layers.Count() == 0 || Fits(server->accelerator, layers));
  }
}

// Guards against orders beyond a server's memory on any way: plans, spares, replacements, returns
// with another card, changed configurations, a new holder of the orders.
TEST(PlacementMemory, NoServerOfARandomPoolIsOrderedBeyondItsMemory) {
  const std::uint64_t first = FromEnvironment("ZINNIA_FIRST_SEED", 1);
  const std::uint64_t count = FromEnvironment("ZINNIA_SEEDS", kSeeds);
  std::uint64_t pools = 0;
  int orders = 0;
  int beyond_memory = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    PoolSchedule pool(seed);
    pool.Run();
    orders += pool.Orders();
    beyond_memory += pool.OrdersBeyondMemory();
    pools += pool.OrdersBeyondMemory() > 0 ? 1 : 0;
  }
  UT_PRINT((std::to_string(beyond_memory) + " of " + std::to_string(orders) +
            " orders are beyond a memory, in " + std::to_string(pools) + " of " +
            std::to_string(count) + " pools")
               .c_str());
  CHECK_TRUE(orders > 0);
  CHECK_EQUAL(0, beyond_memory);
}

}  // namespace zinnia
