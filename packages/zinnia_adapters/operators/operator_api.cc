#include "zinnia_adapters/operators/operator_api.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>
#include <boost/json.hpp>
#include <optional>
#include <utility>

#include "zinnia_adapters/http/problem_status.h"
#include "zinnia_adapters/language/command_parser.h"
#include "zinnia_adapters/metrics/histogram_metrics.h"
#include "zinnia_adapters/operators/problem_document.h"
#include "zinnia_adapters/operators/readiness_probe.h"
#include "zinnia_decisions/operators/operator_desk.h"

namespace zinnia {
namespace {

namespace json = boost::json;

constexpr std::string_view kBearer = "Bearer ";
constexpr std::size_t kMostChangeIdBytes = 128;

using Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

Digest Sha256(std::string_view text) {
  Digest digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
  return digest;
}

/** Compares digests of equal length in constant time: the time of a plain comparison would tell an
    attacker how many leading bytes of a guessed key, or what length, are right. */
bool IsSameSecret(std::string_view left, std::string_view right) {
  const Digest left_digest = Sha256(left);
  const Digest right_digest = Sha256(right);
  return CRYPTO_memcmp(left_digest.data(), right_digest.data(), left_digest.size()) == 0;
}

/** The body of POST /v1/commands. */
struct CommandBody {
  std::string command;
  OutputFormat format = OutputFormat::kTable;
  std::string change_id;
};

Error BodyError(std::string message) {
  Error error = MakeError(ErrorKind::kInvalidRequest, std::move(message));
  error.remedy = R"(send {"command":"...","format":"table" or "json","change_id":"..."})";
  return error;
}

/** Takes one string field out of the body; gives an empty one if it is absent. */
Result<std::string> TakeString(json::object& object, const char* field) {
  const json::value* value = object.if_contains(field);
  if (value == nullptr) {
    return std::string();
  }
  if (!value->is_string()) {
    return BodyError(fmt::format("{} must be a string", field));
  }
  std::string text(value->as_string());
  object.erase(field);
  return text;
}

Result<CommandBody> ParseBody(const std::string& text) {
  boost::system::error_code parse_error;
  json::value value = json::parse(text, parse_error);
  if (parse_error || !value.is_object()) {
    return BodyError("the body is not a JSON object");
  }
  json::object& object = value.as_object();
  const Result<std::string> command = TakeString(object, "command");
  const Result<std::string> format = TakeString(object, "format");
  const Result<std::string> change_id = TakeString(object, "change_id");
  for (const auto* field : {&command, &format, &change_id}) {
    if (!*field) {
      return field->error();
    }
  }
  if (!object.empty()) {
    return BodyError(fmt::format("{} is not a known field", std::string(object.begin()->key())));
  }
  const auto known_format = OutputFormatFromName(format->empty() ? "table" : *format);
  if (!known_format || change_id->size() > kMostChangeIdBytes) {
    return BodyError(known_format ? "change_id is too long" : "format must be table or json");
  }
  return CommandBody{*command, *known_format, *change_id};
}

/** Towards operators 409 tells of a revision conflict and nothing else, so that an unknown outcome
   is not taken for a change that certainly did not happen. */
unsigned OperatorStatusOf(ErrorKind kind) {
  constexpr unsigned kGatewayTimeout = 504;
  const bool unknown =
      kind == ErrorKind::kOutcomeUnknown || kind == ErrorKind::kStoreOutcomeUnknown;
  return unknown ? kGatewayTimeout : HttpStatusOf(kind);
}

OperatorResponse ToResponse(const CommandReply& reply) {
  const bool is_json = reply.format == OutputFormat::kJson;
  return {200, is_json ? "application/json" : "text/plain; charset=utf-8", reply.text};
}

}  // namespace

OperatorResponse ToResponse(const Error& error) {
  const unsigned status = OperatorStatusOf(error.kind);
  return {status, "application/problem+json", WriteProblem(error, status)};
}

OperatorApi::OperatorApi(OperatorDesk& desk,
                         const HistogramMetrics& metrics,
                         const ReadinessProbe& readiness,
                         const OperatorServerOptions& options)
    : m_desk(desk),
      m_metrics(metrics),
      m_readiness(readiness),
      m_operator_key(options.operator_key),
      m_metrics_need_key(options.metrics_need_key),
      m_change_id_prefix(options.change_id_prefix),
      m_executor(desk) {}

void OperatorApi::Handle(const OperatorRequest& request, const Callback& callback) {
  const std::string_view target = request.target;
  const auto question_mark = target.find('?');
  const std::string_view path = target.substr(0, question_mark);
  const std::string call = fmt::format("{} {}", request.method, path);
  if (call == "GET /healthz") {
    callback({200, "text/plain; charset=utf-8", "ok\n"});
    return;
  }
  if (call == "GET /ready") {
    callback(HandleReady());
    return;
  }
  const bool is_metrics = call == "GET /metrics";
  if ((!is_metrics || m_metrics_need_key) && !HasKey(request)) {
    Error error = MakeError(ErrorKind::kUnauthorized, "the operators' key is missing or wrong");
    error.remedy = "send 'Authorization: Bearer KEY' with the key of operator_key_file";
    callback(ToResponse(error));
  } else if (is_metrics) {
    callback(HandleMetrics(question_mark == std::string_view::npos
                               ? std::string_view()
                               : target.substr(question_mark + 1)));
  } else if (call == "POST /v1/commands") {
    HandleCommand(request, callback);
  } else if (call == "GET /v1/revision") {
    HandleRevision(callback);
  } else {
    Error error = MakeError(ErrorKind::kNotFound, fmt::format("there is no {}", call));
    error.remedy = "use POST /v1/commands, GET /v1/revision, /metrics, /ready or /healthz";
    callback(ToResponse(error));
  }
}

bool OperatorApi::HasKey(const OperatorRequest& request) const {
  const std::string_view authorization = request.authorization;
  return authorization.starts_with(kBearer) &&
         IsSameSecret(authorization.substr(kBearer.size()), m_operator_key);
}

void OperatorApi::HandleCommand(const OperatorRequest& request, const Callback& callback) {
  const Result<CommandBody> body = ParseBody(request.body);
  if (!body) {
    callback(ToResponse(body.error()));
    return;
  }
  Result<Command> command = ParseCommand(body->command);
  if (!command) {
    callback(ToResponse(command.error()));
    return;
  }
  const std::string change_id = body->change_id.empty() ? NextChangeId() : body->change_id;
  m_executor.Execute(std::move(*command), {body->format, request.peer, change_id},
                     [callback](const Result<CommandReply>& reply) {
                       callback(reply ? ToResponse(*reply) : ToResponse(reply.error()));
                     });
}

void OperatorApi::HandleRevision(const Callback& callback) {
  m_desk.CurrentEntry("", [callback](const Result<CurrentConfigurationEntry>& current) {
    if (!current) {
      callback(ToResponse(current.error()));
      return;
    }
    const json::object answer{{"revision", current->revision}};
    callback({200, "application/json", json::serialize(answer) + "\n"});
  });
}

OperatorResponse OperatorApi::HandleMetrics(std::string_view query) const {
  constexpr std::string_view kOrganisation = "organisation=";
  std::string organisation;
  if (query.starts_with(kOrganisation)) {
    organisation = query.substr(kOrganisation.size());
  }
  return {200, "text/plain; version=0.0.4; charset=utf-8", m_metrics.WriteText(organisation)};
}

OperatorResponse OperatorApi::HandleReady() const {
  const Result<void> ready = m_readiness.CheckReady();
  if (ready) {
    return {200, "text/plain; charset=utf-8", "ready\n"};
  }
  constexpr unsigned kServiceUnavailable = 503;
  return {kServiceUnavailable, "application/problem+json",
          WriteProblem(ready.error(), kServiceUnavailable)};
}

std::string OperatorApi::NextChangeId() {
  return fmt::format("{}-{}", m_change_id_prefix, ++m_changes);
}

}  // namespace zinnia
