#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "zinnia_base/time/scheduler.h"

namespace zinnia {

class Metrics;

/** Accepts callers' connections on one address and hands them on. Lives on one traffic thread.

    While the process is out of descriptors it pauses between two tries: accepting again at once
    would spin on the same error and take the processor from the connections that are there.
*/
class CallerAcceptor {
 public:
  using OnConnection = std::function<void(boost::asio::ip::tcp::socket)>;

  /** All references must outlive it. */
  CallerAcceptor(boost::asio::ip::tcp::acceptor acceptor,
                 Scheduler& scheduler,
                 Metrics& metrics,
                 OnConnection on_connection);

  void Start() { Accept(); }

  /** No connection is handed on afterwards. */
  void Close();

  std::uint16_t Port() const;

 private:
  void Accept();
  void OnAccepted(const boost::system::error_code& error, boost::asio::ip::tcp::socket socket);

  boost::asio::ip::tcp::acceptor m_acceptor;
  Scheduler& m_scheduler;
  Metrics& m_metrics;
  const OnConnection m_on_connection;
  std::unique_ptr<ScheduledCall> m_again;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace zinnia
