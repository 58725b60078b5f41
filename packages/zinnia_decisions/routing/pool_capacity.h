#pragma once

#include "zinnia_world/fleet/fleet_snapshot.h"

namespace zinnia {

/** How many sessions of a model this instance should run at once, for
    AdmissionController::SetPoolCapacity: its equal share of the tokens a second that the narrowest
    stages decode, times the seconds a token may take through the whole pipeline.

    More sessions than that only wait in engines, where admission can no longer refuse them.
*/
double ConcurrentSessionsFor(const FleetSnapshot& fleet,
                             const ModelName& model,
                             double seconds_between_tokens);

}  // namespace zinnia
