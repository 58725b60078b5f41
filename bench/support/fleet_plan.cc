#include "bench/support/fleet_plan.h"

#include <fmt/format.h>

#include <array>

namespace zinnia::bench {
namespace {

constexpr double kBaseSecondsPerLayer = 50e-6;
constexpr double kDecodeSecondsPerLayer = 22e-6;
constexpr double kPrefillSecondsPerLayer = 1.25e-6;
constexpr double kSlowLinkFactor = 100.0;
const std::array<FailureDomainName, 3> kDomains = {"kariakoo", "msasani", "ubungo"};

double SlownessOf(AcceleratorKind kind) {
  switch (kind) {
    case AcceleratorKind::kLarge:
      return 1.0;
    case AcceleratorKind::kMedium:
      return 1.6;
    case AcceleratorKind::kSmall:
      return 2.5;
    case AcceleratorKind::kEdge:
      break;
  }
  return 5.0;
}

Duration Seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/** Adds a pipeline; `kinds[stage]` lists the kinds of its replicas, which go round the domains. */
void AddPipeline(FleetPlan& plan,
                 const PipelineName& name,
                 const ModelName& model,
                 const std::vector<std::uint32_t>& ends,
                 const std::vector<std::vector<AcceleratorKind>>& kinds) {
  Pipeline pipeline{.name = name, .model = model, .version = "v1"};
  std::uint32_t first = 0;
  for (std::size_t stage = 0; stage < ends.size(); ++stage) {
    PipelineStage planned{.layers = {first, ends[stage]}};
    for (std::size_t replica = 0; replica < kinds[stage].size(); ++replica) {
      BackendServer server;
      server.name = fmt::format("{}-{}-{}", name, stage, replica);
      server.failure_domain = kDomains[(replica + stage) % kDomains.size()];
      server.accelerator = kinds[stage][replica];
      server.pool = "workers";
      server.loaded = LoadedRange{model, "v1", planned.layers};
      planned.replicas.push_back(server.name);
      plan.servers.push_back(server);
    }
    pipeline.stages.push_back(planned);
    first = ends[stage];
  }
  plan.pipelines.push_back(pipeline);
}

}  // namespace

double EngineCost::FullBatchSecondsPerToken() const {
  return base_seconds / static_cast<double>(largest_batch) + seconds_per_decode;
}

EngineCost CostOf(const BackendServer& server) {
  const double work = SlownessOf(server.accelerator) * server.loaded->layers.Count();
  return {.base_seconds = kBaseSecondsPerLayer * work,
          .seconds_per_decode = kDecodeSecondsPerLayer * work,
          .seconds_per_prefill = kPrefillSecondsPerLayer * work};
}

FleetPlan MakeThirtyWorkers() {
  constexpr auto kL = AcceleratorKind::kLarge;
  constexpr auto kM = AcceleratorKind::kMedium;
  constexpr auto kS = AcceleratorKind::kSmall;
  FleetPlan plan;
  AddPipeline(plan, "assistant-long", "assistant", {16, 36, 48},
              {{kM, kL, kM, kS}, {kL, kL, kM, kM}, {kS, kM, kS, kL}});
  AddPipeline(plan, "assistant-short", "assistant", {26, 48}, {{kL, kL, kM, kM}, {kL, kM, kL, kS}});
  AddPipeline(plan, "drafting", "drafting", {14, 24}, {{kL, kM, kS, kM, kS}, {kM, kS, kM, kS, kS}});
  const Duration slow = Seconds(kFastOneWaySeconds * kSlowLinkFactor);
  const double slow_bytes = kFastBytesPerSecond / kSlowLinkFactor;
  plan.links = {{kDomains[0], kDomains[2], slow, slow_bytes},
                {kDomains[2], kDomains[0], slow, slow_bytes}};
  for (std::size_t instance = 0; instance < 8; ++instance) {
    plan.instance_domains.push_back(kDomains[instance % kDomains.size()]);
  }
  return plan;
}

Link LinkBetween(const FleetPlan& plan,
                 const FailureDomainName& from,
                 const FailureDomainName& to) {
  for (const Link& link : plan.links) {
    if (link.from == from && link.to == to) {
      return link;
    }
  }
  return {from, to, Seconds(kFastOneWaySeconds), kFastBytesPerSecond};
}

}  // namespace zinnia::bench
