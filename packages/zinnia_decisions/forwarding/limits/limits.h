#pragma once

/** Rate limits that servers set for all instances together, and this instance's share of them. */

#include "zinnia_decisions/forwarding/limits/limit_availability.h"
#include "zinnia_decisions/forwarding/limits/limit_division.h"
#include "zinnia_decisions/forwarding/limits/recent_instances.h"
#include "zinnia_decisions/forwarding/limits/rendezvous_limit_division.h"
#include "zinnia_decisions/forwarding/limits/server_limit_report.h"
#include "zinnia_decisions/forwarding/limits/server_limits.h"
#include "zinnia_decisions/forwarding/limits/server_notices.h"
#include "zinnia_decisions/forwarding/limits/server_pauses.h"
