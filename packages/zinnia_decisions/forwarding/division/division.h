#pragma once

/** Division of scarce servers between instances, in proportion to their demand. Computed and
    reported, not enforced. */

#include "zinnia_decisions/forwarding/division/capacity_division.h"
#include "zinnia_decisions/forwarding/division/capacity_quota.h"
#include "zinnia_decisions/forwarding/division/capacity_quotas.h"
#include "zinnia_decisions/forwarding/division/fleet_quotas.h"
#include "zinnia_decisions/forwarding/division/loss_shares.h"
#include "zinnia_decisions/forwarding/division/proportional_division.h"
#include "zinnia_decisions/forwarding/division/scarce_server.h"
#include "zinnia_decisions/forwarding/division/server_capacity.h"
#include "zinnia_decisions/forwarding/division/service_demand.h"
#include "zinnia_decisions/forwarding/division/use_history.h"
