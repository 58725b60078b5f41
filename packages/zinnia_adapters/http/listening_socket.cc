#include "zinnia_adapters/http/listening_socket.h"

#include <fmt/format.h>
#include <sys/socket.h>

namespace zinnia {

namespace asio = boost::asio;
using asio::ip::tcp;

Result<tcp::acceptor> Listen(asio::io_context& loop, const NetworkAddress& address) {
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(address.ip, error);
  tcp::acceptor acceptor(loop);
  const tcp::endpoint endpoint(ip, address.port);
  using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
  if (!error) {
    acceptor.open(endpoint.protocol(), error);
  }
  if (!error) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor.set_option(ReusePort(true), error);
  }
  if (!error) {
    acceptor.bind(endpoint, error);
  }
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return MakeError(ErrorKind::kInvalidSettings,
                     fmt::format("cannot listen on {}: {}", address.ToString(), error.message()));
  }
  return acceptor;
}

}  // namespace zinnia
