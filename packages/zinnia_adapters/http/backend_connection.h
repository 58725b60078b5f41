#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/basic_stream.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "zinnia_adapters/http/answer_reader.h"
#include "zinnia_base/time/clock.h"
#include "zinnia_world/fleet/network_address.h"

namespace zinnia {

/** Why an exchange ended without a response. kRefused and kUnreachable promise that no byte was
    sent; after kLost and kTimedOut the request may have been run. */
enum class ExchangeFailure { kNone, kRefused, kUnreachable, kLost, kTimedOut };

using BackendRequest = boost::beast::http::request<boost::beast::http::string_body>;
using BackendResponse = boost::beast::http::response<boost::beast::http::string_body>;

struct ExchangeOutcome {
  ExchangeFailure failure = ExchangeFailure::kNone;
  BackendResponse response;
};

/** One HTTP/1.1 connection from a traffic thread to a backend server, with one exchange at a time.

    Connects at the first exchange. After a failure it is closed for good: drop it and create
    another. It keeps itself alive while an exchange runs.
*/
class BackendConnection : public std::enable_shared_from_this<BackendConnection> {
 public:
  using Callback = std::function<void(ExchangeOutcome)>;

  static std::shared_ptr<BackendConnection> Create(boost::asio::io_context& loop,
                                                   NetworkAddress address);

  /** Sends the request and reads the response. The callback runs once, never from inside the call.
   */
  void Exchange(BackendRequest request, Duration timeout, Callback callback);

  /** Asked right before the first byte of each request goes out; false ends the exchange with
      kUnreachable. A connection that takes long to come up would otherwise send a request after
      the right to send it has expired. */
  void SetSendCheck(std::function<bool()> may_send) { m_may_send = std::move(may_send); }

  /** Whether the connection is idle and the peer has not closed it. A request sent on a connection
      that the peer closed while it lay idle would look like a request lost in a crash. */
  bool IsReusable();

  bool IsConnected() const { return m_connected; }
  const NetworkAddress& Address() const { return m_address; }

  /** Ends a running exchange with kLost. */
  void Close();

 private:
  using Stream =
      boost::beast::basic_stream<boost::asio::ip::tcp, boost::asio::io_context::executor_type>;

  BackendConnection(boost::asio::io_context& loop, NetworkAddress address);
  // The callback travels in the handlers and is no member: owned by the connection, it would keep
  // the connection alive through whatever it captures when the loop ends before the exchange does.
  void Connect(Callback callback);
  void Write(Callback callback);
  void Read(Callback callback);
  void OnRead(const boost::system::error_code& error, std::size_t bytes, Callback callback);
  BackendResponse TakeResponse();
  void FinishLater(ExchangeFailure failure, Callback callback);
  void Finish(ExchangeFailure failure, const Callback& callback);
  void Fail(const boost::system::error_code& error, const Callback& callback);

  Stream m_stream;
  NetworkAddress m_address;
  boost::beast::flat_buffer m_buffer;
  BackendRequest m_request;
  std::optional<AnswerReader> m_reader;
  std::string m_body;
  std::function<bool()> m_may_send;
  bool m_connected = false;
  bool m_busy = false;
  bool m_closed = false;
};

}  // namespace zinnia
