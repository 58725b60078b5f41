#include "tests/forwarding/forwarding_fakes.h"
#include "zinnia_decisions/forwarding/placement/domain_capacity.h"
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
  pool.busy.insert("slow1");
  CHECK_TRUE(DivideRange().empty());  // Ten layers would be 0.81 of a slow engine's memory.
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

}  // namespace zinnia
