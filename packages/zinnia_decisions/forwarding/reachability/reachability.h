#pragma once

/** Whether an instance reaches the backend servers, and who forwards its requests if not. */

#include "zinnia_decisions/forwarding/reachability/peer_chooser.h"
#include "zinnia_decisions/forwarding/reachability/server_reachability.h"
