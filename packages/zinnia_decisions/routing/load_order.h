#pragma once

#include "zinnia_decisions/routing/pipeline_planner.h"

namespace zinnia {

/** The loads that turn what servers hold into what the pipelines say, ordered for a weight store
    that gives them out one after the other: always the model next that has the fewest complete
    copies, and of those the one whose next complete copy needs the fewest bytes. Within a stage,
    servers in domains that do not hold it yet come first. */
std::vector<PlannedLoad> OrderLoads(const std::vector<PlannerServer>& servers,
                                    const std::vector<PlannerModel>& models,
                                    const std::vector<Pipeline>& pipelines);

}  // namespace zinnia
