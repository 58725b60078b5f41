#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "zinnia_base/errors/result.h"
#include "zinnia_base/time/clock.h"
#include "zinnia_world/contracts/organisation.h"
#include "zinnia_world/names/names.h"
#include "zinnia_world/requests/request_class.h"

namespace zinnia {

/** A request for admission. `cost` is in tokens for chats and in calls for services;
    `expected_service_time` is the expected duration after admission. */
struct AdmissionRequest {
  OrganisationName organisation;
  RequestClass request_class = RequestClass::kChat;
  std::string pool;
  double cost = 1.0;
  Duration expected_service_time{};
  std::optional<TimePoint> deadline;
};

/** Permission to run. Keep it until the answer is complete; destroying it releases the capacity. */
class AdmissionGrant {
 public:
  virtual ~AdmissionGrant() = default;
};

/** Admits, queues or refuses requests.

    Decisions follow weighted fair shares between organisations, priorities, contract limits and
    deadlines. The callback runs exactly once, either inside Request or later. A refusal is final
    and carries a Retry-After value, which is spread so that clients do not retry simultaneously.

    Not thread-safe: use it on one traffic thread only.
*/
class AdmissionController {
 public:
  using Callback = std::function<void(Result<std::unique_ptr<AdmissionGrant>>)>;

  virtual ~AdmissionController() = default;
  virtual void Request(AdmissionRequest request, Callback callback) = 0;

  /** Sets the total cost that may run concurrently in a pool. Called on every snapshot change. */
  virtual void SetPoolCapacity(const std::string& pool, double concurrent_cost) = 0;

  virtual void SetContract(const Organisation& organisation) = 0;
};

}  // namespace zinnia
