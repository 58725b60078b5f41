#include "zinnia_adapters/settings/forwarding_settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cstdint>
#include <limits>

#include "zinnia_adapters/settings/text_file.h"

namespace zinnia {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

/** Less would break off sound answers. */
constexpr std::size_t kLeastBoundBytes = 1'024;
constexpr std::size_t kLargestBound = std::numeric_limits<std::uint32_t>::max();
constexpr double kMillisecondsPerSecond = 1'000.0;

struct LogLevelRow {
  std::string_view name;
  LogLevel level;
};

constexpr std::array kLogLevels = {
    LogLevelRow{"debug", LogLevel::kDebug},
    LogLevelRow{"info", LogLevel::kInfo},
    LogLevelRow{"warning", LogLevel::kWarning},
    LogLevelRow{"error", LogLevel::kError},
};

[[noreturn]] void Reject(std::string_view field, std::string_view expected) {
  throw ErrorException(
      MakeError(ErrorKind::kInvalidSettings,
                "the field " + std::string(field) + " must be " + std::string(expected)));
}

/** Reads fields of the settings object; throws ErrorException naming the one that is wrong. */
class SettingsFields {
 public:
  explicit SettingsFields(const json::object& object) : m_object(object) {}

  std::string Text(std::string_view name) const {
    const json::value* value = m_object.if_contains(name);
    if (value == nullptr || !value->is_string() || value->as_string().empty()) {
      Reject(name, "a text that is not empty");
    }
    return std::string(value->as_string());
  }

  NetworkAddress Address(std::string_view name) const { return ToAddress(name, Text(name)); }

  std::optional<NetworkAddress> OptionalAddress(std::string_view name) const {
    const json::value* value = m_object.if_contains(name);
    if (value == nullptr || value->is_null()) {
      return std::nullopt;
    }
    return Address(name);
  }

  double NumberOr(std::string_view name, double otherwise, double least) const {
    const json::value* value = m_object.if_contains(name);
    if (value == nullptr || value->is_null()) {
      return otherwise;
    }
    if (!value->is_number() || value->to_number<double>() < least) {
      Reject(name, "a number of at least " + std::to_string(least));
    }
    return value->to_number<double>();
  }

  std::size_t WholeNumberOr(std::string_view name,
                            std::size_t otherwise,
                            std::size_t least,
                            std::string_view unit) const {
    const json::value* value = m_object.if_contains(name);
    if (value == nullptr || value->is_null()) {
      return otherwise;
    }
    boost::system::error_code error;
    const auto number = value->is_number() ? value->to_number<std::uint64_t>(error) : 0;
    if (error || number < least || number > kLargestBound) {
      Reject(name, fmt::format("a whole number of {} from {} to {}", unit, least, kLargestBound));
    }
    return number;
  }

  bool FlagOr(std::string_view name, bool otherwise) const {
    const json::value* value = m_object.if_contains(name);
    if (value == nullptr || value->is_null()) {
      return otherwise;
    }
    if (!value->is_bool()) {
      Reject(name, "true or false");
    }
    return value->as_bool();
  }

  std::vector<NetworkAddress> AddressesOr(std::string_view name) const {
    std::vector<NetworkAddress> addresses;
    const json::value* value = m_object.if_contains(name);
    if (value == nullptr || value->is_null()) {
      return addresses;
    }
    if (!value->is_array()) {
      Reject(name, "a list of \"IP:PORT\"");
    }
    for (const json::value& item : value->as_array()) {
      if (!item.is_string()) {
        Reject(name, "a list of \"IP:PORT\"");
      }
      addresses.push_back(ToAddress(name, std::string(item.as_string())));
    }
    return addresses;
  }

  LogLevel LogLevelOr(std::string_view name, LogLevel otherwise) const {
    const json::value* value = m_object.if_contains(name);
    if (value == nullptr || value->is_null()) {
      return otherwise;
    }
    for (const LogLevelRow& row : kLogLevels) {
      if (value->is_string() && value->as_string() == row.name) {
        return row.level;
      }
    }
    Reject(name, "debug, info, warning or error");
  }

 private:
  static NetworkAddress ToAddress(std::string_view name, const std::string& text) {
    const auto address = NetworkAddress::Parse(text);
    if (!address) {
      Reject(name, "\"IP:PORT\", not \"" + text + "\"");
    }
    return *address;
  }

  const json::object& m_object;
};

milliseconds FromSeconds(double seconds) {
  return milliseconds(static_cast<std::int64_t>(seconds * kMillisecondsPerSecond));
}

constexpr std::array<std::string_view, 27> kFieldNames = {
    "instance",
    "failure_domain",
    "region",
    "callers_address",
    "readiness_address",
    "peer_address",
    "peer_requests_address",
    "metrics_address",
    "store_address",
    "seeds",
    "cores",
    "link_mbps",
    "stop_grace_seconds",
    "departure_notice_ms",
    "change_bound_ms",
    "retry_budget_ratio",
    "retry_budget_slack",
    "retry_budget_window_seconds",
    "answer_head_bytes",
    "answer_interim_heads",
    "answer_interim_bytes",
    "answer_line_bytes",
    "answer_event_bytes",
    "answer_body_bytes",
    "answers_in_hand_bytes",
    "engines_check_fencing",
    "log_level",
};

/** A misspelt field would leave its default in force, and nobody would notice. */
void RejectUnknownFields(const json::object& object) {
  for (const auto& field : object) {
    const std::string_view name(field.key().data(), field.key().size());
    if (std::find(kFieldNames.begin(), kFieldNames.end(), name) == kFieldNames.end()) {
      throw ErrorException(MakeError(
          ErrorKind::kInvalidSettings,
          "the field " + std::string(name) + " is not known: remove it, or correct its name"));
    }
  }
}

AnswerLimits ReadAnswerLimits(const SettingsFields& fields) {
  const auto bytes = [&fields](std::string_view name, std::size_t otherwise) {
    return fields.WholeNumberOr(name, otherwise, kLeastBoundBytes, "bytes");
  };
  AnswerLimits limits;
  limits.head_bytes = bytes("answer_head_bytes", limits.head_bytes);
  limits.interim_heads =
      fields.WholeNumberOr("answer_interim_heads", limits.interim_heads, 1, "heads");
  limits.interim_bytes = bytes("answer_interim_bytes", limits.interim_bytes);
  limits.line_bytes = bytes("answer_line_bytes", limits.line_bytes);
  limits.event_bytes = bytes("answer_event_bytes", limits.event_bytes);
  limits.body_bytes = bytes("answer_body_bytes", limits.body_bytes);
  return limits;
}

ForwardingSettings Read(const SettingsFields& fields) {
  ForwardingSettings settings;
  settings.instance = fields.Text("instance");
  settings.failure_domain = fields.Text("failure_domain");
  settings.region = fields.Text("region");
  settings.callers_address = fields.Address("callers_address");
  settings.readiness_address = fields.Address("readiness_address");
  settings.peer_address = fields.Address("peer_address");
  settings.peer_requests_address = fields.OptionalAddress("peer_requests_address");
  if (settings.peer_requests_address &&
      settings.peer_requests_address->ip != settings.peer_address.ip) {
    Reject("peer_requests_address", "at the IP number of peer_address");
  }
  settings.metrics_address = fields.Address("metrics_address");
  settings.store_address = fields.Address("store_address");
  settings.seeds = fields.AddressesOr("seeds");
  settings.cores = fields.NumberOr("cores", 0.0, 0.0);
  settings.link_mbps = fields.NumberOr("link_mbps", 0.0, 0.0);
  settings.stop_grace = FromSeconds(fields.NumberOr("stop_grace_seconds", 8.0, 1.0));
  settings.departure_notice =
      milliseconds(static_cast<std::int64_t>(fields.NumberOr("departure_notice_ms", 2'000.0, 0.0)));
  settings.change_bound =
      milliseconds(static_cast<std::int64_t>(fields.NumberOr("change_bound_ms", 2'000.0, 1.0)));
  settings.retry_budget_ratio = fields.NumberOr("retry_budget_ratio", 0.2, 0.0);
  settings.retry_budget_slack = fields.NumberOr("retry_budget_slack", 0.0, 0.0);
  settings.retry_budget_window =
      FromSeconds(fields.NumberOr("retry_budget_window_seconds", 10.0, 0.1));
  settings.answer_limits = ReadAnswerLimits(fields);
  settings.answers_in_hand_bytes = fields.WholeNumberOr(
      "answers_in_hand_bytes", settings.answers_in_hand_bytes, kLeastBoundBytes, "bytes");
  if (settings.answers_in_hand_bytes < settings.answer_limits.body_bytes) {
    Reject("answers_in_hand_bytes",
           fmt::format("at least answer_body_bytes = {}: one answer must fit",
                       settings.answer_limits.body_bytes));
  }
  settings.engines_check_fencing = fields.FlagOr("engines_check_fencing", true);
  settings.log_level = fields.LogLevelOr("log_level", LogLevel::kInfo);
  return settings;
}

}  // namespace

std::span<const std::string_view> ForwardingSettings::FieldNames() {
  return kFieldNames;
}

Result<ForwardingSettings> ForwardingSettings::Load(const std::string& file) {
  const auto text = ReadTextFile(file);
  if (!text) {
    return text.error();
  }
  return Parse(*text);
}

Result<ForwardingSettings> ForwardingSettings::Parse(const std::string& text) {
  boost::system::error_code error;
  const json::value value = json::parse(text, error);
  if (error || !value.is_object()) {
    return MakeError(ErrorKind::kInvalidSettings,
                     "the settings are not a JSON object: " + error.message());
  }
  try {
    RejectUnknownFields(value.as_object());
    return Read(SettingsFields(value.as_object()));
  } catch (const ErrorException& failure) {
    return failure.GetError();
  }
}

}  // namespace zinnia
