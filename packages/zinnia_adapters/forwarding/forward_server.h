#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
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

class ServiceAdmission;

/** Accepts callers' requests and forwards them by the routes of the accepted configuration.

    Create, use and destroy it on its traffic thread. To stop it, call BeginDrain, which still
   accepts requests; a few seconds later StopAccepting; then CutOff once InFlight is 0 or the stop
   timeout has passed.
*/
class ForwardServer final : public ConnectionOwner {
 public:
  /** `peer_requests_address`: where requests of other instances are taken, if anywhere. Fails with
      kInvalidSettings if it cannot listen on an address. */
  static Result<std::unique_ptr<ForwardServer>> Create(
      boost::asio::io_context& loop,
      Scheduler& scheduler,
      ForwardingParts parts,
      const NetworkAddress& address,
      const std::optional<NetworkAddress>& peer_requests_address);
  ~ForwardServer() override;

  /** Returns the bound port, including one chosen by the system. */
  std::uint16_t Port() const;

  /** The same for requests of other instances; 0 if none are taken. */
  std::uint16_t PeerRequestsPort() const;

  /** Closes each connection after its next answer. */
  void BeginDrain();

  /** Stops accepting connections and closes idle ones. `time_left`: until AnswerRest. A request
     that is read whole from now on and may last longer is refused as not run. */
  void StopAccepting(Duration time_left);

  /** Sends every unfinished request a final answer; streams are cut off. Requests that are read
      whole from now on are refused as not run. */
  void AnswerRest();

  std::size_t InFlight() const;
  std::vector<std::string> Describe() const;
  void CutOff();

  /** Call after each change of the view. */
  void OnViewChanged();

  /** Moves requests that wait for servers which are no longer reached. */
  void OnCutOff();

  /** Handles servers found stalled by this instance or a peer. */
  void OnServersStalled(const std::vector<BackendServerName>& servers);

  /** Ends the requests with this fingerprint that no server has begun to answer. */
  void OnRequestQuarantined(const Fingerprint& request);
  void OnPartQuarantined(const Fingerprint& part);

 private:
  ForwardServer(Scheduler& scheduler,
                ForwardingParts parts,
                boost::asio::ip::tcp::acceptor acceptor,
                std::optional<boost::asio::ip::tcp::acceptor> peer_acceptor);

  /** Owner of the connections on which other instances send requests. */
  class PeerConnectionOwner final : public ConnectionOwner {
   public:
    explicit PeerConnectionOwner(ForwardServer& server) : m_server(server) {}
    std::shared_ptr<CallerExchange> CreateExchange(CallerRequest request,
                                                   Duration age,
                                                   std::shared_ptr<Responder> responder) override;
    void OnConnectionClosed(CallerConnection& connection) override;
    bool IsDraining() const override;
    void CountConnectionEvent(std::string_view event) override;
    void OnStepFailed(const std::string& request, std::string_view reason) override;

   private:
    ForwardServer& m_server;
  };

  using Exchanges = std::unordered_map<ForwardExchange*, std::shared_ptr<ForwardExchange>>;

  void TakeConnection(boost::asio::ip::tcp::socket socket, ConnectionOwner& owner);
  std::shared_ptr<CallerExchange> AddExchange(CallerRequest request,
                                              Duration age,
                                              std::shared_ptr<Responder> responder,
                                              RequestOrigin origin);
  /** Runs a step of an exchange. If it throws, this exchange ends, and no other. */
  template <typename Step>
  void Guard(ForwardExchange& exchange, Step step);
  void CloseAcceptors();
  void ScheduleTick();
  void ProbeSuspects();
  void QuerySlowServers();
  void Tick();
  void NoteLateTick();

  /** Whether the loop was held up since then, for example by the processor quota. */
  bool WasHeldUpSince(TimePoint time) const;
  std::vector<std::shared_ptr<ForwardExchange>> Exchanging() const;
  using WaitingExchanges = std::map<std::uint64_t, ForwardExchange*>;
  bool TryBegin(ForwardExchange& exchange);
  void StartQueuedRequests(const std::vector<std::shared_ptr<ForwardExchange>>& exchanges);

  /** Starts or refuses the requests that wait for one prioritized service. */
  void StartQueuedByClass(ServiceAdmission& admission, const WaitingExchanges& waiting);
  void SetAdmissionGauges();

  std::shared_ptr<CallerExchange> CreateExchange(CallerRequest request,
                                                 Duration age,
                                                 std::shared_ptr<Responder> responder) override;
  void OnConnectionClosed(CallerConnection& connection) override;
  bool IsDraining() const override { return m_draining; }
  void CountConnectionEvent(std::string_view event) override;
  void OnStepFailed(const std::string& request, std::string_view reason) override;

  Scheduler& m_scheduler;
  const ForwardingParts m_parts;
  CallerAcceptor m_acceptor;
  PeerConnectionOwner m_peer_connection_owner;
  std::optional<CallerAcceptor> m_peer_acceptor;
  CallerLimits m_limits;
  CallerConnections m_connections;

  /** When requests must have ended, once no connections are accepted any more. */
  std::optional<TimePoint> m_ends_by;
  Exchanges m_exchanges;
  std::unique_ptr<ScheduledCall> m_tick;
  std::uint64_t m_ticks = 0;
  TimePoint m_last_tick_at{};
  TimePoint m_held_up_at{};
  bool m_draining = false;
};

}  // namespace zinnia
