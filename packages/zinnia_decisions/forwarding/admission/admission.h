#pragma once

/** Admission of requests that wait for capacity. */

#include "zinnia_decisions/forwarding/admission/admission_queue.h"
#include "zinnia_decisions/forwarding/admission/capacity_queue.h"
#include "zinnia_decisions/forwarding/admission/class_demand.h"
#include "zinnia_decisions/forwarding/admission/class_headroom.h"
#include "zinnia_decisions/forwarding/admission/class_request.h"
#include "zinnia_decisions/forwarding/admission/pool_utilization.h"
#include "zinnia_decisions/forwarding/admission/refused_requests.h"
#include "zinnia_decisions/forwarding/admission/retry_schedule.h"
#include "zinnia_decisions/forwarding/admission/service_admission.h"
#include "zinnia_decisions/forwarding/admission/service_admissions.h"
#include "zinnia_decisions/forwarding/admission/start_rate.h"
