#include "zinnia_adapters/callers/caller_socket.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>

namespace zinnia {
namespace {

using boost::asio::ip::tcp;

/** Returns what recv returns for one byte, which stays unread. */
ssize_t PeekByte(int socket) {
  char byte = 0;
  return recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

}  // namespace

bool HasPeerLeft(tcp::socket& socket) {
  pollfd state{socket.native_handle(), POLLIN | POLLRDHUP, 0};
  if (poll(&state, 1, 0) <= 0) {
    return false;
  }
  if ((state.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0) {
    return true;
  }
  const ssize_t got = PeekByte(socket.native_handle());
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool HasUnreadBytes(tcp::socket& socket) {
  return PeekByte(socket.native_handle()) > 0;
}

Duration TimeSinceLastBytes(tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return Duration::zero();
  }
  return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

}  // namespace zinnia
