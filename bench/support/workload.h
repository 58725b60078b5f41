#pragma once

#include <optional>
#include <string>
#include <vector>

#include "bench/support/fleet_plan.h"
#include "zinnia_base/random/random_source.h"

namespace zinnia::bench {

/** One request as a client sends it. */
struct OfferedRequest {
  std::uint64_t id = 0;
  TimePoint arrival{};
  ModelName model;
  OrganisationName organisation;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t answer_tokens = 0;
  std::uint32_t shared_prefix_tokens = 0;
  std::uint64_t prefix_hash = 0;
  double weight = 1.0;
  std::uint32_t tries = 1;
  std::optional<Duration> patience;
};

/** Sizes of prompts and answers and how often prefixes are shared. */
struct WorkloadShape {
  std::uint32_t shortest_prompt = 60;
  std::uint32_t longest_prompt = 300;
  std::uint32_t shortest_answer = 20;
  std::uint32_t longest_answer = 100;
  std::uint32_t shared_prefix_tokens = 120;
  double share_with_prefix = 0.6;
  std::uint64_t prefixes = 48;
};

/** Draws requests; the same seed gives the same ones. */
class Workload {
 public:
  Workload(WorkloadShape shape, std::uint64_t seed) : m_shape(shape), m_random(seed) {}

  /** The mix of models with the average work that this shape gives each request. */
  static std::map<ModelName, ModelDemand> DemandOf(const WorkloadShape& shape,
                                                   const std::map<ModelName, double>& shares);

  OfferedRequest Draw(const std::map<ModelName, ModelDemand>& demand, TimePoint arrival);

  /** Poisson arrivals from `begin` to `end`. */
  std::vector<OfferedRequest> DrawArrivals(const std::map<ModelName, ModelDemand>& demand,
                                           double per_second,
                                           TimePoint begin,
                                           TimePoint end);

 private:
  WorkloadShape m_shape;
  RandomSource m_random;
  std::uint64_t m_next_id = 1;
};

}  // namespace zinnia::bench
