#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "zinnia_adapters/forwarding/server_connection_parts.h"
#include "zinnia_adapters/http/answer_reader.h"
#include "zinnia_adapters/http/request_message.h"
#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/answer_memory.h"
#include "zinnia_world/fleet/network_address.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

class ServerAnswerListener;
enum class AnswerFailure;
struct HeldAnswerBytes;

/** HTTP/1.1 connection to a backend server that streams answers to a listener, one request at a
    time.

    An answer beyond its limits, or the largest when all answers together hold too much, is broken
    off: the connection is closed, and the listener is told so with kBroken. Connects on the first
   request. It is closed permanently after a failure, after unexpected bytes, or when the server
   requests it. A listener may call Close from its callbacks.
*/
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  using Request = RequestMessage;

  static std::shared_ptr<ServerConnection> Create(boost::asio::io_context& loop,
                                                  ServerConnectionParts parts,
                                                  BackendServerName server,
                                                  NetworkAddress address);

  /** Sends the request. `listener` receives the answer until it ends or Close is called. */
  void Send(Request request, std::weak_ptr<ServerAnswerListener> listener, Duration connect_limit);

  /** The rest of the answer goes to this listener. */
  void SetListener(std::weak_ptr<ServerAnswerListener> listener);

  /** Returns true if the connection is idle, open and has received no unexpected bytes. */
  bool IsReusable();

  /** Closes the connection, which cancels a request in progress. The listener gets no more calls.
   */
  void Close();

  /** Closes the idle connection when bytes or an end of stream arrive between requests, so that
     they are not taken for the next answer. */
  void WatchIdle();

  const NetworkAddress& address() const { return m_address; }
  TimePoint IdleSince() const { return m_idle_since; }

  /** Returns true if the connection has carried a request before. */
  bool HasServed() const { return m_has_served; }

  /** Returns the server's keep-alive timeout, or zero if not given. */
  Duration ServerIdleLimit() const { return m_server_idle_limit; }

 private:
  ServerConnection(boost::asio::io_context& loop,
                   ServerConnectionParts parts,
                   BackendServerName server,
                   NetworkAddress address);
  /** Runs a step of this connection. If it throws, this connection and its request end. */
  template <typename Step>
  void Guard(Step step);
  void Connect(Duration limit);
  void OnConnected(const boost::system::error_code& error);
  void Write();
  void Read();
  void OnRead(const boost::system::error_code& error, std::size_t bytes);
  std::optional<AnswerFault> ReadAnswer(const boost::system::error_code& error);
  bool DeliverHead();
  void DeliverBody();
  void CountHeld(HeldAnswerBytes held);
  void OnLetGo(std::size_t bytes);

  /** `bound`: the setting that the answer exceeds is this, after "answer". */
  void BreakOff(std::string_view bound, const std::string& detail);
  void FinishAnswer();
  void Fail(AnswerFailure failure, const std::string& reason);

  const ServerConnectionParts m_parts;
  const BackendServerName m_server;
  const NetworkAddress m_address;
  boost::asio::ip::tcp::socket m_socket;
  boost::asio::steady_timer m_connect_timer;
  boost::beast::flat_buffer m_buffer;
  Request m_request;

  /** Its head, if it has long fields. */
  std::string m_head_text;
  std::optional<AnswerReader> m_reader;
  std::weak_ptr<ServerAnswerListener> m_listener;
  AnswerMemory::Share m_share;

  /** Received of the answer in progress, with its head and framing. */
  std::size_t m_answer_bytes = 0;
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
