#pragma once

#include "zinnia_world/fleet/fleet_snapshot.h"

namespace zinnia {

/** Returns the number of sessions of a model that this instance should run concurrently, for
    AdmissionController::SetPoolCapacity: its equal share of the decode rate of the pipelines'
    bottleneck stages, times the target seconds between tokens.

    Further sessions would queue in engines, where admission control can no longer reject them.
*/
double ConcurrentSessionsFor(const FleetSnapshot& fleet,
                             const ModelName& model,
                             double seconds_between_tokens);

}  // namespace zinnia
