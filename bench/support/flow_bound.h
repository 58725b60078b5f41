#pragma once

#include <set>

#include "bench/support/fleet_plan.h"

namespace zinnia::bench {

/** The largest number of requests a second that the stages and links of a plan can carry, with its
    mix of models and its places of arrival.

    A linear program over the flows from each domain through each pipeline's stages to each server:
    every stage carries the whole flow of its pipeline, each server has one second a second (full
    batches, every shared prefix cached), each link its bytes. No policy can pass it. Servers in
    `lost` carry nothing.
*/
double RequestsPerSecondBound(const FleetPlan& plan, const std::set<BackendServerName>& lost = {});

/** The largest number of requests a second that can be answered when that many are offered, in the
    plan's mix. Below the bound that is all of them; above it, each model and place may be refused
    a different part. */
double CarriedRequestsPerSecond(const FleetPlan& plan,
                                double offered_per_second,
                                const std::set<BackendServerName>& lost = {});

}  // namespace zinnia::bench
