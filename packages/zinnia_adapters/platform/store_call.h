#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "zinnia_adapters/http/http_messages.h"
#include "zinnia_base/errors/result.h"
#include "zinnia_base/time/clock.h"
#include "zinnia_world/fleet/network_address.h"

namespace zinnia {

class HttpClient;

/** Whether a call of the store changes anything there. */
enum class StoreAccess { kRead, kWrite };

/** One call of the store over HTTP, tried at each address in turn as long as that is harmless.

    A write goes to the next address only if the one before certainly did nothing (refused
    connection, 503). Any other failure of a write ends in kStoreOutcomeUnknown: a second copy could
    undo a change that somebody else made in between, and one notices only by lost updates.
*/
class StoreCall : public std::enable_shared_from_this<StoreCall> {
 public:
  /** Receives an answer with status 200 to 499, or why there is none. */
  using Callback = std::function<void(Result<HttpResponse>)>;

  struct Parts {
    std::weak_ptr<HttpClient> client;
    std::vector<NetworkAddress> addresses;
    std::string path;
    std::string body;
    StoreAccess access = StoreAccess::kRead;
    Duration time_limit{};
    Callback callback;
  };

  explicit StoreCall(Parts parts) : m_parts(std::move(parts)) {}
  void Start();

 private:
  void TryAddress(std::size_t index);
  void OnResult(std::size_t index, HttpResult result);
  Error ErrorOf(const HttpResult& result) const;

  const Parts m_parts;
};

}  // namespace zinnia
