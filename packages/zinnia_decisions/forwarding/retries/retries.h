#pragma once

/** What may be sent again, and how often all instances together may. */

#include "zinnia_decisions/forwarding/retries/retry_policy.h"
#include "zinnia_decisions/forwarding/retries/shared_retry_budget.h"
