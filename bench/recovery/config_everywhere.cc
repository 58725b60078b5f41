#include "config_everywhere.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <iostream>

#include "samples.h"
#include "tests/processes/fleet_fixture.h"
#include "tests/processes/polling.h"

namespace zinnia::bench {

namespace {

constexpr int kChanges = 100;

}  // namespace

void MeasureConfigurationEverywhere(std::size_t instances) {
  testing::Fleet fleet({.replicas = 1, .instances = instances});
  Samples samples;
  int failed = 0;
  std::int64_t revision = fleet.Revision(0);
  for (int number = 0; number < kChanges; ++number) {
    const auto begin = std::chrono::steady_clock::now();
    const auto answer =
        fleet.Command(static_cast<std::size_t>(number) % instances,
                      fmt::format("change model msaidizi set max_tokens = {} against {}",
                                  200 + number, revision));
    if (answer.status != 200) {
      ++failed;
      continue;
    }
    revision = answer.Json().at("revision").to_number<std::int64_t>();
    bool everywhere = true;
    for (std::size_t instance = 0; instance < instances; ++instance) {
      everywhere =
          testing::Eventually([&] { return fleet.Revision(instance) >= revision; }) && everywhere;
    }
    everywhere ? samples.AddSince(begin) : static_cast<void>(++failed);
  }
  const std::string name = fmt::format("config_everywhere_{}_instances", instances);
  samples.Print(name);
  std::cout << name << "_failed=" << failed << std::endl;
}

}  // namespace zinnia::bench
