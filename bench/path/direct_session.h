#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "bench/path/latencies.h"
#include "bench/path/stage_client.h"

namespace zinnia::bench {

/** One answer driven straight through the stages, without zinniad: the baseline of what zinniad
    adds. */
class DirectSession {
 public:
  using Stages = std::vector<std::unique_ptr<StageClient>>;

  DirectSession(Stages& stages,
                std::string name,
                Latencies& latencies,
                std::function<void()> on_end);

  void Start();

 private:
  void Send(std::size_t stage, const std::string& input);
  void OnAnswer(std::size_t stage, const boost::json::object& answer);
  void OnToken(const boost::json::object& answer);

  Stages& m_stages;
  const std::string m_name;
  Latencies& m_latencies;
  const std::function<void()> m_on_end;
  std::uint64_t m_position = 0;
  std::uint64_t m_length = 0;
  BenchClock::time_point m_last{};
};

}  // namespace zinnia::bench
