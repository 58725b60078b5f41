#include "bench/support/simulated_server.h"

#include <algorithm>
#include <utility>

namespace zinnia::bench {
namespace {

constexpr std::size_t kCachedPrefixes = 24;
constexpr std::uint32_t kPromptTokensPerIteration = 512;
constexpr std::size_t kLoadSamples = 128;

}  // namespace

SimulatedServer::SimulatedServer(SimulationTime& time, BackendServer server)
    : m_time(time), m_server(std::move(server)), m_cost(CostOf(m_server)) {}

void SimulatedServer::Enqueue(StepSink& sink, std::uint32_t attempt, std::uint32_t prompt_tokens) {
  if (m_dead) {
    return;
  }
  m_queue.push_back({&sink, attempt, prompt_tokens});
  if (!m_running) {
    StartIteration();
  }
}

void SimulatedServer::Kill() {
  m_dead = true;
  ++m_life;
  m_queue.clear();
  m_batch.clear();
  m_prefixes.clear();
  m_prefix_order.clear();
  m_running = false;
  m_sessions = 0;
}

void SimulatedServer::Revive() {
  m_dead = false;
}

void SimulatedServer::RemoveSession() {
  m_sessions -= m_sessions > 0 ? 1 : 0;
}

void SimulatedServer::UsePrefix(std::uint64_t prefix) {
  const auto known = m_prefixes.find(prefix);
  if (known != m_prefixes.end()) {
    m_prefix_order.splice(m_prefix_order.begin(), m_prefix_order, known->second);
    return;
  }
  m_prefix_order.push_front(prefix);
  m_prefixes[prefix] = m_prefix_order.begin();
  if (m_prefixes.size() > kCachedPrefixes) {
    m_prefixes.erase(m_prefix_order.back());
    m_prefix_order.pop_back();
  }
}

std::uint32_t SimulatedServer::SessionsBefore(Duration lag) const {
  const TimePoint then = m_time.Now() - lag;
  std::uint32_t sessions = m_samples.empty() ? m_sessions : m_samples.front().second;
  for (const auto& [at, sampled] : m_samples) {
    if (at > then) {
      break;
    }
    sessions = sampled;
  }
  return sessions;
}

void SimulatedServer::SampleLoad() {
  m_samples.emplace_back(m_time.Now(), m_sessions);
  if (m_samples.size() > kLoadSamples) {
    m_samples.pop_front();
  }
}

void SimulatedServer::StartIteration() {
  double seconds = m_cost.base_seconds;
  std::uint32_t prompt_tokens = 0;
  while (!m_queue.empty() && m_batch.size() < m_cost.largest_batch) {
    const Step& step = m_queue.front();
    const bool too_long = prompt_tokens + step.prompt_tokens > kPromptTokensPerIteration;
    if (too_long && prompt_tokens > 0) {
      break;
    }
    prompt_tokens += step.prompt_tokens;
    seconds += step.prompt_tokens > 0 ? step.prompt_tokens * m_cost.seconds_per_prefill
                                      : m_cost.seconds_per_decode;
    m_batch.push_back(step);
    m_queue.pop_front();
  }
  m_running = true;
  m_time.Post(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)),
              [this, life = m_life] { EndIteration(life); });
}

void SimulatedServer::EndIteration(std::uint64_t life) {
  if (life != m_life) {
    return;
  }
  m_running = false;
  const std::vector<Step> done = std::exchange(m_batch, {});
  for (const Step& step : done) {
    step.sink->OnStepRun(step.attempt);
  }
  if (!m_running && !m_queue.empty()) {
    StartIteration();
  }
}

}  // namespace zinnia::bench
