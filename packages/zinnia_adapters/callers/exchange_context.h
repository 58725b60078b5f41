#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "zinnia_adapters/callers/problem_document.h"
#include "zinnia_adapters/callers/responder.h"
#include "zinnia_base/time/clock.h"
#include "zinnia_world/contracts/organisation.h"
#include "zinnia_world/requests/request_class.h"

namespace zinnia {

class ExchangeRegistry;
struct CallerServerParts;

/** What every exchange knows of its request. `organisation` is a copy: the configuration may change
    while the exchange runs. */
struct ExchangeContext {
  const CallerServerParts& parts;
  ExchangeRegistry& registry;
  std::shared_ptr<Responder> responder;
  CallerRequest request;
  std::string request_id;
  Organisation organisation;

  /** When the request arrived, of which it may have waited long to be read. */
  TimePoint started_at{};
  std::optional<TimePoint> deadline;
  std::uint64_t random = 0;
};

/** Writes the log line and the counters of a finished request, and its duration if it was answered.
    `detail` says what it was about (a model, a service); never prompts or keys. */
void RecordFinished(const ExchangeContext& context,
                    RequestClass request_class,
                    const std::string& detail,
                    const std::string& outcome);

/** Sends the error as a whole answer under the request's id. */
void SendProblem(const ExchangeContext& context, const Error& error);

}  // namespace zinnia
