#pragma once

#include <memory>
#include <string>

#include "zinnia_world/fleet/network_address.h"

namespace zinnia {

class Metrics;

/** Sends datagrams without ever waiting. One that cannot be sent at once is dropped and counted as
    `peer_datagrams_not_sent`, since a late probe is worth less than none. */
class ProbeSender {
 public:
  explicit ProbeSender(Metrics& metrics);
  ~ProbeSender();
  ProbeSender(const ProbeSender&) = delete;
  ProbeSender& operator=(const ProbeSender&) = delete;

  void Send(const NetworkAddress& to, const std::string& datagram);

 private:
  int SocketFor(int family);
  bool TrySend(const NetworkAddress& to, const std::string& datagram);

  Metrics& m_metrics;
  int m_socket_v4 = -1;
  int m_socket_v6 = -1;
};

}  // namespace zinnia
