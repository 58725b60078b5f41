#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "zinnia_adapters/callers/caller_acceptor.h"
#include "zinnia_adapters/callers/caller_connection.h"
#include "zinnia_adapters/callers/caller_connections.h"
#include "zinnia_adapters/callers/caller_server_parts.h"
#include "zinnia_adapters/callers/exchange_context.h"
#include "zinnia_adapters/callers/exchange_registry.h"
#include "zinnia_base/errors/result.h"
#include "zinnia_base/random/random_source.h"
#include "zinnia_base/time/scheduler.h"
#include "zinnia_world/contracts/organisation.h"
#include "zinnia_world/fleet/network_address.h"

namespace zinnia {

class CallerExchange;
class ServiceForwarder;

/** The callers' HTTP server of one traffic thread.

    POST /v1/chat/completions, GET /v1/models, plain services under their path prefixes, GET /ready
    and GET /healthz. Each traffic thread has its own server on the same port (SO_REUSEPORT).

    Create, use and destroy it on its traffic thread. To stop: BeginDrain, wait until InFlight is 0
    (Describe says what it waits for), CutOff, then stop the thread.

    @see ChatExchange, ServiceExchange, CallerServerParts
*/
class CallerServer final : public ConnectionOwner {
 public:
  /** Fails with kInvalidSettings if the address cannot be listened on. Port 0 takes a free one. */
  static Result<std::unique_ptr<CallerServer>> Create(CallerServerParts parts,
                                                      const NetworkAddress& address);
  ~CallerServer() override;

  std::uint16_t Port() const;

  /** From now on not ready: new requests are refused as not run, those in flight go on. */
  void BeginDrain();

  /** Requests that are not finished, and answers that are not written out. */
  std::size_t InFlight() const;
  std::vector<std::string> Describe() const { return m_registry.Describe(); }

  /** Closes everything; sessions are cancelled. */
  void CutOff();

  std::vector<SessionStatus> Sessions() const { return m_registry.Sessions(); }

  /** Tell it after each new snapshot. */
  void LeaveDrainingServers() { m_registry.LeaveDrainingServers(); }

 private:
  CallerServer(CallerServerParts parts, boost::asio::ip::tcp::acceptor acceptor);

  void TakeConnection(boost::asio::ip::tcp::socket socket);

  std::shared_ptr<CallerExchange> CreateExchange(CallerRequest request,
                                                 Duration age,
                                                 std::shared_ptr<Responder> responder) override;
  void OnConnectionClosed(CallerConnection& connection) override;
  bool IsDraining() const override { return m_draining; }
  void CountConnectionEvent(std::string_view event) override;
  void OnStepFailed(const std::string& request, std::string_view reason) override;

  ExchangeContext MakeContext(CallerRequest request,
                              Duration age,
                              std::shared_ptr<Responder> responder);
  std::shared_ptr<CallerExchange> CreateKeylessExchange(ExchangeContext& context) const;
  Result<void> CheckRoom() const;
  Result<Organisation> Authenticate(const CallerRequest& request) const;
  std::shared_ptr<CallerExchange> CreateAuthenticatedExchange(ExchangeContext context);
  std::shared_ptr<CallerExchange> CreateServiceExchange(ExchangeContext context,
                                                        const std::string& path);
  std::shared_ptr<CallerExchange> Register(std::shared_ptr<CallerExchange> exchange);

  const CallerServerParts m_parts;
  CallerAcceptor m_acceptor;
  ExchangeRegistry m_registry;
  std::shared_ptr<ServiceForwarder> m_forwarder;
  CallerConnections m_connections;
  RandomSource m_random;
  std::uint64_t m_next_request = 1;
  bool m_draining = false;
};

}  // namespace zinnia
