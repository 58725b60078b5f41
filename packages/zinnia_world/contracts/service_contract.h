#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "zinnia_world/names/names.h"

namespace zinnia {

/** A plain service under a path prefix, and which of its calls may not be repeated.

    Methods in `non_idempotent_methods` are dispatched at most once; the others may be retried.
    With `requires_idempotency_key`, a non-idempotent call without the header is refused, not run.
*/
struct ServiceContract {
  ServiceName name;
  std::string path_prefix;
  std::vector<BackendServerName> servers;
  std::vector<std::string> non_idempotent_methods = {"POST", "PATCH"};
  bool requires_idempotency_key = false;
  std::chrono::milliseconds timeout{10'000};
  double credit_weight = 1.0;

  bool operator==(const ServiceContract&) const = default;
};

}  // namespace zinnia
