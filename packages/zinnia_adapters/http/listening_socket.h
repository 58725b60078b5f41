#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "zinnia_base/errors/result.h"
#include "zinnia_world/fleet/network_address.h"

namespace zinnia {

/** Listens on an address that other threads of this process may listen on as well. Port 0 takes a
    free one. Fails with kInvalidSettings, naming the address. */
Result<boost::asio::ip::tcp::acceptor> Listen(boost::asio::io_context& loop,
                                              const NetworkAddress& address);

}  // namespace zinnia
