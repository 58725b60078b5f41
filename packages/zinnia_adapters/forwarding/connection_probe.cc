#include "zinnia_adapters/forwarding/connection_probe.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

namespace zinnia {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

class Probe : public std::enable_shared_from_this<Probe> {
 public:
  Probe(asio::io_context& loop, std::function<void(ConnectionProbeResult)> callback)
      : m_socket(loop), m_timer(loop), m_callback(std::move(callback)) {}

  void Start(const NetworkAddress& address, Duration delay, Duration limit) {
    m_timer.expires_after(delay);
    m_timer.async_wait([self = shared_from_this(), address, limit](const auto& error) {
      if (!error) {
        self->Connect(address, limit);
      }
    });
  }

 private:
  void Connect(const NetworkAddress& address, Duration limit) {
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(address.ip, error);
    if (error) {
      End(ConnectionProbeResult::kNoAnswer);
      return;
    }
    m_timer.expires_after(limit);
    m_timer.async_wait([self = shared_from_this()](const auto& timer_error) {
      if (!timer_error) {
        self->End(ConnectionProbeResult::kNoAnswer);
      }
    });
    m_socket.async_connect({ip, address.port},
                           [self = shared_from_this()](const boost::system::error_code& result) {
                             self->End(ResultOf(result));
                           });
  }

  static ConnectionProbeResult ResultOf(const boost::system::error_code& error) {
    if (!error) {
      return ConnectionProbeResult::kAccepted;
    }
    return error == asio::error::connection_refused ? ConnectionProbeResult::kRefused
                                                    : ConnectionProbeResult::kNoAnswer;
  }

  void End(ConnectionProbeResult result) {
    const auto callback = std::exchange(m_callback, nullptr);
    if (!callback) {
      return;
    }
    m_timer.cancel();
    boost::system::error_code ignored;
    m_socket.close(ignored);
    callback(result);
  }

  tcp::socket m_socket;
  asio::steady_timer m_timer;
  std::function<void(ConnectionProbeResult)> m_callback;
};

}  // namespace

void ProbeConnection(asio::io_context& loop,
                     const NetworkAddress& address,
                     Duration delay,
                     Duration limit,
                     std::function<void(ConnectionProbeResult)> callback) {
  std::make_shared<Probe>(loop, std::move(callback))->Start(address, delay, limit);
}

}  // namespace zinnia
