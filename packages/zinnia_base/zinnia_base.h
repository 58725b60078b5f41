#pragma once

/** Foundation of all other packages: errors and results, time, random numbers, hashing, logging and
    decision records. Depends on no other package of the project. */

#include "zinnia_base/decisions/decision_record.h"
#include "zinnia_base/errors/error.h"
#include "zinnia_base/errors/error_exception.h"
#include "zinnia_base/errors/result.h"
#include "zinnia_base/hashing/fingerprint.h"
#include "zinnia_base/logging/logger.h"
#include "zinnia_base/logging/standard_error_logger.h"
#include "zinnia_base/random/random_source.h"
#include "zinnia_base/time/clock.h"
#include "zinnia_base/time/scheduler.h"
#include "zinnia_base/time/system_clock.h"
#include "zinnia_base/time/virtual_time.h"
