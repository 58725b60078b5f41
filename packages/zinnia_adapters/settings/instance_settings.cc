#include "zinnia_adapters/settings/instance_settings.h"

#include <boost/json.hpp>
#include <utility>

#include "zinnia_adapters/settings/settings_checker.h"
#include "zinnia_adapters/settings/text_file.h"

namespace zinnia {
namespace {

namespace json = boost::json;

/** Reads fields whose types the schema has already checked; absent ones keep their default. */
class CheckedReader {
 public:
  explicit CheckedReader(const json::object& object) : m_object(object) {}

  void Read(const char* field, std::string& target) const {
    if (const json::value* value = m_object.if_contains(field)) {
      target = std::string(value->as_string());
    }
  }
  void Read(const char* field, bool& target) const {
    if (const json::value* value = m_object.if_contains(field)) {
      target = value->as_bool();
    }
  }
  template <typename Integer>
  void ReadInteger(const char* field, Integer& target) const {
    if (const json::value* value = m_object.if_contains(field)) {
      target = value->to_number<Integer>();
    }
  }
  void Read(const char* field, NetworkAddress& target) const {
    target = NetworkAddress::Parse(std::string(m_object.at(field).as_string())).value();
  }
  void Read(const char* field, std::vector<NetworkAddress>& target) const {
    if (const json::value* value = m_object.if_contains(field)) {
      for (const json::value& item : value->as_array()) {
        target.push_back(NetworkAddress::Parse(std::string(item.as_string())).value());
      }
    }
  }

 private:
  const json::object& m_object;
};

LogLevel ToLogLevel(const std::string& name) {
  if (name == "debug") {
    return LogLevel::kDebug;
  }
  if (name == "warning") {
    return LogLevel::kWarning;
  }
  return name == "error" ? LogLevel::kError : LogLevel::kInfo;
}

void ReadNamesAndAddresses(const CheckedReader& reader, InstanceSettings& settings) {
  reader.Read("instance", settings.instance);
  reader.Read("region", settings.region);
  reader.Read("failure_domain", settings.failure_domain);
  reader.Read("callers_address", settings.callers_address);
  reader.Read("operators_address", settings.operators_address);
  reader.Read("peer_address", settings.peer_address);
  reader.Read("store_addresses", settings.store_addresses);
  reader.Read("instance_list_address", settings.instance_list_address);
  reader.Read("seeds", settings.seeds);
  reader.Read("cluster_secret_file", settings.cluster_secret_file);
  reader.Read("resume_secret_file", settings.resume_secret_file);
  reader.Read("operator_key_file", settings.operator_key_file);
}

void ReadLimits(const json::object& object, InstanceLimits& limits) {
  const json::value* value = object.if_contains("limits");
  if (value == nullptr) {
    return;
  }
  const CheckedReader reader(value->as_object());
  reader.ReadInteger("max_body_bytes", limits.max_body_bytes);
  reader.ReadInteger("max_header_bytes", limits.max_header_bytes);
  reader.ReadInteger("max_sessions", limits.max_sessions);
  reader.ReadInteger("max_connections", limits.max_connections);
}

Error ToError(const std::vector<SettingsFault>& faults) {
  std::string message;
  for (const SettingsFault& fault : faults) {
    message += (message.empty() ? "" : "; ") + Describe(fault);
  }
  return MakeError(ErrorKind::kInvalidSettings, std::move(message));
}

}  // namespace

Result<InstanceSettings> InstanceSettings::Parse(const std::string& text) {
  const std::vector<SettingsFault> faults = CheckSettings(text);
  if (!faults.empty()) {
    return ToError(faults);
  }
  const json::value value = json::parse(text);
  const json::object& object = value.as_object();
  const CheckedReader reader(object);
  InstanceSettings settings;
  ReadNamesAndAddresses(reader, settings);
  std::string log_level;
  reader.Read("log_level", log_level);
  settings.log_level = ToLogLevel(log_level);
  reader.ReadInteger("traffic_threads", settings.traffic_threads);
  std::int64_t drain_ms = settings.drain_timeout.count();
  reader.ReadInteger("drain_timeout_ms", drain_ms);
  settings.drain_timeout = std::chrono::milliseconds(drain_ms);
  reader.Read("metrics_need_key", settings.metrics_need_key);
  ReadLimits(object, settings.limits);
  return settings;
}

Result<InstanceSettings> InstanceSettings::Load(const std::string& file_name) {
  const Result<std::string> text = ReadTextFile(file_name);
  if (!text) {
    return text.error();
  }
  return Parse(*text);
}

}  // namespace zinnia
