#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "zinnia_adapters/callers/caller_acceptor.h"
#include "zinnia_adapters/callers/caller_connection.h"
#include "zinnia_adapters/callers/caller_connections.h"
#include "zinnia_adapters/callers/caller_limits.h"
#include "zinnia_adapters/forwarding/forward_exchange.h"
#include "zinnia_adapters/forwarding/forwarding_parts.h"
#include "zinnia_base/errors/result.h"
#include "zinnia_base/time/scheduler.h"
#include "zinnia_world/fleet/network_address.h"

namespace zinnia {

/** The callers' server of an instance that forwards by the routes of the accepted configuration.

    Create, use and destroy it on its traffic thread. To stop: BeginDrain, which lets callers finish
    and refuses nothing yet; after a few seconds StopAccepting; when InFlight is 0, or the time for
    stopping is over, CutOff.
*/
class ForwardServer final : public ConnectionOwner {
 public:
  /** Fails with kInvalidSettings if the address cannot be listened on. */
  static Result<std::unique_ptr<ForwardServer>> Create(boost::asio::io_context& loop,
                                                       Scheduler& scheduler,
                                                       ForwardingParts parts,
                                                       const NetworkAddress& address);
  ~ForwardServer() override;

  /** The port in use, also when a free one was asked for. */
  std::uint16_t Port() const;

  /** Answers from now on end their connections. */
  void BeginDrain();

  /** Takes no new connections and closes idle ones. */
  void StopAccepting();

  /** Ends every request with a final answer, or its stream where it is. */
  void AnswerRest();

  std::size_t InFlight() const;
  std::vector<std::string> Describe() const;
  void CutOff();

  /** Tell it after each new view. */
  void OnViewChanged();

  /** A server is known, from here or from a peer, not to go on. */
  void OnServersStalled(const std::vector<BackendServerName>& servers);

 private:
  ForwardServer(Scheduler& scheduler,
                ForwardingParts parts,
                boost::asio::ip::tcp::acceptor acceptor);

  using Exchanges = std::unordered_map<ForwardExchange*, std::shared_ptr<ForwardExchange>>;

  void TakeConnection(boost::asio::ip::tcp::socket socket);
  void ScheduleTick();
  void ProbeSuspects();
  void AskSlowServersAgain();
  void Tick();
  std::vector<std::shared_ptr<ForwardExchange>> Exchanging() const;
  void BeginWaiting(const std::vector<std::shared_ptr<ForwardExchange>>& exchanges);

  std::shared_ptr<CallerExchange> CreateExchange(CallerRequest request,
                                                 std::shared_ptr<Responder> responder) override;
  void OnConnectionClosed(CallerConnection& connection) override;
  bool IsDraining() const override { return m_draining; }
  void CountConnectionEvent(std::string_view event) override;

  Scheduler& m_scheduler;
  const ForwardingParts m_parts;
  CallerAcceptor m_acceptor;
  CallerLimits m_limits;
  CallerConnections m_connections;
  Exchanges m_exchanges;
  std::unique_ptr<ScheduledCall> m_tick;
  std::uint64_t m_ticks = 0;
  bool m_draining = false;
};

}  // namespace zinnia
