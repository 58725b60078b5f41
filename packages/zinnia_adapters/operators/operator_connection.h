#pragma once

#include <array>
#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>

#include "zinnia_adapters/operators/operator_api.h"

namespace zinnia {

/** What all connections of an OperatorServer share. */
struct OperatorServerState {
  OperatorServerOptions options;
  OperatorApi api;
  std::atomic<std::size_t> connections{0};
};

/** One connection of an operator: reads a request, answers it, reads the next. Keeps itself alive
    through its pending handlers. All handlers run on the socket's strand. */
class OperatorConnection : public std::enable_shared_from_this<OperatorConnection> {
 public:
  OperatorConnection(boost::asio::ip::tcp::socket socket,
                     std::shared_ptr<OperatorServerState> state);
  ~OperatorConnection();

  /** Serves requests until the peer closes or a bound is broken. */
  void Serve();

  /** Answers without reading and closes: the connection is one too many. */
  void Refuse();

 private:
  using StringBody = boost::beast::http::string_body;

  void Read();
  void OnRead(const boost::system::error_code& error);
  void OnReadError(const boost::system::error_code& error);
  void Dispatch();
  void StartCommandTimer(std::uint64_t request);
  void Answer(std::uint64_t request, const OperatorResponse& response);
  void Write(const OperatorResponse& response, bool keep_alive);
  void OnWritten(bool keep_alive, const boost::system::error_code& error);
  void Close();
  void Discard();

  const std::shared_ptr<OperatorServerState> m_state;
  boost::beast::tcp_stream m_stream;
  boost::asio::steady_timer m_command_timer;
  boost::beast::flat_buffer m_buffer;
  std::optional<boost::beast::http::request_parser<StringBody>> m_parser;
  boost::beast::http::response<StringBody> m_response;
  std::array<char, 4096> m_discarded{};
  std::uint64_t m_waiting_for = 0;
  std::uint64_t m_requests = 0;
};

}  // namespace zinnia
