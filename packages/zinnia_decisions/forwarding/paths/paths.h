#pragma once

/** Choice of servers for new requests and for streams that lost a server. */

#include "zinnia_decisions/forwarding/paths/first_server_sampler.h"
#include "zinnia_decisions/forwarding/paths/idle_connections.h"
#include "zinnia_decisions/forwarding/paths/move_chooser.h"
#include "zinnia_decisions/forwarding/paths/move_quotas.h"
#include "zinnia_decisions/forwarding/paths/path_finder.h"
#include "zinnia_decisions/forwarding/paths/plain_server_chooser.h"
#include "zinnia_decisions/forwarding/paths/prefill_time.h"
#include "zinnia_decisions/forwarding/paths/recovery_chooser.h"
#include "zinnia_decisions/forwarding/paths/route_table.h"
#include "zinnia_decisions/forwarding/paths/service_classes.h"
