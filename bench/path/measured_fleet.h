#pragma once

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

#include "tests/processes/process_harness.h"

namespace zinnia::bench {

/** What the stand-in engines of a measured fleet are like. */
struct EngineKind {
  std::size_t state_bytes = 24;
  std::uint32_t step_microseconds = 0;
  std::uint32_t answer_tokens = 24;
  std::size_t replicas = 1;
};

/** A store, an instance list, engines for three stages of four layers, and one zinniad with one
    traffic thread, all on loopback; ends them with itself. */
class MeasuredFleet {
 public:
  static constexpr std::uint32_t kLayers = 12;
  static constexpr std::uint32_t kStages = 3;

  /** Returns when the instance is ready and the pipeline is in force; throws std::runtime_error if
      that takes too long. */
  explicit MeasuredFleet(const EngineKind& kind);
  ~MeasuredFleet();
  MeasuredFleet(const MeasuredFleet&) = delete;
  MeasuredFleet& operator=(const MeasuredFleet&) = delete;

  std::uint16_t CallersPort() const { return m_callers_port; }
  pid_t InstanceId() const { return m_instance_id; }

  /** HOST:PORT of the first engine of each stage. */
  const std::vector<std::string>& StageAddresses() const { return m_stage_addresses; }

  /** The HTTP request of one streamed chat. */
  std::string ChatRequest() const;

  /** The prompt that the engines get for ChatRequest. */
  static std::string EnginePrompt();

 private:
  void StartEngines(const EngineKind& kind);
  void StartInstance();
  void Order(const std::string& command);
  void Configure(std::uint32_t answer_tokens);
  void WaitUntilServing() const;
  std::string WriteFile(const std::string& name, const std::string& text) const;

  std::filesystem::path m_folder;
  testing::ProcessHarness m_harness;
  std::string m_store;
  std::string m_list;
  std::string m_servers;
  std::vector<std::string> m_stage_names;
  std::vector<std::string> m_stage_addresses;
  std::vector<std::string> m_server_names;
  std::uint16_t m_callers_port = 0;
  std::uint16_t m_operators_port = 0;
  pid_t m_instance_id = 0;
};

}  // namespace zinnia::bench
