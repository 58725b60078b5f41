#pragma once

#include <atomic>
#include <boost/asio.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "zinnia_world/fleet/network_address.h"

namespace zinnia {

/** HTTP servers on loopback that send a head as soon as a connection opens, and then its body
    without end. All share one thread. They have an IP number of their own: programs that still look
   for a server that once had one of these ports at 127.0.0.1 do not reach them. */
class PouringServers {
 public:
  static constexpr const char* kIp = "127.0.7.1";

  explicit PouringServers(std::size_t count)
      : m_bytes("HTTP/1.1 200 OK\r\n\r\n" + std::string(std::size_t{64} << 10, 'x')) {
    for (std::size_t i = 0; i < count; ++i) {
      m_acceptors.push_back(
          std::make_unique<Acceptor>(m_context, Endpoint(Ip(), std::uint16_t{0})));
      Accept(*m_acceptors.back());
    }
    m_thread = std::thread([this] { m_context.run(); });
  }

  ~PouringServers() {
    m_context.stop();
    m_thread.join();
  }

  NetworkAddress Address(std::size_t server) const {
    return {kIp, m_acceptors[server]->local_endpoint().port()};
  }

  int Opened() const { return m_opened; }

  /** Of the opened connections, those that the client has closed. */
  int Closed() const { return m_closed; }

 private:
  using Acceptor = boost::asio::ip::tcp::acceptor;
  using Endpoint = boost::asio::ip::tcp::endpoint;
  using Socket = boost::asio::ip::tcp::socket;

  static boost::asio::ip::address Ip() { return boost::asio::ip::make_address(kIp); }

  void Accept(Acceptor& acceptor) {
    acceptor.async_accept([this, &acceptor](const boost::system::error_code& error, Socket socket) {
      if (!error) {
        ++m_opened;
        Pour(std::make_shared<Socket>(std::move(socket)));
        Accept(acceptor);
      }
    });
  }

  void Pour(const std::shared_ptr<Socket>& socket) {
    boost::asio::async_write(*socket, boost::asio::buffer(m_bytes),
                             [this, socket](const boost::system::error_code& error, std::size_t) {
                               if (error) {
                                 ++m_closed;
                               } else {
                                 Pour(socket);
                               }
                             });
  }

  const std::string m_bytes;
  boost::asio::io_context m_context;
  std::vector<std::unique_ptr<Acceptor>> m_acceptors;
  std::atomic<int> m_opened{0};
  std::atomic<int> m_closed{0};
  std::thread m_thread;
};

}  // namespace zinnia
