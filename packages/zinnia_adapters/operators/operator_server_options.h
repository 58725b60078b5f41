#pragma once

#include <chrono>
#include <string>

#include "zinnia_world/fleet/network_address.h"

namespace zinnia {

/** How an OperatorServer listens, and its bounds. */
struct OperatorServerOptions {
  NetworkAddress address;
  std::string operator_key;
  bool metrics_need_key = true;
  std::size_t max_body_bytes = 1'048'576;
  std::size_t max_header_bytes = 8'192;
  std::size_t max_connections = 64;
  /** For reading one request, for writing one answer, and for idle connections. */
  std::chrono::milliseconds transfer_timeout{10'000};
  /** For the desk's answer to one command. */
  std::chrono::milliseconds command_timeout{30'000};
  /** Starts the ids of changes that come without one: instance name and start. */
  std::string change_id_prefix;
};

}  // namespace zinnia
