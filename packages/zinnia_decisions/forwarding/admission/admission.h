#pragma once

/** Admission of requests that wait for capacity. */

#include "zinnia_decisions/forwarding/admission/capacity_queue.h"
