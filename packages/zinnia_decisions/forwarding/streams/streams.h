#pragma once

/** Timing of running streams: detection of silence and moves to other servers. */

#include "zinnia_decisions/forwarding/streams/departure_schedule.h"
#include "zinnia_decisions/forwarding/streams/event_interval_tracker.h"
#include "zinnia_decisions/forwarding/streams/move_attempts.h"
#include "zinnia_decisions/forwarding/streams/move_counts.h"
#include "zinnia_decisions/forwarding/streams/move_order.h"
#include "zinnia_decisions/forwarding/streams/silence_policy.h"
