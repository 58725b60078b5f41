#include "bench/path/direct_session.h"

#include <fmt/format.h>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <stdexcept>
#include <utility>

#include "bench/path/measured_fleet.h"

namespace zinnia::bench {

DirectSession::DirectSession(Stages& stages,
                             std::string name,
                             Latencies& latencies,
                             std::function<void()> on_end)
    : m_stages(stages),
      m_name(std::move(name)),
      m_latencies(latencies),
      m_on_end(std::move(on_end)) {}

void DirectSession::Start() {
  m_last = BenchClock::now();
  Send(0, fmt::format(R"("prompt":"{}")", MeasuredFleet::EnginePrompt()));
}

void DirectSession::Send(std::size_t stage, const std::string& input) {
  constexpr std::uint32_t kLayersPerStage = MeasuredFleet::kLayers / MeasuredFleet::kStages;
  const std::size_t first_layer = stage * kLayersPerStage;
  m_stages[stage]->Send(
      m_position == 0,
      fmt::format(R"({{"session":"{}","attempt":1,"position":{},"first_layer":{},"end_layer":{},)"
                  R"("version":"1","priority":1,"seed":7,"sample":{},{}}})",
                  m_name, m_position, first_layer, first_layer + kLayersPerStage,
                  stage + 1 == m_stages.size(), input),
      [this, stage](const boost::json::object& answer) { OnAnswer(stage, answer); });
}

void DirectSession::OnAnswer(std::size_t stage, const boost::json::object& answer) {
  if (answer.at("status").as_string() != "done") {
    throw std::runtime_error("a step was refused: " + boost::json::serialize(answer));
  }
  m_length = answer.at("length").to_number<std::uint64_t>();
  if (stage + 1 == m_stages.size()) {
    OnToken(answer);
    return;
  }
  Send(stage + 1, "\"states\":" + boost::json::serialize(answer.at("states")));
}

void DirectSession::OnToken(const boost::json::object& answer) {
  const auto now = BenchClock::now();
  m_latencies.Add(m_position == 0, now - m_last);
  m_last = now;
  const boost::json::object& token = answer.at("token").as_object();
  if (token.at("end").as_bool()) {
    m_on_end();
    return;
  }
  m_position = m_length;
  Send(0, fmt::format(R"("tokens":[{}])", token.at("id").to_number<std::uint64_t>()));
}

}  // namespace zinnia::bench
