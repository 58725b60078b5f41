#include "zinnia_adapters/operators/operator_server.h"

#include <fmt/format.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <utility>

#include "zinnia_adapters/operators/operator_connection.h"

namespace zinnia {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/** Accepts connections until it is stopped. Keeps itself alive through its pending accept. */
class OperatorServer::Listener : public std::enable_shared_from_this<Listener> {
 public:
  Listener(asio::io_context& io_context, std::shared_ptr<OperatorServerState> state)
      : m_state(std::move(state)),
        m_io_context(io_context),
        m_acceptor(asio::make_strand(io_context)),
        m_retry(m_acceptor.get_executor()) {}

  void Listen(const tcp::endpoint& endpoint) {
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    m_port = m_acceptor.local_endpoint().port();
  }

  void Accept() {
    m_acceptor.async_accept(
        asio::make_strand(m_io_context),
        [self = shared_from_this()](const error_code& error, tcp::socket socket) {
          self->OnAccepted(error, std::move(socket));
        });
  }

  void Stop() {
    asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
      error_code ignored;
      self->m_acceptor.close(ignored);
      self->m_retry.cancel();
    });
  }

  std::uint16_t port() const { return m_port; }

 private:
  void OnAccepted(const error_code& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) {
      return;
    }
    if (error) {
      AcceptLater();
      return;
    }
    StartConnection(std::move(socket));
    Accept();
  }

  /** Without file descriptors accept fails at once, again and again: a pause keeps the thread free
      to close those that it has. */
  void AcceptLater() {
    constexpr std::chrono::milliseconds kPause{100};
    m_retry.expires_after(kPause);
    m_retry.async_wait([self = shared_from_this()](const error_code& error) {
      if (!error) {
        self->Accept();
      }
    });
  }

  void StartConnection(tcp::socket socket) {
    const std::size_t most = m_state->options.max_connections;
    const std::size_t open = m_state->connections.load();
    if (open >= 2 * most) {
      return;
    }
    const auto connection = std::make_shared<OperatorConnection>(std::move(socket), m_state);
    if (open >= most) {
      connection->Refuse();
    } else {
      connection->Serve();
    }
  }

  const std::shared_ptr<OperatorServerState> m_state;
  asio::io_context& m_io_context;
  tcp::acceptor m_acceptor;
  asio::steady_timer m_retry;
  std::uint16_t m_port = 0;
};

Result<std::unique_ptr<OperatorServer>> OperatorServer::Start(asio::io_context& io_context,
                                                              const OperatorServerOptions& options,
                                                              OperatorDesk& desk,
                                                              const HistogramMetrics& metrics,
                                                              const ReadinessProbe& readiness) {
  auto state = std::shared_ptr<OperatorServerState>(
      new OperatorServerState{options, OperatorApi(desk, metrics, readiness, options)});
  auto listener = std::make_shared<Listener>(io_context, std::move(state));
  try {
    listener->Listen({asio::ip::make_address(options.address.ip), options.address.port});
  } catch (const boost::system::system_error& error) {
    return MakeError(ErrorKind::kInvalidSettings,
                     fmt::format("operators_address: cannot listen on {}: {}",
                                 options.address.ToString(), error.code().message()));
  }
  listener->Accept();
  return std::unique_ptr<OperatorServer>(new OperatorServer(std::move(listener)));
}

OperatorServer::OperatorServer(std::shared_ptr<Listener> listener)
    : m_listener(std::move(listener)) {}

OperatorServer::~OperatorServer() {
  m_listener->Stop();
}

std::uint16_t OperatorServer::port() const {
  return m_listener->port();
}

}  // namespace zinnia
