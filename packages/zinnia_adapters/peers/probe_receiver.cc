#include "zinnia_adapters/peers/probe_receiver.h"

#include <sys/socket.h>

#include <cerrno>
#include <exception>
#include <utility>

#include "zinnia_adapters/peers/peer_authenticator.h"
#include "zinnia_adapters/peers/peer_codec.h"
#include "zinnia_decisions/ports/metrics.h"
#include "zinnia_decisions/ports/peer_transport.h"

namespace zinnia {
namespace {

/** Datagrams taken before timers and calls get their turn. */
constexpr int kLongestBatch = 64;

bool MeansEmpty(int error) {
  return error == EAGAIN || error == EWOULDBLOCK;
}

}  // namespace

ProbeReceiver::ProbeReceiver(kj::AsyncIoContext& io,
                             kj::AutoCloseFd socket,
                             std::shared_ptr<const PeerAuthenticator> authenticator,
                             PeerListener& listener,
                             Metrics& metrics)
    : m_io(io),
      m_socket(kj::mv(socket)),
      m_authenticator(std::move(authenticator)),
      m_listener(listener),
      m_metrics(metrics),
      m_buffer(kLargestDatagramBytes + 1),
      m_observer(io.unixEventPort, m_socket.get(), kj::UnixEventPort::FdObserver::OBSERVE_READ),
      m_receiving(Receive().eagerlyEvaluate(nullptr)) {}

kj::Promise<void> ProbeReceiver::Receive() {
  if (ReadBatch()) {
    return m_observer.whenBecomesReadable().then([this] { return Receive(); });
  }
  return kj::evalLast([this] { m_io.unixEventPort.poll(); }).then([this] { return Receive(); });
}

/** Returns whether the socket is empty. The observer only tells of new arrivals, so leaving some
    behind without coming back for them would lose them until the next one arrives. */
bool ProbeReceiver::ReadBatch() {
  for (int count = 0; count < kLongestBatch; ++count) {
    const ssize_t size =
        recv(m_socket.get(), m_buffer.data(), m_buffer.size(), MSG_DONTWAIT | MSG_TRUNC);
    if (size < 0 && MeansEmpty(errno)) {
      return true;
    }
    if (size >= 0) {
      Take({m_buffer.data(), std::min(static_cast<std::size_t>(size), m_buffer.size())});
    }
  }
  return false;
}

void ProbeReceiver::Take(std::string_view datagram) {
  const auto payload = m_authenticator->OpenDatagram(datagram);
  if (!payload) {
    m_metrics.Count("peer_datagrams_unauthenticated");
    return;
  }
  const auto message = DecodeProbe(*payload);
  if (message.has_error()) {
    m_metrics.Count("peer_datagrams_unreadable");
    return;
  }
  try {
    m_listener.OnProbe(*message);
  } catch (const std::exception&) {
    // Thrown on, it would end the reading of the socket, and the instance would look dead to all
    // its peers while it still takes requests.
    m_metrics.Count("peer_listener_failures");
  }
}

}  // namespace zinnia
