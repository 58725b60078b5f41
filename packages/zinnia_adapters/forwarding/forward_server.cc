#include "zinnia_adapters/forwarding/forward_server.h"

#include <fmt/format.h>

#include <exception>
#include <utility>

#include "zinnia_adapters/forwarding/log_text.h"
#include "zinnia_adapters/forwarding/reachability_watch.h"
#include "zinnia_adapters/forwarding/server_connection_pool.h"
#include "zinnia_adapters/forwarding/stall_inquiry.h"
#include "zinnia_adapters/http/listening_socket.h"
#include "zinnia_base/logging/logger.h"
#include "zinnia_decisions/forwarding/admission/capacity_queue.h"
#include "zinnia_decisions/forwarding/admission/service_admission.h"
#include "zinnia_decisions/forwarding/admission/service_admissions.h"
#include "zinnia_decisions/forwarding/observed_state/forwarding_view.h"
#include "zinnia_decisions/forwarding/observed_state/server_health.h"
#include "zinnia_decisions/forwarding/paths/move_chooser.h"
#include "zinnia_decisions/forwarding/streams/move_counts.h"
#include "zinnia_decisions/forwarding/streams/move_order.h"
#include "zinnia_decisions/ports/metrics.h"

namespace zinnia {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/** Failed path searches per scan of the capacity queue, and ticks between scans. They bound the
    time spent on searches. */
constexpr int kMaxFailedSearches = 2;
constexpr std::uint64_t kTicksBetweenQueueScans = 2;

/** Maximum delay in detecting deadlines and silent streams. */
constexpr Duration kTickInterval = std::chrono::milliseconds(20);

/** A standstill of the loop that is logged: callers' patience begins to run out. */
constexpr Duration kLateLoop = std::chrono::milliseconds(250);

/** A loop that is late by this much may miss answers to probes, which time out after 40 ms. */
constexpr Duration kLateForProbes = std::chrono::milliseconds(20);

/** Ticks between removals of unused connections: one second. */
constexpr std::uint64_t kTicksBetweenSweeps = 50;

/** Ticks between slowdown queries to slow servers: one second. */
constexpr std::uint64_t kTicksBetweenSlowdownQueries = 50;

/** Expected slowdown queries per second to one slow server from all instances together, which share
    the answers. */
constexpr double kFleetQueriesPerSecond = 4.0;

/** Ticks between probes of suspect servers. */
constexpr std::uint64_t kTicksBetweenProbes = 10;

/** Exclusion of a server that answered no probe, until engine reports confirm the failure. */
constexpr Duration kDeadExclusion = std::chrono::milliseconds(1'500);

}  // namespace

Result<std::unique_ptr<ForwardServer>> ForwardServer::Create(
    asio::io_context& loop,
    Scheduler& scheduler,
    ForwardingParts parts,
    const NetworkAddress& address,
    const std::optional<NetworkAddress>& peer_requests_address) {
  Result<tcp::acceptor> acceptor = Listen(loop, address);
  if (!acceptor) {
    return acceptor.error();
  }
  std::optional<tcp::acceptor> peer_acceptor;
  if (peer_requests_address) {
    Result<tcp::acceptor> listening = Listen(loop, *peer_requests_address);
    if (!listening) {
      return listening.error();
    }
    peer_acceptor = std::move(*listening);
  }
  std::unique_ptr<ForwardServer> server(new ForwardServer(
      scheduler, std::move(parts), std::move(*acceptor), std::move(peer_acceptor)));
  server->m_acceptor.Start();
  if (server->m_peer_acceptor) {
    server->m_peer_acceptor->Start();
  }
  server->ScheduleTick();
  return server;
}

ForwardServer::ForwardServer(Scheduler& scheduler,
                             ForwardingParts parts,
                             tcp::acceptor acceptor,
                             std::optional<tcp::acceptor> peer_acceptor)
    : m_scheduler(scheduler),
      m_parts(std::move(parts)),
      m_acceptor(std::move(acceptor),
                 m_scheduler,
                 m_parts.metrics,
                 [this](tcp::socket socket) { TakeConnection(std::move(socket), *this); }),
      m_peer_connection_owner(*this) {
  if (peer_acceptor) {
    m_peer_acceptor.emplace(
        std::move(*peer_acceptor), m_scheduler, m_parts.metrics,
        [this](tcp::socket socket) { TakeConnection(std::move(socket), m_peer_connection_owner); });
  }
}

ForwardServer::~ForwardServer() {
  CutOff();
}

std::uint16_t ForwardServer::Port() const {
  return m_acceptor.Port();
}

std::uint16_t ForwardServer::PeerRequestsPort() const {
  return m_peer_acceptor ? m_peer_acceptor->Port() : std::uint16_t{0};
}

void ForwardServer::TakeConnection(tcp::socket socket, ConnectionOwner& owner) {
  if (m_connections.Count() >= m_limits.most_connections) {
    m_parts.metrics.Count("caller_connections_refused");
    socket.close();
    return;
  }
  auto connection = std::make_shared<CallerConnection>(std::move(socket), m_limits, owner);
  m_connections.Add(connection);
  connection->Start();
}

void ForwardServer::ScheduleTick() {
  m_tick = m_scheduler.ScheduleAfter(kTickInterval, [this] {
    try {
      Tick();
    } catch (const std::exception& failure) {
      OnStepFailed("the look at all requests", failure.what());
    }
    ScheduleTick();
  });
}

std::vector<std::shared_ptr<ForwardExchange>> ForwardServer::Exchanging() const {
  std::vector<std::shared_ptr<ForwardExchange>> exchanges;
  exchanges.reserve(m_exchanges.size());
  for (const auto& [key, exchange] : m_exchanges) {
    exchanges.push_back(exchange);
  }
  return exchanges;
}

/** A process that was stopped, or has too little processor time, finds out by its own timer. */
void ForwardServer::NoteLateTick() {
  const TimePoint now = m_parts.clock.Now();
  const Duration late =
      m_ticks == 0 ? Duration::zero() : now - m_last_tick_at - Duration(kTickInterval);
  m_last_tick_at = now;
  m_parts.metrics.SetGauge("traffic_loop_late_ms",
                           std::chrono::duration<double, std::milli>(late).count());
  if (late >= kLateForProbes) {
    m_held_up_at = now;
  }
  if (late >= kLateLoop) {
    m_parts.metrics.Count("traffic_loop_standstills");
    m_parts.logger.Log(LogLevel::kWarning, "traffic_loop_stood_still",
                       {{"ms", Milliseconds(late)},
                        {"exchanges", std::to_string(m_exchanges.size())},
                        {"connections", std::to_string(m_connections.Count())}});
  }
}

bool ForwardServer::WasHeldUpSince(TimePoint time) const {
  return m_held_up_at >= time ||
         m_parts.clock.Now() - m_last_tick_at >= Duration(kTickInterval) + kLateForProbes;
}

void ForwardServer::Tick() {
  NoteLateTick();
  std::vector<StreamProgress> streams;
  const auto exchanges = Exchanging();
  for (const auto& exchange : exchanges) {
    Guard(*exchange, [&] {
      exchange->Tick();
      if (const auto progress = exchange->Progress()) {
        streams.push_back(*progress);
      }
    });
  }
  if (m_ticks % kTicksBetweenQueueScans == 0) {
    StartQueuedRequests(exchanges);
  }
  if (const auto counts = m_parts.move_counts.TakeLine()) {
    m_parts.logger.Log(LogLevel::kInfo, "moves_by_class", {{"counts", *counts}});
  }
  m_parts.reachability.Tick();
  const TimePoint now = m_parts.clock.Now();
  const auto suspects = SilenceDetector::FindSuspects(streams, now);
  if (!suspects.empty()) {
    m_parts.stalls.Check(
        suspects, SilenceDetector::OtherStreamsActive(streams, suspects, now),
        [this](const BackendServerName& server) { m_parts.reachability.OnConnectFailed(server); },
        [this, asked_at = now](const std::vector<BackendServerName>& dead) {
          // Answers may lie unread behind the timeouts of their probes.
          if (WasHeldUpSince(asked_at)) {
            return;
          }
          for (const BackendServerName& server : dead) {
            m_parts.health.MarkSuspect(server, kDeadExclusion);
          }
          m_parts.report_stalled(dead);
        });
  }
  if (m_ticks % kTicksBetweenProbes == 0) {
    ProbeSuspects();
  }
  if (m_ticks % kTicksBetweenSlowdownQueries == 0) {
    QuerySlowServers();
  }
  if (++m_ticks % kTicksBetweenSweeps == 0) {
    m_parts.connections.DropUnused(m_parts.view()->servers);
    SetAdmissionGauges();
  }
}

/** Tries later requests too, since a smaller one may fit where a large one does not, but stops
   after a few failed searches. */
void ForwardServer::StartQueuedRequests(
    const std::vector<std::shared_ptr<ForwardExchange>>& exchanges) {
  WaitingExchanges waiting;
  std::map<std::shared_ptr<ServiceAdmission>, WaitingExchanges> waiting_by_class;
  for (const auto& exchange : exchanges) {
    if (exchange->QueuedByClass()) {
      waiting_by_class[exchange->QueuedByClass()][exchange->CapacityTicket()] = exchange.get();
    } else if (exchange->CapacityTicket() != CapacityQueue::kNoTicket) {
      waiting[exchange->CapacityTicket()] = exchange.get();
    }
  }
  for (const auto& [admission, exchanges_of_service] : waiting_by_class) {
    StartQueuedByClass(*admission, exchanges_of_service);
  }
  int failed = 0;
  for (const std::uint64_t ticket : m_parts.capacity_queue.OrderedTickets()) {
    const auto exchange = waiting.find(ticket);
    if (exchange != waiting.end() && exchange->second->IsHeldBack()) {
      continue;
    }
    if (exchange != waiting.end() && !TryBegin(*exchange->second) &&
        ++failed >= kMaxFailedSearches) {
      return;
    }
  }
}

/** A request whose beginning throws has ended. */
bool ForwardServer::TryBegin(ForwardExchange& exchange) {
  bool has_begun = true;
  Guard(exchange, [&] { has_begun = exchange.TryBegin(); });
  return has_begun;
}

void ForwardServer::SetAdmissionGauges() {
  const std::vector<ClassState> classes = m_parts.admissions.Describe(*m_parts.view());
  for (std::size_t number = 0; number < classes.size(); ++number) {
    const ClassState& state = classes[number];
    m_parts.metrics.SetGauge(fmt::format("admission_share_class_{}", number), state.share);
    m_parts.metrics.SetGauge(fmt::format("admission_waiting_class_{}", number),
                             static_cast<double>(state.waiting));
    m_parts.metrics.SetGauge(fmt::format("admission_served_ratio_class_{}", number),
                             state.served_ratio);
  }
}

/** A request that would be refused without having been tried in this scan is tried once, so that it
    is not refused while there is capacity for it. */
void ForwardServer::StartQueuedByClass(ServiceAdmission& admission,
                                       const WaitingExchanges& waiting) {
  int failed = 0;
  for (const std::uint64_t ticket : admission.Queue().OrderedTickets()) {
    const auto exchange = waiting.find(ticket);
    if (exchange == waiting.end() || !exchange->second->QueuedByClass()) {
      continue;  // It has ended within this scan.
    }
    const bool is_refused_next = admission.Queue().MustRefuse(ticket);
    if (failed >= kMaxFailedSearches && !is_refused_next) {
      continue;
    }
    if (TryBegin(*exchange->second)) {
      continue;
    }
    ++failed;
    if (is_refused_next) {
      exchange->second->RefuseForWantOfRoom();
    }
  }
}

std::shared_ptr<CallerExchange> ForwardServer::CreateExchange(
    CallerRequest request,
    Duration age,
    std::shared_ptr<Responder> responder) {
  return AddExchange(std::move(request), age, std::move(responder), RequestOrigin::kCaller);
}

std::shared_ptr<CallerExchange> ForwardServer::PeerConnectionOwner::CreateExchange(
    CallerRequest request,
    Duration age,
    std::shared_ptr<Responder> responder) {
  return m_server.AddExchange(std::move(request), age, std::move(responder), RequestOrigin::kPeer);
}

void ForwardServer::PeerConnectionOwner::OnConnectionClosed(CallerConnection& connection) {
  m_server.OnConnectionClosed(connection);
}

bool ForwardServer::PeerConnectionOwner::IsDraining() const {
  return m_server.IsDraining();
}

void ForwardServer::PeerConnectionOwner::CountConnectionEvent(std::string_view event) {
  m_server.CountConnectionEvent(event);
}

std::shared_ptr<CallerExchange> ForwardServer::AddExchange(CallerRequest request,
                                                           Duration age,
                                                           std::shared_ptr<Responder> responder,
                                                           RequestOrigin origin) {
  m_parts.metrics.Count("requests_read");
  auto exchange = std::make_shared<ForwardExchange>(
      m_parts, std::move(request), std::move(responder), origin, age,
      [this](ForwardExchange& ended) { m_exchanges.erase(&ended); });
  if (m_ends_by) {
    exchange->MustEndBy(*m_ends_by);
  }
  m_exchanges.emplace(exchange.get(), exchange);
  return exchange;
}

void ForwardServer::PeerConnectionOwner::OnStepFailed(const std::string& request,
                                                      std::string_view reason) {
  m_server.OnStepFailed(request, reason);
}

void ForwardServer::OnStepFailed(const std::string& request, std::string_view reason) {
  m_parts.metrics.Count("traffic_failures");
  m_parts.logger.Log(LogLevel::kError, "traffic_failure",
                     {{"request", request}, {"reason", std::string(reason)}});
}

template <typename Step>
void ForwardServer::Guard(ForwardExchange& exchange, Step step) {
  try {
    step();
  } catch (const std::exception& failure) {
    OnStepFailed(exchange.Describe(), failure.what());
    exchange.OnStepFailed();
  }
}

void ForwardServer::OnConnectionClosed(CallerConnection& connection) {
  m_connections.Remove(connection);
}

void ForwardServer::CountConnectionEvent(std::string_view event) {
  m_parts.metrics.Count(event);
}

/** Probes suspect servers, to avoid sending callers' requests to dead ones. Plain servers have no
    such call and receive the next request instead. */
void ForwardServer::ProbeSuspects() {
  const auto view = m_parts.view();
  for (const BackendServerName& name : m_parts.health.TakeSuspectsToProbe()) {
    const auto server = view->servers.find(name);
    if (server == view->servers.end()) {
      continue;
    }
    if (server->second.accelerator.empty()) {
      m_parts.health.OnProbeAnswered(name);
      continue;
    }
    // The timeout of Probe is too short for a busy server, which would stay excluded.
    m_parts.engine_calls.ReadReport({name, server->second.address, server->second.layers},
                                    [&health = m_parts.health, name](const auto& report) {
                                      if (report) {
                                        health.OnProbeAnswered(name);
                                      }
                                    });
  }
}

/** Detects the recovery of slow servers, which receive no requests that would show it. */
void ForwardServer::QuerySlowServers() {
  const auto view = m_parts.view();
  const double chance = kFleetQueriesPerSecond / static_cast<double>(view->live_instances);
  for (const SlowdownReport& slow : m_parts.health.SlowServers()) {
    const auto server = view->servers.find(slow.server);
    const bool is_own_turn = RandomUnit(m_parts.random) < chance;
    if (is_own_turn && server != view->servers.end() &&
        m_parts.health.TryBeginSlowdownQuery(slow.server)) {
      QuerySlowdownFactor(m_parts, {slow.server, server->second.address, server->second.layers});
    }
  }
}

void ForwardServer::OnViewChanged() {
  const auto view = m_parts.view();
  if (view->rules) {
    const CallerBounds& bounds = view->rules->caller_bounds;
    m_limits.most_header_bytes = bounds.most_header_bytes;
    m_limits.most_body_bytes = bounds.most_body_bytes;
    m_limits.header_timeout = bounds.header_timeout;
    m_limits.idle_timeout = bounds.idle_timeout;
  }
  for (const auto& exchange : Exchanging()) {
    Guard(*exchange, [&] { exchange->OnViewChanged(); });
  }
}

void ForwardServer::OnCutOff() {
  for (const auto& exchange : Exchanging()) {
    Guard(*exchange, [&] { exchange->OnCutOff(); });
  }
}

void ForwardServer::OnServersStalled(const std::vector<BackendServerName>& servers) {
  m_parts.moves.OnServersLost(*m_parts.view(), servers);
  const auto exchanges = Exchanging();
  std::vector<std::optional<MoveRank>> ranks;
  ranks.reserve(exchanges.size());
  for (const auto& exchange : exchanges) {
    ranks.push_back(exchange->RankOfMove());
  }
  for (const std::size_t index : MoveOrder::Of(ranks)) {
    Guard(*exchanges[index], [&] { exchanges[index]->OnServersStalled(servers); });
  }
}

void ForwardServer::OnRequestQuarantined(const Fingerprint& request) {
  for (const auto& exchange : Exchanging()) {
    Guard(*exchange, [&] { exchange->OnRequestQuarantined(request); });
  }
}

void ForwardServer::OnPartQuarantined(const Fingerprint& part) {
  for (const auto& exchange : Exchanging()) {
    Guard(*exchange, [&] { exchange->OnPartQuarantined(part); });
  }
}

void ForwardServer::BeginDrain() {
  m_draining = true;
}

void ForwardServer::CloseAcceptors() {
  m_acceptor.Close();
  if (m_peer_acceptor) {
    m_peer_acceptor->Close();
  }
}

void ForwardServer::StopAccepting(Duration time_left) {
  m_draining = true;
  m_ends_by = m_parts.clock.Now() + time_left;
  CloseAcceptors();
  m_connections.CloseIdle();
}

void ForwardServer::AnswerRest() {
  m_ends_by = m_parts.clock.Now();
  for (const auto& exchange : Exchanging()) {
    Guard(*exchange, [&] { exchange->OnInstanceStops(); });
  }
}

std::size_t ForwardServer::InFlight() const {
  return m_exchanges.size() + m_connections.CountUnsentAnswers() +
         m_connections.CountRequestsBeingRead();
}

std::vector<std::string> ForwardServer::Describe() const {
  std::vector<std::string> lines;
  for (const auto& [key, exchange] : m_exchanges) {
    lines.push_back(exchange->Describe());
  }
  lines.insert(lines.end(), m_connections.CountUnsentAnswers(), "an answer that is being sent");
  lines.insert(lines.end(), m_connections.CountRequestsBeingRead(), "a request that is being read");
  return lines;
}

void ForwardServer::CutOff() {
  m_draining = true;
  CloseAcceptors();
  m_connections.CloseAll();
}

}  // namespace zinnia
