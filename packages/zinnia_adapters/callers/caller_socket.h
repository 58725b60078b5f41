#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** Whether the other side has closed or reset the connection. Asks the kernel, so it knows of an
    end that lies behind unread bytes, or that the loop has not been told of. */
bool HasPeerLeft(boost::asio::ip::tcp::socket& socket);

/** Whether bytes have arrived that are not read yet. */
bool HasUnreadBytes(boost::asio::ip::tcp::socket& socket);

/** How long ago the last bytes arrived, read or not; zero if the kernel does not tell. */
Duration TimeSinceLastBytes(boost::asio::ip::tcp::socket& socket);

}  // namespace zinnia
