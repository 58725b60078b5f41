#include "zinnia_decisions/fleet_control/subset_selection.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "zinnia_decisions/membership/rendezvous.h"

namespace zinnia {
namespace {

using Rows = std::map<BackendServerName, ServerRow>;

constexpr std::size_t kReplicasPerStage = 4;

/** Servers of one model, service or pool, and the pipelines of the model. */
struct Group {
  std::set<BackendServerName> servers;
  std::vector<const Pipeline*> pipelines;
};

std::map<std::string, Group> GroupServers(const Rows& rows, const Configuration& configuration) {
  std::map<std::string, Group> groups;
  std::set<BackendServerName> named;
  const auto put = [&](const std::string& group, const BackendServerName& server) {
    if (rows.contains(server)) {
      groups[group].servers.insert(server);
      named.insert(server);
    }
  };
  for (const auto& [name, pipeline] : configuration.pipelines()) {
    groups["model " + pipeline.model].pipelines.push_back(&pipeline);
    for (const PipelineStage& stage : pipeline.stages) {
      for (const BackendServerName& replica : stage.replicas) {
        put("model " + pipeline.model, replica);
      }
    }
  }
  for (const auto& [name, service] : configuration.services()) {
    for (const BackendServerName& server : service.servers) {
      put("service " + name, server);
    }
  }
  for (const auto& [name, order] : configuration.server_orders()) {
    if (order.desired_model) {
      put("model " + *order.desired_model, name);
    }
  }
  for (const auto& [name, row] : rows) {
    if (!named.contains(name)) {
      groups["pool " + row.server.pool].servers.insert(name);
    }
  }
  return groups;
}

/** Sorts names by descending rendezvous weight for the instance. */
std::vector<std::string> InOwnOrder(const InstanceName& self, std::vector<std::string> names) {
  std::vector<std::pair<std::uint64_t, std::string>> weighted;
  weighted.reserve(names.size());
  for (std::string& name : names) {
    const std::uint64_t weight = RendezvousWeight(self, name);
    weighted.emplace_back(weight, std::move(name));
  }
  std::sort(weighted.rbegin(), weighted.rend());
  names.clear();
  for (auto& [weight, name] : weighted) {
    names.push_back(std::move(name));
  }
  return names;
}

/** Interleaves the buckets round-robin. */
std::vector<std::string> TakeTurns(const std::map<std::string, std::vector<std::string>>& buckets) {
  std::vector<std::string> mixed;
  bool found = true;
  for (std::size_t turn = 0; found; ++turn) {
    found = false;
    for (const auto& [bucket, names] : buckets) {
      if (turn < names.size()) {
        mixed.push_back(names[turn]);
        found = true;
      }
    }
  }
  return mixed;
}

void TakePipelines(const InstanceName& self,
                   const Rows& rows,
                   const Group& group,
                   std::set<BackendServerName>& chosen) {
  std::map<std::string, const Pipeline*> by_name;
  std::vector<std::string> names;
  for (const Pipeline* pipeline : group.pipelines) {
    by_name.emplace(pipeline->name, pipeline);
    names.push_back(pipeline->name);
  }
  std::map<std::string, std::vector<std::string>> by_domain;
  for (const std::string& name : InOwnOrder(self, std::move(names))) {
    const auto& replicas = by_name.at(name)->stages.front().replicas;
    const auto row = replicas.empty() ? rows.end() : rows.find(replicas.front());
    by_domain[row == rows.end() ? "" : row->second.server.failure_domain].push_back(name);
  }
  for (const std::string& name : TakeTurns(by_domain)) {
    if (chosen.size() >= kMaxServersPerModel) {
      return;
    }
    for (const PipelineStage& stage : by_name.at(name)->stages) {
      std::vector<std::string> replicas = InOwnOrder(self, stage.replicas);
      replicas.resize(std::min(replicas.size(), kReplicasPerStage));
      for (std::string& replica : replicas) {
        if (rows.contains(replica)) {
          chosen.insert(std::move(replica));
        }
      }
    }
  }
}

std::string MixOf(const ServerRow& row, const Configuration& configuration) {
  std::uint32_t first_layer = row.server.loaded ? row.server.loaded->layers.first : 0;
  const auto order = configuration.server_orders().find(row.server.name);
  if (order != configuration.server_orders().end() && order->second.desired_model) {
    first_layer = order->second.desired_first_layer;
  }
  return std::to_string(first_layer) + " " + row.server.failure_domain + " " +
         std::string(NameOf(row.server.accelerator));
}

std::set<BackendServerName> ChooseFromGroup(const InstanceName& self,
                                            const Rows& rows,
                                            const Configuration& configuration,
                                            const Group& group) {
  if (group.servers.size() <= kMaxServersPerModel) {
    return group.servers;
  }
  std::set<BackendServerName> chosen;
  TakePipelines(self, rows, group, chosen);
  std::map<std::string, std::vector<std::string>> buckets;
  for (std::string& name : InOwnOrder(self, {group.servers.begin(), group.servers.end()})) {
    buckets[MixOf(rows.at(name), configuration)].push_back(std::move(name));
  }
  for (const std::string& name : TakeTurns(buckets)) {
    if (chosen.size() >= kMaxServersPerModel) {
      break;
    }
    chosen.insert(name);
  }
  return chosen;
}

}  // namespace

std::set<BackendServerName> SelectServers(const InstanceName& self,
                                          const std::map<BackendServerName, ServerRow>& rows,
                                          const Configuration& configuration) {
  std::set<BackendServerName> chosen;
  for (const auto& [name, group] : GroupServers(rows, configuration)) {
    chosen.merge(ChooseFromGroup(self, rows, configuration, group));
  }
  return chosen;
}

}  // namespace zinnia
