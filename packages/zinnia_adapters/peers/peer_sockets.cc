#include "zinnia_adapters/peers/peer_sockets.h"

#include <sys/socket.h>

#include <boost/asio/ip/udp.hpp>

#include <cerrno>
#include <optional>
#include <system_error>
#include <utility>

namespace zinnia {
namespace {

using Endpoint = boost::asio::ip::udp::endpoint;

constexpr int kListenBacklog = 128;
constexpr int kPortAttempts = 16;

Error CannotBind(const NetworkAddress& address, const std::string& why) {
  return MakeError(ErrorKind::kInvalidSettings,
                   "cannot listen at peer address " + address.ToString() + ": " + why);
}

std::string LastSystemError() {
  return std::system_category().message(errno);
}

/** A bound socket, or nothing with errno telling why. */
std::optional<kj::AutoCloseFd> BoundSocket(const Endpoint& endpoint, int type) {
  const int descriptor =
      socket(endpoint.protocol().family(), type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return std::nullopt;
  }
  kj::AutoCloseFd owner(descriptor);
  const int on = 1;
  if (type == SOCK_STREAM) {
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  }
  if (bind(descriptor, endpoint.data(), static_cast<socklen_t>(endpoint.size())) != 0 ||
      (type == SOCK_STREAM && listen(descriptor, kListenBacklog) != 0)) {
    return std::nullopt;
  }
  return owner;
}

std::uint16_t PortOf(int descriptor, const Endpoint& bound) {
  Endpoint endpoint = bound;
  auto size = static_cast<socklen_t>(endpoint.capacity());
  getsockname(descriptor, endpoint.data(), &size);
  return endpoint.port();
}

}  // namespace

Result<PeerSockets> PeerSockets::Bind(const NetworkAddress& address) {
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(address.ip, error);
  if (error) {
    return CannotBind(address, error.message());
  }
  std::string why;
  for (int attempt = 0; attempt < kPortAttempts; ++attempt) {
    auto listener = BoundSocket({ip, address.port}, SOCK_STREAM);
    if (listener) {
      const std::uint16_t port = PortOf(listener->get(), {ip, address.port});
      if (auto datagrams = BoundSocket({ip, port}, SOCK_DGRAM)) {
        return PeerSockets{kj::mv(*listener), kj::mv(*datagrams), {address.ip, port}};
      }
    }
    why = LastSystemError();
    if (address.port != 0) {
      break;
    }
  }
  return CannotBind(address, why);
}

}  // namespace zinnia
