#pragma once

#include <kj/async-io.h>
#include <kj/async-unix.h>
#include <kj/io.h>

#include <memory>
#include <string_view>
#include <vector>

namespace zinnia {

class Metrics;
class PeerAuthenticator;
class PeerListener;

/** Reads datagrams from a bound socket and hands those of the cluster to a listener. All others are
    dropped and counted: `peer_datagrams_unauthenticated`, `peer_datagrams_unreadable`. */
class ProbeReceiver {
 public:
  ProbeReceiver(kj::AsyncIoContext& io,
                kj::AutoCloseFd socket,
                std::shared_ptr<const PeerAuthenticator> authenticator,
                PeerListener& listener,
                Metrics& metrics);

 private:
  kj::Promise<void> Receive();
  bool ReadBatch();
  void Take(std::string_view datagram);

  kj::AsyncIoContext& m_io;
  const kj::AutoCloseFd m_socket;
  const std::shared_ptr<const PeerAuthenticator> m_authenticator;
  PeerListener& m_listener;
  Metrics& m_metrics;
  std::vector<char> m_buffer;
  kj::UnixEventPort::FdObserver m_observer;
  kj::Promise<void> m_receiving;
};

}  // namespace zinnia
