#pragma once

/** Which servers a request goes to, and where a running stream goes on when one of them is lost. */

#include "zinnia_decisions/forwarding/paths/first_server_sampler.h"
#include "zinnia_decisions/forwarding/paths/idle_connections.h"
#include "zinnia_decisions/forwarding/paths/path_finder.h"
#include "zinnia_decisions/forwarding/paths/plain_server_chooser.h"
#include "zinnia_decisions/forwarding/paths/prefill_time.h"
#include "zinnia_decisions/forwarding/paths/recovery_chooser.h"
#include "zinnia_decisions/forwarding/paths/route_table.h"
