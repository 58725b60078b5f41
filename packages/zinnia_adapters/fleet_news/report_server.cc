#include "zinnia_adapters/fleet_news/report_server.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <boost/asio/ip/tcp.hpp>
#include <exception>
#include <utility>

#include "zinnia_adapters/fleet_news/report_codec.h"
#include "zinnia_adapters/peers/peer_limits.h"
#include "zinnia_base/logging/logger.h"
#include "zinnia_decisions/ports/report_transport.h"

namespace zinnia {
namespace {

/** Wait after a failed accept, which without it would spin while all descriptors are in use. */
constexpr auto kAcceptPause = 100 * kj::MILLISECONDS;

class ReportService final : public wire::FleetNews::Server {
 public:
  ReportService(ReportHandler& listener, Logger& logger) : m_listener(listener), m_logger(logger) {}

  kj::Promise<void> exchange(ExchangeContext context) override {
    try {
      const MirrorDelta delta =
          m_listener.OnReport(report_codec::Read(context.getParams().getReport()));
      report_codec::Write(context.getResults().initDelta(), delta);
      return kj::READY_NOW;
    } catch (const std::exception& failure) {
      m_logger.Log(LogLevel::kError, "report_not_handled", {{"reason", failure.what()}});
      throw;  // The sender hears of it, too.
    }
  }

 private:
  ReportHandler& m_listener;
  Logger& m_logger;
};

struct ServedConnection {
  ServedConnection(kj::Own<kj::AsyncIoStream> accepted, ReportHandler& listener, Logger& logger)
      : stream(kj::mv(accepted)),
        network(*stream, capnp::rpc::twoparty::Side::SERVER, PeerCallLimits()),
        rpc(capnp::makeRpcServer(
            network,
            wire::FleetNews::Client(kj::heap<ReportService>(listener, logger)))) {}

  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

}  // namespace

class ReportServer::Impl final : private kj::TaskSet::ErrorHandler {
 public:
  Impl(kj::AsyncIoContext& io,
       kj::Own<kj::ConnectionReceiver> acceptor,
       ReportHandler& listener,
       Logger& logger)
      : m_io(io),
        m_listener(listener),
        m_logger(logger),
        m_acceptor(kj::mv(acceptor)),
        m_tasks(*this) {
    m_tasks.add(Accept());
  }

 private:
  kj::Promise<void> Accept() {
    return m_acceptor->accept()
        .then([this](kj::Own<kj::AsyncIoStream> stream) {
          auto connection = kj::heap<ServedConnection>(kj::mv(stream), m_listener, m_logger);
          m_tasks.add(connection->network.onDisconnect().attach(kj::mv(connection)));
        })
        .catch_(
            [this](kj::Exception&&) { return m_io.provider->getTimer().afterDelay(kAcceptPause); })
        .then([this] { return Accept(); });
  }

  /** A broken connection is its caller's to notice; here it just ends. */
  void taskFailed(kj::Exception&&) override {}

  kj::AsyncIoContext& m_io;
  ReportHandler& m_listener;
  Logger& m_logger;
  kj::Own<kj::ConnectionReceiver> m_acceptor;
  kj::TaskSet m_tasks;
};

Result<std::unique_ptr<ReportServer>> ReportServer::Listen(kj::AsyncIoContext& io,
                                                           const NetworkAddress& address,
                                                           ReportHandler& listener,
                                                           Logger& logger) {
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(address.ip, error);
  if (error) {
    return MakeError(ErrorKind::kInvalidSettings, "peer_address is not IP:PORT");
  }
  const boost::asio::ip::tcp::endpoint endpoint(ip, address.port);
  kj::Own<kj::ConnectionReceiver> acceptor;
  const auto failure = kj::runCatchingExceptions([&] {
    acceptor = io.provider->getNetwork()
                   .getSockaddr(endpoint.data(), static_cast<unsigned>(endpoint.size()))
                   ->listen();
  });
  KJ_IF_MAYBE (exception, failure) {
    return MakeError(ErrorKind::kInvalidSettings, "cannot listen on peer_address " +
                                                      address.ToString() + ": " +
                                                      exception->getDescription().cStr());
  }
  return std::unique_ptr<ReportServer>(
      new ReportServer(std::make_unique<Impl>(io, kj::mv(acceptor), listener, logger)));
}

ReportServer::ReportServer(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}

ReportServer::~ReportServer() = default;

}  // namespace zinnia
