#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "zinnia_world/names/names.h"

namespace zinnia {

/** A plain service under a path prefix.

    Calls with a method in `non_idempotent_methods` are dispatched at most once; others may be
    retried. If `requires_idempotency_key` is set, non-idempotent calls without an Idempotency-Key
    header are rejected.
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
