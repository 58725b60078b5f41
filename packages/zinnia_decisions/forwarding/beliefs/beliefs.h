#pragma once

/** The last known state of the store, of the backend servers and of the peers with their loads. */

#include "zinnia_decisions/forwarding/beliefs/forwarding_view.h"
#include "zinnia_decisions/forwarding/beliefs/instance_directory.h"
#include "zinnia_decisions/forwarding/beliefs/instance_registration.h"
#include "zinnia_decisions/forwarding/beliefs/instance_report.h"
#include "zinnia_decisions/forwarding/beliefs/load_tracker.h"
#include "zinnia_decisions/forwarding/beliefs/member_loads.h"
#include "zinnia_decisions/forwarding/beliefs/mirrored_record.h"
#include "zinnia_decisions/forwarding/beliefs/pipe_meter.h"
#include "zinnia_decisions/forwarding/beliefs/probe_round.h"
#include "zinnia_decisions/forwarding/beliefs/reading_backlog.h"
#include "zinnia_decisions/forwarding/beliefs/relay_directory.h"
#include "zinnia_decisions/forwarding/beliefs/report_exchange.h"
#include "zinnia_decisions/forwarding/beliefs/server_directory.h"
#include "zinnia_decisions/forwarding/beliefs/server_health.h"
#include "zinnia_decisions/forwarding/beliefs/server_state_report.h"
#include "zinnia_decisions/forwarding/beliefs/server_use.h"
#include "zinnia_decisions/forwarding/beliefs/silence_detector.h"
#include "zinnia_decisions/forwarding/beliefs/slowdown_report.h"
#include "zinnia_decisions/forwarding/beliefs/store_mirror.h"
