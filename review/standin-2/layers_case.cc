// Loses a worker of a pool of mixed cards for good, and checks whether any worker is then ordered
// to hold more layers than its memory holds.

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "review/standin-2/layer_server.h"
#include "review/standin-2/world.h"

namespace zinnia::review {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr int kInstances = 3;
constexpr milliseconds kPlacedWithin{20'000};
constexpr milliseconds kSettles{2'000};
constexpr milliseconds kPlayed{15'000};
constexpr milliseconds kPoll{100};

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

const std::vector<CardType>& CardTypes() {
  static const std::vector<CardType> types = {
      {"a100", 72'000.0, 2.4, 3.2}, {"v100", 14'000.0, 5.3, 7.9}, {"l4", 22'000.0, 16.0, 8.2}};
  return types;
}

json::object Configuration() {
  json::array types;
  for (const CardType& type : CardTypes()) {
    types.push_back(json::object{{"name", type.name},
                                 {"megabytes", type.megabytes},
                                 {"pace", type.pace},
                                 {"read_factor", type.read_factor}});
  }
  const json::object runtime = {{"max_batch_size", 192},
                                {"kv_capacity", 100'000},
                                {"kv_bytes", 918'000},
                                {"link_mbps", 400'000.0},
                                {"steps_per_pass", 4},
                                {"step_ms", 1.02},
                                {"per_seq_ms", 0.00714},
                                {"context_per_k", 0.00956},
                                {"read_per_s", 196'000.0},
                                {"chunk", 512},
                                {"report_lag_ms", 200.0},
                                {"loads_at_once", 5},
                                {"usual", {{"prompt", 774}, {"answer", 200}}},
                                {"layers", kModelLayers},
                                {"layer_mb", kLayerMegabytes},
                                {"activation_bytes", 45'900},
                                {"inter_zone_mbps", 9'600.0},
                                {"types", std::move(types)}};
  return {{"version", 3},
          {"routes", json::array{json::object{{"name", "bed-query"},
                                              {"hostname", "desk.example"},
                                              {"path_prefix", "/query/"},
                                              {"type", "streaming"},
                                              {"service", "assistant"},
                                              {"timeout_ms", 20'000},
                                              {"target_latency_ms", 500},
                                              {"target_gap_ms", 250},
                                              {"priority", 1},
                                              {"max_attempts", 2},
                                              {"public", false},
                                              {"sticky", true},
                                              {"resumable", true}}}},
          {"services", json::array{json::object{{"name", "assistant"},
                                                {"health_path", "/healthz"},
                                                {"max_connections", 1'318},
                                                {"runtime", runtime}}}},
          {"tenants", json::array{json::object{{"name", "hostel"}, {"api_keys", {"a-key"}}}}},
          {"limits",
           {{"max_header_bytes", 16'384},
            {"max_body_bytes", 4'194'304},
            {"header_timeout_ms", 5'000},
            {"idle_timeout_ms", 30'000}}}};
}

int Play(const std::string& program, const std::string& folder, const std::string& record_file) {
  const char* const trouble = std::getenv("TROUBLE");
  const bool is_troubled = trouble == nullptr || std::string(trouble) != "0";
  Record record(record_file);
  World world(program, folder, kInstances);
  std::atomic<int> excesses = 0;
  const auto on_excess = [&](const LayerServer& server, int layers) {
    ++excesses;
    record.Write("LIMIT broken: " + server.Name() + " of " +
                 std::to_string(static_cast<int>(server.Type().megabytes)) +
                 " MB is ordered to hold " + std::to_string(layers) + " layers, " +
                 std::to_string(static_cast<int>(layers * kLayerMegabytes)) + " MB");
  };
  std::vector<std::unique_ptr<LayerServer>> servers;
  const auto add = [&](std::size_t type, int count) {
    for (int number = 1; number <= count; ++number) {
      const CardType& card = CardTypes()[type];
      servers.push_back(std::make_unique<LayerServer>(
          world, record, card.name + "-" + std::to_string(number), card, on_excess));
    }
  };
  add(0, 3);
  add(1, 2);
  add(2, 1);
  world.Put("op/config", Configuration());
  if (!world.Start()) {
    std::cout << "the instances did not become ready\n";
    return kNotRun;
  }
  const auto is_placed = [&] {
    return std::all_of(servers.begin(), servers.end(),
                       [](const auto& server) { return server->HoldsAny(); });
  };
  for (const auto end = Clock::now() + kPlacedWithin; !is_placed() && Clock::now() < end;) {
    std::this_thread::sleep_for(kPoll);
  }
  if (!is_placed()) {
    std::cout << "the layers were not placed\n";
    return kNotRun;
  }
  std::this_thread::sleep_for(kSettles);
  if (is_troubled) {
    // The second stage of the chain; the workers that hold layers twice hold none of its.
    const auto lost = std::find_if(servers.begin(), servers.end(), [](const auto& server) {
      return server->Type().name == "a100" && server->Layers().starts_with("27-");
    });
    if (lost == servers.end()) {
      std::cout << "no worker holds the layers from 27 on\n";
      return kNotRun;
    }
    (*lost)->LoseForGood();
  }
  std::this_thread::sleep_for(kPlayed);
  for (std::size_t instance = 0; instance < world.InstanceCount(); ++instance) {
    world.Kill(instance);
  }
  const std::string result = "orders beyond the memory of a worker: " + std::to_string(excesses);
  record.Write(result);
  std::cout << result << "\n";
  return excesses > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace zinnia::review

int main(int argc, char** argv) {
  if (argc != 4) {
    std::cout << "usage: layers_case PROGRAM FOLDER RECORD\n";
    return zinnia::review::kNotRun;
  }
  const int result = zinnia::review::Play(argv[1], argv[2], argv[3]);
  std::cout.flush();
  std::_Exit(result);
}
