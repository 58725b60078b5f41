#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>

#include "zinnia_base/time/clock.h"
#include "zinnia_world/fleet/network_address.h"

namespace zinnia {

/** kNoAnswer: the machine or the network did not respond in time. */
enum class ConnectionProbeResult { kAccepted, kRefused, kNoAnswer };

/** Connects to an address after `delay`, sends nothing and closes the connection. The callback runs
    once on the loop's thread. */
void ProbeConnection(boost::asio::io_context& loop,
                     const NetworkAddress& address,
                     Duration delay,
                     Duration limit,
                     std::function<void(ConnectionProbeResult)> callback);

}  // namespace zinnia
