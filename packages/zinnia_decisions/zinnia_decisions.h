#pragma once

/** The decision core: sessions, routing, admission, at-most-once, membership, configuration, orders
    and quarantine. Plain objects over the interfaces in ports/; no sockets, threads, wall clocks or
    unseeded randomness, so that every schedule of failures can be replayed in virtual time.
    Depends on zinnia_world. */

#include "zinnia_decisions/ports/engine_orders.h"
#include "zinnia_decisions/ports/instance_list.h"
#include "zinnia_decisions/ports/peer_messages.h"
#include "zinnia_decisions/ports/peer_transport.h"
#include "zinnia_decisions/ports/platform_store.h"
#include "zinnia_decisions/ports/stage_links.h"
#include "zinnia_decisions/ports/step.h"
#include "zinnia_decisions/ports/store_revision.h"
#include "zinnia_decisions/routing/pipeline_chooser.h"
#include "zinnia_decisions/sessions/answer_listener.h"
