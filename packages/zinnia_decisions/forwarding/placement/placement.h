#pragma once

/** Planning of layer ranges and the orders that assign them. */

#include "zinnia_decisions/forwarding/placement/chain_counter.h"
#include "zinnia_decisions/forwarding/placement/domain_capacity.h"
#include "zinnia_decisions/forwarding/placement/first_servers.h"
#include "zinnia_decisions/forwarding/placement/layer_division.h"
#include "zinnia_decisions/forwarding/placement/layer_placer.h"
#include "zinnia_decisions/forwarding/placement/layer_planner.h"
#include "zinnia_decisions/forwarding/placement/spare_chooser.h"
