#pragma once

/** Recognises requests that crash the backend servers that run them. */

#include "zinnia_decisions/forwarding/crashes/broken_attempts.h"
#include "zinnia_decisions/forwarding/crashes/crash_onset.h"
#include "zinnia_decisions/forwarding/crashes/crash_report.h"
#include "zinnia_decisions/forwarding/crashes/part_quarantine.h"
#include "zinnia_decisions/forwarding/crashes/probation.h"
#include "zinnia_decisions/forwarding/crashes/recent_requests.h"
#include "zinnia_decisions/forwarding/crashes/request_quarantine.h"
#include "zinnia_decisions/forwarding/crashes/suspect.h"
#include "zinnia_decisions/forwarding/crashes/suspect_kind.h"
