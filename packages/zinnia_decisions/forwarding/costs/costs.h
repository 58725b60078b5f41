#pragma once

/** What requests cost servers: learned lengths of answers, and the work that servers still have to
 * do. */

#include "zinnia_decisions/forwarding/costs/answer_length_estimator.h"
#include "zinnia_decisions/forwarding/costs/answer_length_model.h"
#include "zinnia_decisions/forwarding/costs/prediction_error.h"
#include "zinnia_decisions/forwarding/costs/running_request.h"
#include "zinnia_decisions/forwarding/costs/server_memory.h"
#include "zinnia_decisions/forwarding/costs/server_work.h"
#include "zinnia_decisions/forwarding/costs/tracked_answer.h"
