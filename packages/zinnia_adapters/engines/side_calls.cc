#include "zinnia_adapters/engines/side_calls.h"

#include <fmt/format.h>

#include <boost/asio/post.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <utility>

#include "zinnia_decisions/ports/snapshot_source.h"

namespace zinnia {
namespace {

namespace http = boost::beast::http;
namespace json = boost::json;

constexpr Duration kReleaseTimeout = std::chrono::seconds(2);

BackendRequest MakePost(const std::string& target, std::string body) {
  BackendRequest request(http::verb::post, target, 11);
  request.set(http::field::content_type, "application/json");
  request.body() = std::move(body);
  return request;
}

Error ErrorOf(ExchangeFailure failure, const BackendServerName& server) {
  switch (failure) {
    case ExchangeFailure::kTimedOut: {
      Error error = MakeError(ErrorKind::kBackendTimeout, server + " did not answer in time");
      error.was_run = WasRun::kUnknown;
      return error;
    }
    case ExchangeFailure::kLost: {
      Error error = MakeError(ErrorKind::kOutcomeUnknown, "the connection to " + server + " broke");
      error.was_run = WasRun::kUnknown;
      return error;
    }
    default:
      return MakeError(ErrorKind::kBackendUnavailable, server + " cannot be reached");
  }
}

Result<std::string> ResultOf(ExchangeOutcome outcome, const BackendServerName& server) {
  if (outcome.failure != ExchangeFailure::kNone) {
    return ErrorOf(outcome.failure, server);
  }
  const unsigned status = outcome.response.result_int();
  if (status == 200) {
    return std::move(outcome.response.body());
  }
  if (status == 404) {
    return MakeError(ErrorKind::kNotFound, server + " holds nothing of the session");
  }
  return MakeError(ErrorKind::kBackendRejected,
                   fmt::format("{} answered with status {}", server, status));
}

std::uint64_t IncarnationIn(const std::string& body) {
  boost::system::error_code error;
  const json::value document = json::parse(body, error);
  const json::object* object = error ? nullptr : document.if_object();
  const json::value* incarnation = object ? object->if_contains("incarnation") : nullptr;
  if (incarnation == nullptr || !incarnation->is_number()) {
    return 0;
  }
  return incarnation->to_number<std::uint64_t>(error);
}

}  // namespace

std::shared_ptr<SideCalls> SideCalls::Create(const ChannelParts& parts, BackendServerName server) {
  return std::shared_ptr<SideCalls>(new SideCalls(parts, std::move(server)));
}

SideCalls::SideCalls(const ChannelParts& parts, BackendServerName server)
    : m_parts(parts),
      m_server(std::move(server)),
      m_connections(parts, m_server, kMostConnections) {}

void SideCalls::Call(std::string target, std::string body, Duration timeout, Callback callback) {
  if (m_urgent.size() >= kMostUrgent) {
    boost::asio::post(m_parts.loop, [callback = std::move(callback), server = m_server] {
      callback(MakeError(ErrorKind::kOverloaded, "too many calls wait for " + server));
    });
    return;
  }
  m_urgent.push_back({std::move(target), std::move(body), timeout, std::move(callback)});
  SendNext();
}

void SideCalls::Release(const SessionName& session, AttemptNumber attempt) {
  if (m_releases.size() >= kMostReleases) {
    m_releases.pop_front();
  }
  const json::value body = {{"session", session}, {"attempt", attempt}};
  m_releases.push_back({"/v1/sessions/release", json::serialize(body), kReleaseTimeout,
                        [](const Result<std::string>&) {}});
  SendNext();
}

void SideCalls::ReadIncarnation(Duration timeout,
                                std::function<void(ExchangeFailure, std::uint64_t)> callback) {
  const auto snapshot = m_parts.snapshots.Current();
  const auto found = snapshot->servers.find(m_server);
  if (found == snapshot->servers.end()) {
    boost::asio::post(m_parts.loop, [callback = std::move(callback)] {
      callback(ExchangeFailure::kUnreachable, 0);
    });
    return;
  }
  auto connection = BackendConnection::Create(m_parts.loop, found->second.server.address);
  BackendRequest request(http::verb::get, "/v1/state", 11);
  request.keep_alive(false);
  connection->Exchange(std::move(request), timeout,
                       [callback = std::move(callback)](const ExchangeOutcome& outcome) {
                         const bool answered = outcome.failure == ExchangeFailure::kNone;
                         callback(outcome.failure,
                                  answered ? IncarnationIn(outcome.response.body()) : 0);
                       });
}

void SideCalls::SendNext() {
  while (m_in_flight < kMostConnections) {
    std::deque<PendingCall>& queue = m_urgent.empty() ? m_releases : m_urgent;
    if (queue.empty()) {
      return;
    }
    PendingCall call = std::move(queue.front());
    queue.pop_front();
    Send(std::move(call));
  }
}

void SideCalls::Send(PendingCall call) {
  ++m_in_flight;
  auto connection = m_connections.Take().connection;
  if (!connection) {
    boost::asio::post(m_parts.loop,
                      [self = shared_from_this(), callback = std::move(call.callback)] {
                        --self->m_in_flight;
                        callback(ErrorOf(ExchangeFailure::kUnreachable, self->m_server));
                        self->SendNext();
                      });
    return;
  }
  connection->Exchange(MakePost(call.target, std::move(call.body)), call.timeout,
                       [self = shared_from_this(), connection,
                        callback = std::move(call.callback)](ExchangeOutcome outcome) {
                         --self->m_in_flight;
                         self->m_connections.Keep(connection);
                         callback(ResultOf(std::move(outcome), self->m_server));
                         self->SendNext();
                       });
}

}  // namespace zinnia
