#pragma once

/** Who waits for room, in which order, and what those who are refused are told. */

#include "zinnia_decisions/forwarding/admission/capacity_queue.h"
