#pragma once

/** The last known state of the store, of the backend servers and of the peers with their loads. */

#include "zinnia_decisions/forwarding/observed_state/forwarding_view.h"
#include "zinnia_decisions/forwarding/observed_state/instance_directory.h"
#include "zinnia_decisions/forwarding/observed_state/instance_registration.h"
#include "zinnia_decisions/forwarding/observed_state/instance_report.h"
#include "zinnia_decisions/forwarding/observed_state/inter_domain_link_meter.h"
#include "zinnia_decisions/forwarding/observed_state/load_tracker.h"
#include "zinnia_decisions/forwarding/observed_state/member_loads.h"
#include "zinnia_decisions/forwarding/observed_state/mirrored_record.h"
#include "zinnia_decisions/forwarding/observed_state/prefill_backlog.h"
#include "zinnia_decisions/forwarding/observed_state/probe_round.h"
#include "zinnia_decisions/forwarding/observed_state/relay_directory.h"
#include "zinnia_decisions/forwarding/observed_state/report_exchange.h"
#include "zinnia_decisions/forwarding/observed_state/server_directory.h"
#include "zinnia_decisions/forwarding/observed_state/server_health.h"
#include "zinnia_decisions/forwarding/observed_state/server_state_report.h"
#include "zinnia_decisions/forwarding/observed_state/server_use.h"
#include "zinnia_decisions/forwarding/observed_state/silence_detector.h"
#include "zinnia_decisions/forwarding/observed_state/slowdown_report.h"
#include "zinnia_decisions/forwarding/observed_state/store_era_tracker.h"
#include "zinnia_decisions/forwarding/observed_state/store_mirror.h"
