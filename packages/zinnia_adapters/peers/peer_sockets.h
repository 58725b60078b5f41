#pragma once

#include <kj/io.h>

#include "zinnia_base/errors/result.h"
#include "zinnia_world/fleet/network_address.h"

namespace zinnia {

/** The two sockets of a peer address, on the same port: calls come over TCP, probes over UDP. */
struct PeerSockets {
  kj::AutoCloseFd stream_listener;
  kj::AutoCloseFd datagrams;
  NetworkAddress address;

  /** Binds both and listens. Port 0 takes any port that is free for both. Fails with
      kInvalidSettings if the address cannot be had. */
  static Result<PeerSockets> Bind(const NetworkAddress& address);
};

}  // namespace zinnia
