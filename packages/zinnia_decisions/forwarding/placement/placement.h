#pragma once

/** Which engine is to hold which layers, and the orders that make it so. */

#include "zinnia_decisions/forwarding/placement/domain_capacity.h"
#include "zinnia_decisions/forwarding/placement/layer_placer.h"
#include "zinnia_decisions/forwarding/placement/layer_planner.h"
#include "zinnia_decisions/forwarding/placement/spare_chooser.h"
