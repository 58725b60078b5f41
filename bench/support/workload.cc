#include "bench/support/workload.h"

#include <algorithm>
#include <cmath>

namespace zinnia::bench {
namespace {

std::uint32_t Between(RandomSource& random, std::uint32_t least, std::uint32_t most) {
  return least + static_cast<std::uint32_t>(RandomBelow(random, most - least + 1));
}

}  // namespace

std::map<ModelName, ModelDemand> Workload::DemandOf(const WorkloadShape& shape,
                                                    const std::map<ModelName, double>& shares) {
  constexpr int kDraws = 200'000;
  Workload sample(shape, 1);
  std::map<ModelName, ModelDemand> demand;
  ModelDemand mean;
  for (int draw = 0; draw < kDraws; ++draw) {
    const OfferedRequest request = sample.Draw({{"any", {}}}, {});
    mean.prompt_tokens += request.prompt_tokens / static_cast<double>(kDraws);
    mean.answer_tokens += request.answer_tokens / static_cast<double>(kDraws);
    mean.uncached_prompt_tokens +=
        (request.prompt_tokens - request.shared_prefix_tokens) / static_cast<double>(kDraws);
  }
  for (const auto& [model, share] : shares) {
    demand[model] = mean;
    demand[model].share = share;
  }
  return demand;
}

OfferedRequest Workload::Draw(const std::map<ModelName, ModelDemand>& demand, TimePoint arrival) {
  OfferedRequest request{.id = m_next_id++, .arrival = arrival};
  double pick = RandomUnit(m_random);
  for (const auto& [model, of_model] : demand) {
    request.model = model;
    pick -= of_model.share;
    if (pick < 0.0) {
      break;
    }
  }
  request.prompt_tokens = Between(m_random, m_shape.shortest_prompt, m_shape.longest_prompt);
  request.answer_tokens = Between(m_random, m_shape.shortest_answer, m_shape.longest_answer);
  const double skewed = std::pow(RandomUnit(m_random), 2.0);
  const auto prefix = static_cast<std::uint64_t>(skewed * static_cast<double>(m_shape.prefixes));
  if (RandomUnit(m_random) < m_shape.share_with_prefix &&
      request.prompt_tokens > m_shape.shared_prefix_tokens) {
    request.shared_prefix_tokens = m_shape.shared_prefix_tokens;
    request.prefix_hash = 1 + prefix;
  } else {
    request.prefix_hash = 1'000'000 + request.id;
  }
  return request;
}

std::vector<OfferedRequest> Workload::DrawArrivals(const std::map<ModelName, ModelDemand>& demand,
                                                   double per_second,
                                                   TimePoint begin,
                                                   TimePoint end) {
  std::vector<OfferedRequest> arrivals;
  std::exponential_distribution<double> gap(per_second);
  TimePoint at = begin;
  while (true) {
    at += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(m_random)));
    if (at >= end) {
      return arrivals;
    }
    arrivals.push_back(Draw(demand, at));
  }
}

}  // namespace zinnia::bench
