#pragma once

#include <map>
#include <string>
#include <vector>

#include "zinnia_base/errors/result.h"
#include "zinnia_world/configuration/configuration_delta.h"
#include "zinnia_world/contracts/model.h"
#include "zinnia_world/contracts/organisation.h"
#include "zinnia_world/contracts/service_contract.h"
#include "zinnia_world/fleet/link.h"
#include "zinnia_world/fleet/pipeline.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** An operator's settings for one backend server: its weight for new requests, whether it drains
    and the model layers that it should load. */
struct ServerOrder {
  BackendServerName server;
  double weight = 1.0;
  bool drain = false;
  std::optional<std::string> desired_model;
  std::optional<std::string> desired_version;
  std::uint32_t desired_first_layer = 0;
  std::uint32_t desired_end_layer = 0;

  bool operator==(const ServerOrder&) const = default;
};

/** The accepted configuration at one revision, in parsed form. Immutable.

    Paths: organisation/NAME, model/NAME, pipeline/NAME, service/NAME, server/NAME, link/FROM/TO.
    @see ConfigurationEntry, FleetSnapshot
*/
class Configuration {
 public:
  /** Parses all entries that have a value. Fails with kInvalidRequest, naming the path and field of
      the first invalid entry. */
  static Result<Configuration> Parse(ConfigurationRevision revision,
                                     const std::map<std::string, ConfigurationEntry>& entries);

  /** Returns a copy at a later revision with the changed entries set or, if they have no value,
      removed. Makes the same checks as Parse but parses only the changed entries, to keep the load
      on the control thread low. */
  Result<Configuration> WithChanges(ConfigurationRevision revision,
                                    const std::vector<ConfigurationEntry>& changes) const;

  ConfigurationRevision revision() const { return m_revision; }
  const std::map<OrganisationName, Organisation>& organisations() const { return m_organisations; }
  const std::map<ModelName, Model>& models() const { return m_models; }
  const std::map<PipelineName, Pipeline>& pipelines() const { return m_pipelines; }
  const std::map<ServiceName, ServiceContract>& services() const { return m_services; }
  const std::map<BackendServerName, ServerOrder>& server_orders() const { return m_server_orders; }
  const std::vector<Link>& links() const { return m_links; }

  /** Returns the organisation whose key has this SHA-256 hex digest, or nullptr. */
  const Organisation* FindOrganisationByKeyDigest(const std::string& digest) const;

 private:
  void Add(const std::string& path, const std::string& value);
  void AddOrganisation(Organisation organisation, const std::string& path);
  void Remove(const std::string& path);

  ConfigurationRevision m_revision = 0;
  std::map<OrganisationName, Organisation> m_organisations;
  std::map<ModelName, Model> m_models;
  std::map<PipelineName, Pipeline> m_pipelines;
  std::map<ServiceName, ServiceContract> m_services;
  std::map<BackendServerName, ServerOrder> m_server_orders;
  std::vector<Link> m_links;
  std::map<std::string, OrganisationName> m_organisations_by_key_digest;
};

/** Validates a single entry. Fails with the same errors as Configuration::Parse. */
Result<void> CheckConfigurationEntry(const std::string& path, const std::string& json);

}  // namespace zinnia
