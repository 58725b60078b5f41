#include "zinnia_world/configuration/configuration.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <set>
#include <string_view>
#include <utility>

namespace zinnia {
namespace {

namespace json = boost::json;

/** Reads the fields of an entry's JSON object. Throws an ErrorException that names path and field.
    Finish() rejects unknown fields, so that misspelt ones are not ignored. */
class EntryReader {
 public:
  EntryReader(std::string path, std::string_view text) : m_path(std::move(path)) {
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    if (error || !value.is_object()) {
      Fail("", "is not a JSON object");
    }
    m_object = std::move(value.as_object());
  }

  std::string ReadString(const char* field, std::optional<std::string> fallback = std::nullopt) {
    const json::value* value = Find(field);
    if (value == nullptr) {
      return Require(field, std::move(fallback));
    }
    if (!value->is_string()) {
      Fail(field, "must be a string");
    }
    return std::string(value->as_string());
  }

  double ReadNumber(const char* field, double least, double most, std::optional<double> fallback) {
    const json::value* value = Find(field);
    if (value == nullptr) {
      return Require(field, fallback);
    }
    if (!value->is_number()) {
      Fail(field, "must be a number");
    }
    const double number = value->to_number<double>();
    if (!(number >= least && number <= most)) {
      Fail(field, fmt::format("must be from {} to {}", least, most));
    }
    return number;
  }

  std::uint32_t ReadCount(const char* field,
                          std::uint32_t least,
                          std::uint32_t most,
                          std::optional<std::uint32_t> fallback) {
    const json::value* value = Find(field);
    if (value == nullptr) {
      return Require(field, fallback);
    }
    if (!value->is_int64() || value->as_int64() < least || value->as_int64() > most) {
      Fail(field, fmt::format("must be a whole number from {} to {}", least, most));
    }
    return static_cast<std::uint32_t>(value->as_int64());
  }

  bool ReadFlag(const char* field, bool fallback) {
    const json::value* value = Find(field);
    if (value == nullptr) {
      return fallback;
    }
    if (!value->is_bool()) {
      Fail(field, "must be true or false");
    }
    return value->as_bool();
  }

  std::vector<std::string> ReadStrings(const char* field, std::vector<std::string> fallback) {
    const json::value* value = Find(field);
    if (value == nullptr) {
      return fallback;
    }
    return ToStrings(field, *value);
  }

  std::vector<PipelineStage> ReadStages(const char* field) {
    const json::value* value = Find(field);
    if (value == nullptr || !value->is_array() || value->as_array().empty()) {
      Fail(field, "must be a list of stages");
    }
    std::vector<PipelineStage> stages;
    for (const json::value& item : value->as_array()) {
      stages.push_back(ToStage(field, item));
    }
    return stages;
  }

  void Finish() const {
    for (const auto& member : m_object) {
      if (!m_known_fields.contains(std::string(member.key()))) {
        Fail(std::string(member.key()), "is not a known field");
      }
    }
  }

  [[noreturn]] void Fail(const std::string& field, const std::string& what) const {
    const std::string where = field.empty() ? m_path : m_path + "." + field;
    throw ErrorException(MakeError(ErrorKind::kInvalidRequest, where + " " + what));
  }

 private:
  const json::value* Find(const char* field) {
    m_known_fields.insert(field);
    return m_object.if_contains(field);
  }

  template <typename Value>
  Value Require(const char* field, std::optional<Value> fallback) const {
    if (!fallback) {
      Fail(field, "is missing");
    }
    return std::move(*fallback);
  }

  std::vector<std::string> ToStrings(const std::string& field, const json::value& value) const {
    if (!value.is_array()) {
      Fail(field, "must be a list of strings");
    }
    std::vector<std::string> strings;
    for (const json::value& item : value.as_array()) {
      if (!item.is_string()) {
        Fail(field, "must be a list of strings");
      }
      strings.emplace_back(item.as_string());
    }
    return strings;
  }

  PipelineStage ToStage(const std::string& field, const json::value& item) const {
    const json::object* object = item.if_object();
    const json::value* first = object ? object->if_contains("first_layer") : nullptr;
    const json::value* end = object ? object->if_contains("end_layer") : nullptr;
    const json::value* replicas = object ? object->if_contains("replicas") : nullptr;
    const bool complete = first && end && replicas && first->is_int64() && end->is_int64();
    if (!complete || object->size() != 3 || first->as_int64() < 0 ||
        end->as_int64() <= first->as_int64()) {
      Fail(field, "needs exactly first_layer, end_layer (above it) and replicas in each stage");
    }
    PipelineStage stage;
    stage.layers = {static_cast<std::uint32_t>(first->as_int64()),
                    static_cast<std::uint32_t>(end->as_int64())};
    stage.replicas = ToStrings(field + ".replicas", *replicas);
    return stage;
  }

  std::string m_path;
  json::object m_object;
  std::set<std::string> m_known_fields;
};

constexpr double kMostWeight = 1'000'000.0;
constexpr std::uint32_t kMostLayers = 10'000;
constexpr std::uint32_t kMostTokens = 1'000'000;

Organisation ReadOrganisation(EntryReader& reader, std::string name) {
  Organisation organisation;
  organisation.name = std::move(name);
  organisation.key_digests = reader.ReadStrings("key_digests", {});
  organisation.weight = reader.ReadNumber("weight", 0.001, kMostWeight, 1.0);
  organisation.priority = reader.ReadCount("priority", 0, 9, 1);
  organisation.requests_per_second = reader.ReadNumber("requests_per_second", 0, 1e9, 0.0);
  organisation.concurrent_requests = reader.ReadCount("concurrent_requests", 0, kMostTokens, 0);
  return organisation;
}

Model ReadModel(EntryReader& reader, std::string name) {
  Model model;
  model.name = std::move(name);
  model.version = reader.ReadString("version");
  model.layers = reader.ReadCount("layers", 1, kMostLayers, std::nullopt);
  model.max_tokens = reader.ReadCount("max_tokens", 1, kMostTokens, 1024);
  model.credit_weight = reader.ReadNumber("credit_weight", 0, kMostWeight, 1.0);
  return model;
}

Pipeline ReadPipeline(EntryReader& reader, std::string name) {
  Pipeline pipeline;
  pipeline.name = std::move(name);
  pipeline.model = reader.ReadString("model");
  pipeline.version = reader.ReadString("version");
  pipeline.draining = reader.ReadFlag("draining", false);
  pipeline.stages = reader.ReadStages("stages");
  std::uint32_t next_layer = 0;
  for (const PipelineStage& stage : pipeline.stages) {
    if (stage.layers.first != next_layer) {
      reader.Fail("stages", fmt::format("must follow each other: expected first_layer {}, found {}",
                                        next_layer, stage.layers.first));
    }
    next_layer = stage.layers.end;
  }
  return pipeline;
}

ServiceContract ReadService(EntryReader& reader, std::string name) {
  ServiceContract service;
  service.name = std::move(name);
  service.path_prefix = reader.ReadString("path_prefix");
  if (service.path_prefix.empty() || service.path_prefix.front() != '/') {
    reader.Fail("path_prefix", "must start with /");
  }
  service.servers = reader.ReadStrings("servers", {});
  service.non_idempotent_methods =
      reader.ReadStrings("non_idempotent_methods", service.non_idempotent_methods);
  service.requires_idempotency_key = reader.ReadFlag("requires_idempotency_key", false);
  service.timeout = std::chrono::milliseconds(reader.ReadCount("timeout_ms", 1, 3'600'000, 10'000));
  service.credit_weight = reader.ReadNumber("credit_weight", 0, kMostWeight, 1.0);
  return service;
}

ServerOrder ReadServerOrder(EntryReader& reader, std::string name) {
  ServerOrder order;
  order.server = std::move(name);
  order.weight = reader.ReadNumber("weight", 0, kMostWeight, 1.0);
  order.drain = reader.ReadFlag("drain", false);
  const std::string model = reader.ReadString("desired_model", "");
  if (!model.empty()) {
    order.desired_model = model;
    order.desired_version = reader.ReadString("desired_version");
    order.desired_first_layer =
        reader.ReadCount("desired_first_layer", 0, kMostLayers, std::nullopt);
    order.desired_end_layer = reader.ReadCount("desired_end_layer", 1, kMostLayers, std::nullopt);
  }
  return order;
}

Link ReadLink(EntryReader& reader, const std::string& name) {
  const auto slash = name.find('/');
  if (slash == std::string::npos) {
    reader.Fail("", "must be named link/FROM/TO");
  }
  Link link;
  link.from = name.substr(0, slash);
  link.to = name.substr(slash + 1);
  link.one_way =
      std::chrono::microseconds(reader.ReadCount("one_way_us", 0, 60'000'000, std::nullopt));
  link.bytes_per_second = reader.ReadNumber("bytes_per_second", 1, 1e15, std::nullopt);
  return link;
}

std::pair<std::string, std::string> SplitPath(const std::string& path) {
  const auto slash = path.find('/');
  if (slash == std::string::npos || slash + 1 == path.size()) {
    throw ErrorException(
        MakeError(ErrorKind::kInvalidRequest, path + " is not a path: write KIND/NAME"));
  }
  return {path.substr(0, slash), path.substr(slash + 1)};
}

}  // namespace

Result<Configuration> Configuration::Parse(
    ConfigurationRevision revision,
    const std::map<std::string, ConfigurationEntry>& entries) {
  try {
    Configuration configuration;
    configuration.m_revision = revision;
    for (const auto& [path, entry] : entries) {
      if (entry.value) {
        configuration.Add(path, *entry.value);
      }
    }
    return configuration;
  } catch (const ErrorException& exception) {
    return exception.GetError();
  }
}

Result<Configuration> Configuration::WithChanges(
    ConfigurationRevision revision,
    const std::vector<ConfigurationEntry>& changes) const {
  try {
    Configuration configuration = *this;
    configuration.m_revision = revision;
    for (const ConfigurationEntry& change : changes) {
      configuration.Remove(change.path);
    }
    for (const ConfigurationEntry& change : changes) {
      if (change.value) {
        configuration.Add(change.path, *change.value);
      }
    }
    return configuration;
  } catch (const ErrorException& exception) {
    return exception.GetError();
  }
}

void Configuration::Add(const std::string& path, const std::string& value) {
  auto [kind, name] = SplitPath(path);
  EntryReader reader(path, value);
  if (kind == "organisation") {
    AddOrganisation(ReadOrganisation(reader, name), path);
  } else if (kind == "model") {
    m_models.emplace(name, ReadModel(reader, name));
  } else if (kind == "pipeline") {
    m_pipelines.emplace(name, ReadPipeline(reader, name));
  } else if (kind == "service") {
    m_services.emplace(name, ReadService(reader, name));
  } else if (kind == "server") {
    m_server_orders.emplace(name, ReadServerOrder(reader, name));
  } else if (kind == "link") {
    m_links.push_back(ReadLink(reader, name));
  } else {
    reader.Fail("", "is of no known kind: organisation, model, pipeline, service, server, link");
  }
  reader.Finish();
}

void Configuration::AddOrganisation(Organisation organisation, const std::string& path) {
  for (const std::string& digest : organisation.key_digests) {
    if (!m_organisations_by_key_digest.emplace(digest, organisation.name).second) {
      throw ErrorException(
          MakeError(ErrorKind::kInvalidRequest,
                    path + ".key_digests holds a key that another organisation has"));
    }
  }
  const OrganisationName name = organisation.name;
  m_organisations.emplace(name, std::move(organisation));
}

void Configuration::Remove(const std::string& path) {
  const auto [kind, name] = SplitPath(path);
  if (kind == "organisation") {
    std::erase_if(m_organisations_by_key_digest,
                  [&name = name](const auto& row) { return row.second == name; });
    m_organisations.erase(name);
  } else if (kind == "model") {
    m_models.erase(name);
  } else if (kind == "pipeline") {
    m_pipelines.erase(name);
  } else if (kind == "service") {
    m_services.erase(name);
  } else if (kind == "server") {
    m_server_orders.erase(name);
  } else if (kind == "link") {
    std::erase_if(m_links,
                  [&name = name](const Link& link) { return link.from + "/" + link.to == name; });
  }
}

const Organisation* Configuration::FindOrganisationByKeyDigest(const std::string& digest) const {
  const auto found = m_organisations_by_key_digest.find(digest);
  return found == m_organisations_by_key_digest.end() ? nullptr
                                                      : &m_organisations.at(found->second);
}

Result<void> CheckConfigurationEntry(const std::string& path, const std::string& json) {
  const auto parsed = Configuration::Parse(0, {{path, {path, 0, json}}});
  if (!parsed) {
    return parsed.error();
  }
  return {};
}

}  // namespace zinnia
