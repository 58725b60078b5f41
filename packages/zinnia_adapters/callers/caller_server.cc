#include "zinnia_adapters/callers/caller_server.h"

#include <fmt/format.h>

#include <boost/asio/post.hpp>
#include <boost/beast/http/field.hpp>
#include <charconv>
#include <utility>

#include "zinnia_adapters/callers/chat_exchange.h"
#include "zinnia_adapters/callers/fixed_exchange.h"
#include "zinnia_adapters/callers/key_digest.h"
#include "zinnia_adapters/callers/plain_documents.h"
#include "zinnia_adapters/callers/service_exchange.h"
#include "zinnia_adapters/http/listening_socket.h"
#include "zinnia_adapters/services/service_forwarder.h"
#include "zinnia_base/logging/logger.h"
#include "zinnia_decisions/ports/metrics.h"
#include "zinnia_decisions/ports/snapshot_source.h"

namespace zinnia {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr std::uint64_t kMostDeadlineMilliseconds = 24ULL * 3600 * 1000;

std::string PathOf(const CallerRequest& request) {
  const std::string_view target = request.target();
  return std::string(target.substr(0, target.find('?')));
}

bool IsRead(const CallerRequest& request) {
  return request.method() == http::verb::get || request.method() == http::verb::head;
}

/** "/bookings" covers /bookings and /bookings/7, not /bookings-archive. */
bool IsUnderPrefix(const std::string& path, const std::string& prefix) {
  if (!path.starts_with(prefix)) {
    return false;
  }
  return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/';
}

const ServiceContract* FindService(const Configuration& configuration, const std::string& path) {
  const ServiceContract* longest = nullptr;
  for (const auto& [name, service] : configuration.services()) {
    const bool longer =
        longest == nullptr || service.path_prefix.size() > longest->path_prefix.size();
    if (longer && IsUnderPrefix(path, service.path_prefix)) {
      longest = &service;
    }
  }
  return longest;
}

Result<std::optional<TimePoint>> ReadDeadline(const CallerRequest& request, TimePoint now) {
  const std::string_view text = request["Zinnia-Deadline-Ms"];
  if (text.empty()) {
    return std::optional<TimePoint>();
  }
  std::uint64_t milliseconds = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, milliseconds);
  if (error != std::errc{} || rest != end || milliseconds > kMostDeadlineMilliseconds) {
    return MakeError(ErrorKind::kInvalidRequest,
                     fmt::format("Zinnia-Deadline-Ms must be a whole number up to {}",
                                 kMostDeadlineMilliseconds));
  }
  return std::optional(now + std::chrono::milliseconds(milliseconds));
}

std::shared_ptr<CallerExchange> Fixed(const ExchangeContext& context, CallerResponse response) {
  response.set("X-Request-Id", context.request_id);
  return std::make_shared<FixedExchange>(context.responder, std::move(response));
}

std::shared_ptr<CallerExchange> Refuse(const ExchangeContext& context, const Error& error) {
  context.parts.metrics.Count(fmt::format("caller_requests_{}", NameOf(error.kind)));
  return Fixed(context, MakeProblemResponse(error));
}

std::shared_ptr<CallerExchange> RefuseMethod(const ExchangeContext& context,
                                             const std::string& allowed) {
  CallerResponse response = MakeProblemResponse(
      MakeError(ErrorKind::kInvalidRequest, "this path takes only the method " + allowed));
  response.result(http::status::method_not_allowed);
  response.set(http::field::allow, allowed);
  return Fixed(context, std::move(response));
}

}  // namespace

Result<std::unique_ptr<CallerServer>> CallerServer::Create(CallerServerParts parts,
                                                           const NetworkAddress& address) {
  Result<tcp::acceptor> acceptor = Listen(parts.loop, address);
  if (!acceptor) {
    return acceptor.error();
  }
  std::unique_ptr<CallerServer> server(new CallerServer(std::move(parts), std::move(*acceptor)));
  server->m_acceptor.Start();
  return server;
}

CallerServer::CallerServer(CallerServerParts parts, tcp::acceptor acceptor)
    : m_parts(std::move(parts)),
      m_acceptor(std::move(acceptor),
                 m_parts.scheduler,
                 m_parts.metrics,
                 [this](tcp::socket socket) { TakeConnection(std::move(socket)); }),
      m_forwarder(ServiceForwarder::Create(m_parts.loop, m_parts.clock, m_parts.snapshots)),
      m_random(m_parts.random_seed) {}

CallerServer::~CallerServer() {
  CutOff();
}

std::uint16_t CallerServer::Port() const {
  return m_acceptor.Port();
}

void CallerServer::TakeConnection(tcp::socket socket) {
  if (m_connections.Count() >= m_parts.limits.most_connections) {
    m_parts.metrics.Count("caller_connections_refused");
    socket.close();
    return;
  }
  auto connection = std::make_shared<CallerConnection>(std::move(socket), m_parts.limits, *this);
  m_connections.Add(connection);
  connection->Start();
}

std::shared_ptr<CallerExchange> CallerServer::CreateExchange(CallerRequest request,
                                                             Duration age,
                                                             std::shared_ptr<Responder> responder) {
  ExchangeContext context = MakeContext(std::move(request), age, std::move(responder));
  if (auto exchange = CreateKeylessExchange(context)) {
    return exchange;
  }
  if (const Result<void> room = CheckRoom(); !room) {
    return Refuse(context, room.error());
  }
  const Result<Organisation> organisation = Authenticate(context.request);
  if (!organisation) {
    return Refuse(context, organisation.error());
  }
  context.organisation = *organisation;
  const auto deadline = ReadDeadline(context.request, context.started_at);
  if (!deadline) {
    return Refuse(context, deadline.error());
  }
  context.deadline = *deadline;
  return CreateAuthenticatedExchange(std::move(context));
}

ExchangeContext CallerServer::MakeContext(CallerRequest request,
                                          Duration age,
                                          std::shared_ptr<Responder> responder) {
  // Callers' own request ids are not taken over: the once gate needs them to be unique.
  return {m_parts,
          m_registry,
          std::move(responder),
          std::move(request),
          fmt::format("{}-{}", m_parts.name_prefix, m_next_request++),
          {},
          m_parts.clock.Now() - age,
          {},
          m_random() >> 1U};
}

std::shared_ptr<CallerExchange> CallerServer::CreateKeylessExchange(
    ExchangeContext& context) const {
  const std::string path = PathOf(context.request);
  if (path == "/healthz" && IsRead(context.request)) {
    return Fixed(context, MakeJsonResponse(200, "{\"healthy\":true}"));
  }
  if (path != "/ready" || !IsRead(context.request)) {
    return nullptr;
  }
  std::vector<std::string> reasons = m_parts.not_ready_reasons();
  if (m_draining) {
    reasons.emplace_back("draining");
  }
  return Fixed(context, MakeJsonResponse(reasons.empty() ? 200 : 503, ReadyJson(reasons)));
}

Result<void> CallerServer::CheckRoom() const {
  if (m_draining) {
    return MakeError(ErrorKind::kDraining, "this instance is about to stop");
  }
  if (m_registry.Count() >= m_parts.limits.most_exchanges) {
    return MakeError(ErrorKind::kOverloaded, "this instance has as many requests as it can hold");
  }
  return {};
}

Result<Organisation> CallerServer::Authenticate(const CallerRequest& request) const {
  const auto key = BearerKey(request[http::field::authorization]);
  if (!key) {
    return MakeError(ErrorKind::kUnauthorized, "there is no Authorization: Bearer header");
  }
  const auto snapshot = m_parts.snapshots.Current();
  const Organisation* organisation =
      snapshot->configuration->FindOrganisationByKeyDigest(DigestOfKey(*key));
  if (organisation == nullptr) {
    return MakeError(ErrorKind::kUnauthorized, "the key is not known");
  }
  return *organisation;
}

std::shared_ptr<CallerExchange> CallerServer::CreateAuthenticatedExchange(ExchangeContext context) {
  const std::string path = PathOf(context.request);
  if (path == "/v1/models") {
    if (!IsRead(context.request)) {
      return RefuseMethod(context, "GET");
    }
    return Fixed(context,
                 MakeJsonResponse(200, ModelsJson(*m_parts.snapshots.Current()->configuration)));
  }
  if (path == "/v1/chat/completions") {
    if (context.request.method() != http::verb::post) {
      return RefuseMethod(context, "POST");
    }
    return Register(std::make_shared<ChatExchange>(std::move(context)));
  }
  return CreateServiceExchange(std::move(context), path);
}

std::shared_ptr<CallerExchange> CallerServer::CreateServiceExchange(ExchangeContext context,
                                                                    const std::string& path) {
  const auto snapshot = m_parts.snapshots.Current();
  const ServiceContract* contract = FindService(*snapshot->configuration, path);
  if (contract == nullptr) {
    return Refuse(context, MakeError(ErrorKind::kNotFound, "nothing is served at " + path));
  }
  if (!context.request.long_fields.IsEmpty()) {
    return Refuse(context, MakeError(ErrorKind::kPayloadTooLarge,
                                     fmt::format("a header field has more than {} bytes",
                                                 LongFields::kMostContainerBytes)));
  }
  return Register(std::make_shared<ServiceExchange>(std::move(context), *contract, m_forwarder));
}

std::shared_ptr<CallerExchange> CallerServer::Register(std::shared_ptr<CallerExchange> exchange) {
  m_registry.Add(exchange);
  return exchange;
}

void CallerServer::OnConnectionClosed(CallerConnection& connection) {
  m_connections.Remove(connection);
}

void CallerServer::CountConnectionEvent(std::string_view event) {
  m_parts.metrics.Count(event);
}

void CallerServer::OnStepFailed(const std::string& request, std::string_view reason) {
  m_parts.metrics.Count("traffic_failures");
  m_parts.logger.Log(LogLevel::kError, "traffic_failure",
                     {{"request", request}, {"reason", std::string(reason)}});
}

void CallerServer::BeginDrain() {
  m_draining = true;
  m_connections.CloseIdle();
}

std::size_t CallerServer::InFlight() const {
  return m_registry.Count() + m_connections.CountUnsentAnswers();
}

void CallerServer::CutOff() {
  m_draining = true;
  m_acceptor.Close();
  m_connections.CloseAll();
}

}  // namespace zinnia
