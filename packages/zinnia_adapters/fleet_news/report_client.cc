// g++ 12 wrongly believes that kj::Maybe reads a Result that was never written.
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"

#include "zinnia_adapters/fleet_news/report_client.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <utility>

#include "zinnia_adapters/fleet_news/report_codec.h"
#include "zinnia_adapters/peers/peer_limits.h"
#include "zinnia_base/logging/logger.h"

namespace zinnia {
namespace {

/** A peer answers within milliseconds; longer means a dead peer or a connection gone silent. */
constexpr auto kCallLimit = 500 * kj::MILLISECONDS;

/** A copy of all records may have hundreds of kilobytes, which share a link of 20 Mbit/s with the
    traffic; half a second cut such answers off again and again. */
constexpr auto kRecordsLimit = 3 * kj::SECONDS;
constexpr auto kConnectLimit = 300 * kj::MILLISECONDS;

/** Pause after a failure, so that a dead peer costs few attempts. */
constexpr Duration kPauseAfterFailure = std::chrono::milliseconds(400);

/** Calls to one peer that are not answered yet; more would only queue behind them. */
constexpr int kMostCallsInFlight = 3;

struct Connection {
  explicit Connection(kj::Own<kj::AsyncIoStream> connected)
      : stream(kj::mv(connected)),
        network(*stream, capnp::rpc::twoparty::Side::CLIENT, PeerCallLimits()),
        rpc(capnp::makeRpcClient(network)),
        peer(Bootstrap()) {}

  wire::FleetNews::Client Bootstrap() {
    capnp::MallocMessageBuilder message;
    auto vat = message.initRoot<capnp::rpc::twoparty::VatId>();
    vat.setSide(capnp::rpc::twoparty::Side::SERVER);
    return rpc.bootstrap(vat).castAs<wire::FleetNews>();
  }

  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
  wire::FleetNews::Client peer;
};

using SharedConnection = std::shared_ptr<Connection>;

struct Peer {
  SharedConnection connection;
  TimePoint not_before{};
  int in_flight = 0;
};

}  // namespace

class ReportClient::Impl final : private kj::TaskSet::ErrorHandler {
 public:
  Impl(kj::AsyncIoContext& io, const Clock& clock, Logger& logger)
      : m_io(io), m_clock(clock), m_logger(logger), m_tasks(*this) {}

  void Exchange(const NetworkAddress& address,
                const InstanceReport& report,
                std::function<void(Result<MirrorDelta>)> callback);

 private:
  kj::Promise<SharedConnection> Connect(const NetworkAddress& address);

  /** A callback has thrown: failed calls are handed to it as results. */
  void taskFailed(kj::Exception&& failure) override;

  kj::AsyncIoContext& m_io;
  const Clock& m_clock;
  Logger& m_logger;
  std::map<NetworkAddress, Peer> m_peers;
  kj::TaskSet m_tasks;
};

void ReportClient::Impl::taskFailed(kj::Exception&& failure) {
  m_logger.Log(LogLevel::kError, "report_callback_failure",
               {{"reason", failure.getDescription().cStr()}});
}

kj::Promise<SharedConnection> ReportClient::Impl::Connect(const NetworkAddress& address) {
  const SharedConnection kept = m_peers[address].connection;
  if (kept) {
    return kept;
  }
  boost::system::error_code error;
  const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address(address.ip, error),
                                                address.port);
  auto resolved = m_io.provider->getNetwork().getSockaddr(endpoint.data(),
                                                          static_cast<unsigned>(endpoint.size()));
  auto connecting = resolved->connect().attach(kj::mv(resolved));
  return m_io.provider->getTimer()
      .timeoutAfter(kConnectLimit, kj::mv(connecting))
      .then([this, address](kj::Own<kj::AsyncIoStream> stream) {
        auto connection = std::make_shared<Connection>(kj::mv(stream));
        m_peers[address].connection = connection;
        return connection;
      });
}

void ReportClient::Impl::Exchange(const NetworkAddress& address,
                                  const InstanceReport& report,
                                  std::function<void(Result<MirrorDelta>)> callback) {
  Peer& peer = m_peers[address];
  if (m_clock.Now() < peer.not_before || peer.in_flight >= kMostCallsInFlight) {
    m_tasks.add(kj::evalLater([callback = std::move(callback), address] {
      callback(
          MakeError(ErrorKind::kPeerUnavailable, address.ToString() + ": not asked again yet"));
    }));
    return;
  }
  ++peer.in_flight;
  auto call = kj::evalLater([this, address] {
                return Connect(address);
              }).then([report](SharedConnection connection) {
    auto request = connection->peer.exchangeRequest();
    report_codec::Write(request.initReport(), report);
    return request.send()
        .then([](auto&& answer) { return report_codec::Read(answer.getDelta()); })
        .attach(kj::cp(connection));
  });
  m_tasks.add(m_io.provider->getTimer()
                  .timeoutAfter(report.wants_records ? kRecordsLimit : kCallLimit, kj::mv(call))
                  .then(
                      [this, address, callback](MirrorDelta delta) {
                        --m_peers[address].in_flight;
                        callback(std::move(delta));
                      },
                      [this, address, callback](kj::Exception&& failure) {
                        Peer& failed = m_peers[address];
                        --failed.in_flight;
                        failed.connection.reset();
                        failed.not_before = m_clock.Now() + kPauseAfterFailure;
                        callback(
                            MakeError(ErrorKind::kPeerUnavailable,
                                      address.ToString() + ": " + failure.getDescription().cStr()));
                      }));
}

ReportClient::ReportClient(kj::AsyncIoContext& io, const Clock& clock, Logger& logger)
    : m_impl(std::make_unique<Impl>(io, clock, logger)) {}

ReportClient::~ReportClient() = default;

void ReportClient::Exchange(const NetworkAddress& peer,
                            const InstanceReport& report,
                            std::function<void(Result<MirrorDelta>)> callback) {
  m_impl->Exchange(peer, report, std::move(callback));
}

}  // namespace zinnia
