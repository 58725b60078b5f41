#include "zinnia_adapters/platform/http_engine_orders.h"

#include <boost/json.hpp>

#include <utility>

#include "zinnia_adapters/http/http_client.h"
#include "zinnia_adapters/platform/json_fields.h"

namespace zinnia {
namespace {

namespace json = boost::json;

constexpr unsigned kOk = 200;
constexpr unsigned kAccepted = 202;
constexpr unsigned kConflictStatus = 409;
constexpr unsigned kFirstServerError = 500;
constexpr unsigned kServiceUnavailable = 503;

std::string BodyOf(const LoadOrder& order) {
  return json::serialize(json::object{{"order", "load"},
                                      {"order_id", order.order_id},
                                      {"model", order.target.model},
                                      {"version", order.target.version},
                                      {"first_layer", order.target.layers.first},
                                      {"end_layer", order.target.layers.end},
                                      {"epoch", order.epoch},
                                      {"valid_for_ms", order.valid_for.count()}});
}

Error ErrorOf(const BackendServerName& server, const HttpFailure& failure) {
  const auto kind = failure.stage == HttpFailureStage::kNotSent ? ErrorKind::kBackendUnavailable
                                                                : ErrorKind::kOutcomeUnknown;
  return MakeError(kind, "order to " + server + ": " + failure.message);
}

ErrorKind KindOfStatus(unsigned status) {
  if (status == kConflictStatus) {
    return ErrorKind::kStaleEpoch;
  }
  if (status == kServiceUnavailable) {
    return ErrorKind::kBackendUnavailable;
  }
  return status >= kFirstServerError ? ErrorKind::kOutcomeUnknown : ErrorKind::kBackendRejected;
}

Result<void> OutcomeOf(const BackendServerName& server, const HttpResult& result) {
  if (result.has_error()) {
    return ErrorOf(server, result.error());
  }
  if (result->status == kOk || result->status == kAccepted) {
    return {};
  }
  return MakeError(KindOfStatus(result->status),
                   "order to " + server + ": status " + std::to_string(result->status));
}

std::optional<LoadedRange> ReadRange(const JsonFields& fields) {
  if (fields.Find("model") == nullptr) {
    return std::nullopt;
  }
  return LoadedRange{fields.Text("model"),
                     fields.Text("version"),
                     {fields.SmallNumber("first_layer"), fields.SmallNumber("end_layer")}};
}

EngineState ReadEngineState(const JsonFields& fields) {
  EngineState state;
  state.loaded = ReadRange(fields);
  if (const json::value* loading = fields.Find("loading")) {
    state.loading = ReadRange(JsonFields(*loading));
  }
  state.leaving = fields.FlagOr("leaving", false);
  state.checks_fencing = fields.FlagOr("checks_fencing", false);
  state.highest_epoch = fields.Number("highest_epoch");
  state.incarnation = fields.Number("incarnation");
  if (const json::value* load = fields.Find("load")) {
    state.running = JsonFields(*load).SmallNumber("running");
    state.queued = JsonFields(*load).SmallNumber("queued");
  }
  return state;
}

Result<EngineState> StateOf(const BackendServerName& server, const HttpResult& result) {
  if (result.has_error()) {
    return MakeError(ErrorKind::kBackendUnavailable,
                     "state of " + server + ": " + result.error().message);
  }
  if (result->status != kOk) {
    return MakeError(ErrorKind::kBackendUnavailable,
                     "state of " + server + ": status " + std::to_string(result->status));
  }
  return ParseAnswer(result->body, ErrorKind::kBackendUnavailable, &ReadEngineState);
}

Error UnknownServer(const BackendServerName& server) {
  return MakeError(ErrorKind::kNotFound, "no address is known of backend server " + server);
}

}  // namespace

HttpEngineOrders::HttpEngineOrders(std::shared_ptr<HttpClient> client,
                                   std::function<void(std::function<void()>)> post,
                                   AddressBook address_book,
                                   Duration time_limit)
    : m_client(std::move(client)),
      m_post(std::move(post)),
      m_address_book(std::move(address_book)),
      m_time_limit(time_limit) {}

void HttpEngineOrders::Order(const BackendServerName& server,
                             LoadOrder order,
                             std::function<void(Result<void>)> callback) {
  const auto address = m_address_book(server);
  if (!address) {
    m_post([callback = std::move(callback), server] { callback(UnknownServer(server)); });
    return;
  }
  HttpRequest request{"POST", "/v1/orders", {{"Content-Type", "application/json"}}, BodyOf(order)};
  m_client->Send(*address, std::move(request), m_time_limit,
                 [server, callback = std::move(callback)](const HttpResult& result) {
                   callback(OutcomeOf(server, result));
                 });
}

void HttpEngineOrders::ReadState(const BackendServerName& server,
                                 std::function<void(Result<EngineState>)> callback) {
  const auto address = m_address_book(server);
  if (!address) {
    m_post([callback = std::move(callback), server] { callback(UnknownServer(server)); });
    return;
  }
  HttpRequest request;
  request.target = "/v1/state";
  request.repeatable = true;
  m_client->Send(*address, std::move(request), m_time_limit,
                 [server, callback = std::move(callback)](const HttpResult& result) {
                   callback(StateOf(server, result));
                 });
}

}  // namespace zinnia
