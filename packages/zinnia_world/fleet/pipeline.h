#pragma once

#include <string>
#include <vector>

#include "zinnia_world/fleet/layer_range.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** A layer range of a pipeline and the backend servers that hold it. Any replica can run the steps
    of a session. */
struct PipelineStage {
  LayerRange layers;
  std::vector<BackendServerName> replicas;

  bool operator==(const PipelineStage&) const = default;
};

/** Stages that cover the layers of a model in order, without gaps or overlaps. */
struct Pipeline {
  PipelineName name;
  ModelName model;
  std::string version;
  std::vector<PipelineStage> stages;
  bool draining = false;

  bool operator==(const Pipeline&) const = default;
};

/** The backend server chosen for each stage of one attempt. */
struct Route {
  PipelineName pipeline;
  ModelName model;
  std::string version;
  struct Hop {
    LayerRange layers;
    BackendServerName server;
    bool operator==(const Hop&) const = default;
  };
  std::vector<Hop> hops;

  bool operator==(const Route&) const = default;
};

}  // namespace zinnia
