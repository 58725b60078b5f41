#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace zinnia::testing {

/** What came back for one call. */
struct HttpAnswer {
  unsigned status = 0;  // 0: the connection ended, or the time ran out, before the header was there
  bool whole = false;   // the body came to its end
  std::string body;
  boost::beast::http::fields headers;

  /** The body as JSON; throws if it is none. */
  boost::json::value Json() const { return boost::json::parse(body); }
};

/** A blocking HTTP/1.1 client for tests with a bound on every call. Keeps its connection while
    answers come whole, and makes a new one after that. One call at a time. */
class HttpClient {
 public:
  /** `address` is HOST:PORT with an IP number. */
  explicit HttpClient(std::string address);

  /** How long each call may take. */
  void SetTimeout(std::chrono::milliseconds timeout) { m_timeout = timeout; }

  /** A header for all further calls. */
  void SetHeader(std::string_view name, std::string_view value) { m_headers.set(name, value); }

  HttpAnswer Get(std::string_view target);
  HttpAnswer Post(std::string_view target, std::string body);

  /** Like Post. `on_body` sees the body so far whenever more of it came, for streams; it ends the
      call by returning false. */
  HttpAnswer PostStream(std::string_view target,
                        std::string body,
                        std::function<bool(const std::string& body)> on_body);

 private:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  HttpAnswer Call(Request request, std::function<bool(const std::string& body)> on_body);
  boost::asio::awaitable<void> Exchange(Request& request,
                                        HttpAnswer& answer,
                                        std::function<bool(const std::string& body)>& on_body);

  std::string m_address;
  std::chrono::milliseconds m_timeout{5'000};
  boost::beast::http::fields m_headers;
  boost::asio::io_context m_context;
  std::optional<boost::asio::ip::tcp::socket> m_socket;
};

}  // namespace zinnia::testing
