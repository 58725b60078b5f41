#pragma once

/** When a running stream stays, moves or starts again. */

#include "zinnia_decisions/forwarding/streams/departure_schedule.h"
#include "zinnia_decisions/forwarding/streams/event_interval_tracker.h"
#include "zinnia_decisions/forwarding/streams/silence_policy.h"
