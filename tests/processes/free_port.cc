#include "free_port.h"

#include <unistd.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

namespace zinnia::testing {

namespace asio = boost::asio;

namespace {

constexpr std::uint32_t kFirstPort = 12'000;
constexpr std::uint32_t kPorts = 20'000;
constexpr std::uint32_t kPortsOfAProgram = 211;

template <typename Protocol, typename Socket>
bool CanBind(asio::io_context& context, std::uint16_t port) {
  boost::system::error_code error;
  Socket socket(context, Protocol::v4());
  socket.bind({asio::ip::address_v4::loopback(), port}, error);
  return !error;
}

}  // namespace

std::uint16_t FreePort() {
  // Test programs that run side by side begin at different places.
  static std::atomic<std::uint32_t> next = static_cast<std::uint32_t>(getpid()) * kPortsOfAProgram;
  asio::io_context context;
  while (true) {
    const auto port = static_cast<std::uint16_t>(kFirstPort + next++ % kPorts);
    if (CanBind<asio::ip::tcp, asio::ip::tcp::acceptor>(context, port) &&
        CanBind<asio::ip::udp, asio::ip::udp::socket>(context, port)) {
      return port;
    }
  }
}

}  // namespace zinnia::testing
