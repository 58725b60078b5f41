#include "zinnia_adapters/peers/probe_sender.h"

#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/ip/udp.hpp>

#include "zinnia_decisions/ports/metrics.h"

namespace zinnia {
namespace {

void CloseIfOpen(int descriptor) {
  if (descriptor >= 0) {
    close(descriptor);
  }
}

}  // namespace

ProbeSender::ProbeSender(Metrics& metrics) : m_metrics(metrics) {}

ProbeSender::~ProbeSender() {
  CloseIfOpen(m_socket_v4);
  CloseIfOpen(m_socket_v6);
}

void ProbeSender::Send(const NetworkAddress& to, const std::string& datagram) {
  if (TrySend(to, datagram)) {
    m_metrics.Count("peer_datagrams_sent");
    m_metrics.Count("peer_datagram_bytes_sent", datagram.size());
  } else {
    m_metrics.Count("peer_datagrams_not_sent");
  }
}

bool ProbeSender::TrySend(const NetworkAddress& to, const std::string& datagram) {
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(to.ip, error);
  if (error) {
    return false;
  }
  const boost::asio::ip::udp::endpoint endpoint(ip, to.port);
  const int descriptor = SocketFor(endpoint.protocol().family());
  return sendto(descriptor, datagram.data(), datagram.size(), MSG_DONTWAIT, endpoint.data(),
                static_cast<socklen_t>(endpoint.size())) == static_cast<ssize_t>(datagram.size());
}

int ProbeSender::SocketFor(int family) {
  int& descriptor = family == AF_INET6 ? m_socket_v6 : m_socket_v4;
  if (descriptor < 0) {
    descriptor = socket(family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  }
  return descriptor;
}

}  // namespace zinnia
