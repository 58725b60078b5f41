#pragma once

/** Retry policy and the retry budget that all instances share. */

#include "zinnia_decisions/forwarding/retries/resend_obstacle.h"
#include "zinnia_decisions/forwarding/retries/retry_charge.h"
#include "zinnia_decisions/forwarding/retries/retry_policy.h"
#include "zinnia_decisions/forwarding/retries/shared_retry_budget.h"
