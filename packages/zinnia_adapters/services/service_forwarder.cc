#include "zinnia_adapters/services/service_forwarder.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <tuple>
#include <utility>

#include "zinnia_decisions/ports/snapshot_source.h"

namespace zinnia {
namespace {

constexpr std::size_t kMostServersTried = 3;
constexpr std::size_t kMostIdleConnections = 16;

bool NothingWasSent(ExchangeFailure failure) {
  return failure == ExchangeFailure::kRefused || failure == ExchangeFailure::kUnreachable;
}

Error ErrorAfterSending(const ServiceCall& call, ExchangeFailure failure) {
  ErrorKind kind = ErrorKind::kOutcomeUnknown;
  if (call.may_repeat) {
    kind = failure == ExchangeFailure::kTimedOut ? ErrorKind::kBackendTimeout
                                                 : ErrorKind::kBackendUnavailable;
  }
  Error error = MakeError(kind, failure == ExchangeFailure::kTimedOut
                                    ? call.contract.name + " did not answer in time"
                                    : "the connection to " + call.contract.name + " was lost");
  error.was_run = WasRun::kUnknown;
  return error;
}

}  // namespace

struct ServiceForwarder::Attempt {
  ServiceCall call;
  Callback callback;
  TimePoint give_up_at{};
  std::vector<BackendServerName> tried;
  BackendServerName server;
  bool any_sent = false;
};

std::shared_ptr<ServiceForwarder> ServiceForwarder::Create(boost::asio::io_context& loop,
                                                           const Clock& clock,
                                                           const SnapshotSource& snapshots) {
  return std::shared_ptr<ServiceForwarder>(new ServiceForwarder(loop, clock, snapshots));
}

ServiceForwarder::ServiceForwarder(boost::asio::io_context& loop,
                                   const Clock& clock,
                                   const SnapshotSource& snapshots)
    : m_loop(loop), m_clock(clock), m_snapshots(snapshots), m_retry_budget(clock) {}

void ServiceForwarder::Forward(ServiceCall call, Callback callback) {
  auto attempt = std::make_shared<Attempt>();
  attempt->give_up_at = m_clock.Now() + call.contract.timeout;
  attempt->call = std::move(call);
  attempt->callback = std::move(callback);
  m_retry_budget.OnFirstAttempt(attempt->call.organisation, attempt->call.contract.name);
  Try(attempt);
}

void ServiceForwarder::Try(const AttemptPointer& attempt) {
  const Duration left = attempt->give_up_at - m_clock.Now();
  const auto server = Choose(*attempt);
  if (!server || left <= Duration::zero()) {
    Error error = MakeError(ErrorKind::kBackendUnavailable,
                            "no server of " + attempt->call.contract.name + " can be reached");
    error.was_run = attempt->any_sent ? WasRun::kUnknown : WasRun::kNo;
    Finish(attempt, error);
    return;
  }
  attempt->tried.push_back(*server);
  attempt->server = *server;
  ++m_in_flight[*server];
  const auto connection = Connect(*attempt, *server);
  connection->Exchange(attempt->call.request, left,
                       [self = shared_from_this(), attempt, connection](ExchangeOutcome outcome) {
                         self->OnOutcome(attempt, connection, std::move(outcome));
                       });
}

std::optional<BackendServerName> ServiceForwarder::Choose(const Attempt& attempt) const {
  if (attempt.tried.size() >= kMostServersTried) {
    return std::nullopt;
  }
  const auto snapshot = m_snapshots.Current();
  using Rank = std::tuple<BackendServerState, std::uint32_t, BackendServerName>;
  std::optional<Rank> best;
  for (const BackendServerName& name : attempt.call.contract.servers) {
    const auto found = snapshot->servers.find(name);
    const bool usable =
        found != snapshot->servers.end() && found->second.state <= BackendServerState::kSuspect;
    if (!usable || std::ranges::find(attempt.tried, name) != attempt.tried.end()) {
      continue;
    }
    const auto in_flight = m_in_flight.find(name);
    const Rank rank{found->second.state, in_flight == m_in_flight.end() ? 0 : in_flight->second,
                    name};
    best = best ? std::min(*best, rank) : rank;
  }
  return best ? std::optional(std::get<BackendServerName>(*best)) : std::nullopt;
}

std::shared_ptr<BackendConnection> ServiceForwarder::Connect(const Attempt& attempt,
                                                             const BackendServerName& server) {
  const NetworkAddress address = m_snapshots.Current()->servers.at(server).server.address;
  auto& idle = m_idle[server];
  // A call that may not be repeated gets a new connection: a kept one may be closed by the server
  // while the request is on its way, which would end as an unknown outcome for nothing.
  while (attempt.call.may_repeat && !idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    if (connection->IsReusable() && connection->Address() == address) {
      return connection;
    }
  }
  auto connection = BackendConnection::Create(m_loop, address);
  if (const auto before = attempt.call.dispatch_before) {
    connection->SetSendCheck([this, before] { return m_clock.Now() < *before; });
  }
  return connection;
}

void ServiceForwarder::OnOutcome(const AttemptPointer& attempt,
                                 const std::shared_ptr<BackendConnection>& connection,
                                 ExchangeOutcome outcome) {
  if (--m_in_flight[attempt->server] == 0) {
    m_in_flight.erase(attempt->server);
  }
  if (outcome.failure == ExchangeFailure::kNone) {
    Keep(attempt->server, connection);
    Finish(attempt, std::move(outcome.response));
  } else if (NothingWasSent(outcome.failure)) {
    Try(attempt);
  } else {
    attempt->any_sent = true;
    const bool retry =
        attempt->call.may_repeat &&
        m_retry_budget.TrySpend(attempt->call.organisation, attempt->call.contract.name);
    if (retry) {
      Try(attempt);
    } else {
      Finish(attempt, ErrorAfterSending(attempt->call, outcome.failure));
    }
  }
}

void ServiceForwarder::Keep(const BackendServerName& server,
                            std::shared_ptr<BackendConnection> connection) {
  connection->SetSendCheck(nullptr);
  auto& idle = m_idle[server];
  if (connection->IsReusable() && idle.size() < kMostIdleConnections) {
    idle.push_back(std::move(connection));
  }
}

void ServiceForwarder::Finish(const AttemptPointer& attempt, Result<BackendResponse> result) {
  boost::asio::post(m_loop, [attempt, result = std::move(result)]() mutable {
    attempt->callback(std::move(result));
  });
}

}  // namespace zinnia
