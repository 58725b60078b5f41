#pragma once

#include "zinnia_decisions/routing/pipeline_planner.h"

namespace zinnia {

/** Returns the loads by which the servers reach the layer ranges that the pipelines assign to them,
    in the order in which a weight store should serve them. The model with the fewest complete
    copies comes first; ties go to the one with the fewest bytes to its next copy. Within a stage,
    servers in failure domains without a holder come first. */
std::vector<PlannedLoad> OrderLoads(const std::vector<PlannerServer>& servers,
                                    const std::vector<PlannerModel>& models,
                                    const std::vector<Pipeline>& pipelines);

}  // namespace zinnia
