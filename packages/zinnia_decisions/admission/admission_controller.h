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

/** Work that asks to be admitted. `cost` is in tokens for chats and in calls for services;
    `expected_service_time` is how long it will take once admitted. */
struct AdmissionRequest {
  OrganisationName organisation;
  RequestClass request_class = RequestClass::kChat;
  std::string pool;
  double cost = 1.0;
  Duration expected_service_time{};
  std::optional<TimePoint> deadline;
};

/** The right to run. Destroying it gives the place back; keep it until the answer is out. */
class AdmissionGrant {
 public:
  virtual ~AdmissionGrant() = default;
};

/** Decides who runs now, who waits and who is refused.

    Weighted fair shares between organisations, priorities, limits of the contracts, deadlines. The
    callback runs once, either from inside Request (decided at once) or later; a refusal is final
    and carries Retry-After, spread so that the refused do not return together. Nobody is kept
    waiting who could have been refused at once.

    Lives on one traffic thread.
*/
class AdmissionController {
 public:
  using Callback = std::function<void(Result<std::unique_ptr<AdmissionGrant>>)>;

  virtual ~AdmissionController() = default;
  virtual void Request(AdmissionRequest request, Callback callback) = 0;

  /** How much cost may run at once in a pool; told again whenever the snapshot changes. */
  virtual void SetPoolCapacity(const std::string& pool, double concurrent_cost) = 0;

  virtual void SetContract(const Organisation& organisation) = 0;
};

}  // namespace zinnia
