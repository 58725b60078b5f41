#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/basic_stream.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "zinnia_adapters/callers/caller_limits.h"
#include "zinnia_adapters/callers/responder.h"
#include "zinnia_adapters/http/request_parser.h"
#include "zinnia_base/time/clock.h"

namespace zinnia {

class CallerConnection;
class CallerExchange;

/** What a connection needs of the server it belongs to. */
class ConnectionOwner {
 public:
  virtual ~ConnectionOwner() = default;

  /** `age`: time since the request arrived, of which it may have waited long to be read. */
  virtual std::shared_ptr<CallerExchange> CreateExchange(CallerRequest request,
                                                         Duration age,
                                                         std::shared_ptr<Responder> responder) = 0;
  virtual void OnConnectionClosed(CallerConnection& connection) = 0;
  virtual bool IsDraining() const = 0;
  virtual void CountConnectionEvent(std::string_view event) = 0;

  /** A step of a connection has thrown an exception. `request` describes what it worked on. */
  virtual void OnStepFailed(const std::string& request, std::string_view reason) = 0;
};

/** One HTTP/1.1 connection of a caller: reads a request, lets an exchange answer it, reads the
   next.

    While the exchange works, the socket is watched for the caller's leaving. Times and sizes are
    bounded by CallerLimits: a slow sender, a huge body or a slow reader costs a bounded amount and
    hurts nobody else. An exception ends its connection only. After Close, no handler touches the
    owner any more.
*/
class CallerConnection final : public Responder,
                               public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(boost::asio::ip::tcp::socket socket,
                   const CallerLimits& limits,
                   ConnectionOwner& owner);
  ~CallerConnection() override;

  void Start();

  /** Cuts the connection at once; its exchange hears that the caller is gone. */
  void Close();

  /** Closes it if it is idle between two requests and none has arrived. */
  void CloseIfIdle();

  /** A request has begun to arrive and is not read whole yet. */
  bool IsReadingRequest() const { return m_is_reading && !m_closed; }

  /** The exchange has said all, but not all is written. */
  bool HasUnsentAnswer() const { return m_exchange && m_answer_ended; }

  bool IsCallerThere() override;
  void SendWhole(CallerResponse response) override;
  void StartEvents(const std::string& request_id) override;
  void StartStream(StreamHead head) override;
  void SendEvents(std::string_view events) override;
  void EndEvents() override;
  void CutOff() override;

 private:
  using Stream = boost::beast::basic_stream<boost::asio::ip::tcp, boost::asio::any_io_executor>;

  /** Runs a step of this connection. If it throws, this connection ends, and no other. */
  template <typename Step>
  void Guard(Step step);
  void OnStepFailed(std::string_view reason);
  void WaitForRequest();
  void OnRequestArrives(const boost::system::error_code& error);
  void WatchIdleTime();
  void OnIdleTimeOver();
  void ReadHeader();
  void OnHeader(const boost::system::error_code& error);
  void ReadBody();
  void OnBody(const boost::system::error_code& error);
  void RefuseUnreadable(const boost::system::error_code& error);
  void RunExchange();
  void WatchCaller();
  void WatchCallerWithUnreadBytes();
  void OnReadable(std::uint64_t request_number);
  bool IsRunning(std::uint64_t request_number) const;
  void WriteEvents();
  void WriteEndOfEvents();
  void OnWritten(const boost::system::error_code& error);
  void FinishRequest();
  void LingerThenClose();

  Stream m_stream;
  const CallerLimits& m_limits;
  ConnectionOwner& m_owner;

  /** For the idle time between requests, and for callers who cannot be watched otherwise. */
  boost::asio::steady_timer m_timer;
  std::chrono::steady_clock::time_point m_idle_since;
  std::chrono::steady_clock::time_point m_arrived_at;

  /** Bounded by the parser, whose limits may change from request to request. */
  boost::beast::flat_buffer m_buffer;
  std::optional<RequestParser> m_parser;
  std::shared_ptr<CallerExchange> m_exchange;
  CallerResponse m_response;
  StreamHead m_events_head;
  std::optional<boost::beast::http::response_serializer<boost::beast::http::empty_body>>
      m_head_serializer;
  std::string m_waiting_events;
  std::string m_events_being_written;
  std::uint64_t m_request_number = 0;
  bool m_is_idle = false;
  bool m_is_reading = false;
  bool m_writing = false;
  bool m_answer_ended = false;
  bool m_keep_alive = false;
  bool m_is_head = false;
  bool m_closed = false;
};

}  // namespace zinnia
