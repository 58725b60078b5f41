#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "zinnia_base/time/clock.h"
#include "zinnia_world/fleet/network_address.h"

namespace zinnia {

class ServerAnswerListener;

/** One HTTP/1.1 connection to a backend server that hands answers on as they arrive, one request at
    a time.

    Connects at the first request. After a failure, after bytes that belong to no answer, or when
    the server says so, it is closed for good; IsReusable then is false. A listener may close it
    from inside its calls.
*/
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  static std::shared_ptr<ServerConnection> Create(boost::asio::io_context& loop,
                                                  const Clock& clock,
                                                  NetworkAddress address);

  /** Sends the request. `listener` hears the answer until it ends or Close is called. */
  void Send(Request request, std::weak_ptr<ServerAnswerListener> listener, Duration connect_limit);

  /** Between two requests: open, not told to close, and nothing arrived meanwhile. */
  bool IsReusable();

  /** Ends it, also in the middle of an answer: the server drops the request. The listener hears
      nothing more. */
  void Close();

  /** Watches an idle connection, so that bytes or an end that arrive between requests close it and
      are not taken for the next answer. */
  void WatchIdle();

  const NetworkAddress& address() const { return m_address; }
  TimePoint IdleSince() const { return m_idle_since; }

  /** Whether it carried a request before. */
  bool HasServed() const { return m_has_served; }

  /** How long the server says that it keeps an idle connection; zero if it does not say. */
  Duration ServerIdleLimit() const { return m_server_idle_limit; }

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  ServerConnection(boost::asio::io_context& loop, const Clock& clock, NetworkAddress address);
  void Connect(Duration limit);
  void OnConnected(const boost::system::error_code& error);
  void Write();
  void Read();
  void OnRead(boost::system::error_code error, std::size_t bytes);
  boost::system::error_code Parse();
  bool DeliverHead();
  void DeliverBody();
  void FinishAnswer();
  void Fail(bool sent, const std::string& reason);

  const Clock& m_clock;
  const NetworkAddress m_address;
  boost::asio::ip::tcp::socket m_socket;
  boost::asio::steady_timer m_connect_timer;
  boost::beast::flat_buffer m_buffer;
  Request m_request;
  std::optional<Parser> m_parser;
  std::weak_ptr<ServerAnswerListener> m_listener;
  TimePoint m_idle_since{};
  Duration m_server_idle_limit{};
  std::uint64_t m_exchange = 0;
  bool m_connected = false;
  bool m_busy = false;
  bool m_writing = false;
  bool m_head_delivered = false;
  bool m_has_served = false;
  bool m_closed = false;
};

}  // namespace zinnia
