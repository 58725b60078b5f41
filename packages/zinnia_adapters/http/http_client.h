#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "zinnia_adapters/http/answer_limits.h"
#include "zinnia_adapters/http/http_messages.h"
#include "zinnia_base/time/clock.h"
#include "zinnia_world/fleet/network_address.h"

namespace boost::asio {
class io_context;
}

namespace zinnia {

/** Bounds of HttpClient. Over `calls_in_flight_per_address`, calls fail at once as kNotSent. */
struct HttpClientOptions {
  AnswerLimits answer{.body_bytes = std::size_t{8} << 20};

  /** Of the answers of all calls while they arrive, the copy that a growing body needs included.
      Beyond it the call that holds most ends with kBadAnswer. */
  std::size_t answers_in_hand_bytes = std::size_t{24} << 20;
  std::size_t calls_in_flight_per_address = 256;
  std::size_t idle_connections_per_address = 8;
  Duration idle_limit = std::chrono::seconds(30);
};

/** Sends HTTP/1.1 requests to IP numbers, over kept connections, from one I/O thread of its own.

    Each call has a connection to itself while it runs, so a long poll never delays other calls. The
    callback is handed to the `post` function given at construction and runs wherever that runs it,
    exactly once, never from inside Send. Calls in flight when the client is destroyed are dropped
    without a callback.

    Safe to use from any thread. Destroy it from a thread that is not its own.
*/
class HttpClient {
 public:
  using Post = std::function<void(std::function<void()>)>;
  using Callback = std::function<void(HttpResult)>;

  HttpClient(const Clock& clock, Post post, HttpClientOptions options);

  /** Does its I/O on a loop that another thread runs, which must outlive it and must not run while
      it is destroyed. Saves a thread, and the switches to it, where the loop is busy anyway. */
  HttpClient(const Clock& clock,
             Post post,
             HttpClientOptions options,
             boost::asio::io_context& loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /** `time_limit` covers the whole exchange, connecting included. */
  void Send(const NetworkAddress& address,
            HttpRequest request,
            Duration time_limit,
            Callback callback);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace zinnia
