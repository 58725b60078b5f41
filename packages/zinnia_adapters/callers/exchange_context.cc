#include "zinnia_adapters/callers/exchange_context.h"

#include <utility>

#include "zinnia_adapters/callers/caller_server_parts.h"
#include "zinnia_base/logging/logger.h"
#include "zinnia_decisions/ports/metrics.h"

namespace zinnia {

void RecordFinished(const ExchangeContext& context,
                    RequestClass request_class,
                    const std::string& detail,
                    const std::string& outcome) {
  const Duration took = context.parts.clock.Now() - context.started_at;
  if (outcome == "answered") {
    context.parts.metrics.Observe(context.organisation.name, request_class, Measure::kWholeAnswer,
                                  took);
  }
  context.parts.metrics.Count("caller_requests_" + outcome);
  context.parts.logger.Log(
      LogLevel::kInfo, "request_finished",
      {{"request_id", context.request_id},
       {"organisation", context.organisation.name},
       {"class", std::string(NameOf(request_class))},
       {"target", detail},
       {"outcome", outcome},
       {"took_ms",
        std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(took).count())}});
}

void SendProblem(const ExchangeContext& context, const Error& error) {
  CallerResponse response = MakeProblemResponse(error);
  response.set("X-Request-Id", context.request_id);
  context.responder->SendWhole(std::move(response));
}

}  // namespace zinnia
