#pragma once

#include <fmt/format.h>

#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/control/fake_network.h"
#include "tests/control/fake_platform.h"
#include "tests/control/fake_store.h"
#include "zinnia_decisions/control/instance_control.h"

namespace zinnia {

/** Real control cores over fake ports, in virtual time. */
class ControlFleet {
 public:
  struct Process {
    ProcessScheduler scheduler;
    FakeTransport transport;
    FakeStoreClient store;
    FakeInstanceList list;
    FakeEngines engines;
    RecordedDecisions decisions;
    SilentLogger logger;
    std::unique_ptr<InstanceControl> control;

    Process(ControlFleet& fleet, const Instance& self)
        : scheduler(fleet.time),
          transport(fleet.network, scheduler, self.peer_address),
          store(fleet.store, fleet.time, scheduler),
          list(fleet.list, scheduler),
          engines(fleet.engines, scheduler) {}
  };

  explicit ControlFleet(std::size_t count, std::uint64_t seed = 1, std::size_t domains = 3)
      : network(seed), m_seed(seed) {
    for (std::size_t index = 0; index < count; ++index) {
      Instance instance;
      instance.name = fmt::format("instance-{:03}", index);
      instance.peer_address = {fmt::format("10.0.{}.{}", index / 250, index % 250 + 1), 7000};
      instance.failure_domain = fmt::format("domain-{}", index % domains);
      instance.region = "region-a";
      instance.start = 1;
      instances.push_back(instance);
      processes.emplace_back();
    }
    list.listing.instances = instances;
  }

  std::vector<NetworkAddress> SeedsOf(std::size_t index) const {
    if (!seeds_are_earlier_instances) {
      return {instances[0].peer_address, instances[1 % instances.size()].peer_address};
    }
    std::vector<NetworkAddress> seeds;
    for (std::size_t earlier = 0; earlier < index; ++earlier) {
      seeds.push_back(instances[earlier].peer_address);
    }
    return seeds;
  }

  void StartAll() {
    for (std::size_t index = 0; index < instances.size(); ++index) {
      Start(index);
    }
  }

  void Start(std::size_t index) {
    const Instance& self = instances[index];
    processes[index] = std::make_unique<Process>(*this, self);
    Process& process = *processes[index];
    InstanceControlSettings own = settings;
    own.membership.self = self;
    own.membership.seeds = SeedsOf(index);
    process.control = InstanceControl::Create(
                          std::move(own), {time, process.scheduler, process.store, process.list,
                                           process.transport, process.engines, process.decisions,
                                           process.logger, m_seed * 1000 + index * 7 + self.start})
                          .value();
    network.Attach(self.peer_address, {process.control.get(), &process.scheduler});
    process.control->Start();
  }

  void Crash(std::size_t index) {
    network.Detach(instances[index].peer_address);
    processes[index].reset();
  }

  void Restart(std::size_t index) {
    Crash(index);
    ++instances[index].start;
    Start(index);
  }

  bool IsUp(std::size_t index) const { return processes[index] != nullptr; }
  InstanceControl& At(std::size_t index) { return *processes[index]->control; }

  /** Partitions the network between the first `count` instances and the others. */
  void Cut(std::size_t count) {
    std::set<std::string> first;
    for (std::size_t index = 0; index < count; ++index) {
      first.insert(instances[index].peer_address.ToString());
    }
    network.is_cut = [first](const NetworkAddress& from, const NetworkAddress& to) {
      return first.contains(from.ToString()) != first.contains(to.ToString());
    };
  }
  void Heal() {
    network.is_cut = [](auto&, auto&) { return false; };
  }

  void AddServer(const BackendServerName& name, LayerRange layers, std::uint64_t incarnation = 1) {
    BackendServer server;
    server.name = name;
    server.failure_domain = "domain-0";
    server.pool = "pool";
    server.incarnation = incarnation;
    list.listing.servers.push_back({server, false});
    EngineState state;
    state.loaded = LoadedRange{"model", "v1", layers};
    state.incarnation = incarnation;
    engines.states[name] = state;
  }

  ListedServer& Listed(const BackendServerName& name) {
    return *std::find_if(list.listing.servers.begin(), list.listing.servers.end(),
                         [&](const ListedServer& row) { return row.server.name == name; });
  }

  /** Submits a change to an instance. The returned pointer receives the result. */
  std::shared_ptr<std::optional<Result<ConfigurationRevision>>> Change(
      std::size_t index,
      ConfigurationRevision against,
      std::vector<ChangedPath> paths,
      std::string id = "") {
    auto out = std::make_shared<std::optional<Result<ConfigurationRevision>>>();
    if (id.empty()) {
      id = fmt::format("change-{}", ++m_changes);
    }
    At(index).ChangeConfiguration(
        {std::move(id), against, std::move(paths)},
        [out](const Result<ConfigurationRevision>& answer) { *out = answer; });
    return out;
  }

  BackendServerState StateAt(std::size_t index, const BackendServerName& server) {
    const auto snapshot = At(index).Current();
    const auto found = snapshot->servers.find(server);
    return found == snapshot->servers.end() ? BackendServerState::kGone : found->second.state;
  }

  ConfigurationRevision RevisionAt(std::size_t index) {
    return At(index).ConfigurationInForce().Current()->revision();
  }

  bool AllAt(ConfigurationRevision revision) {
    for (std::size_t index = 0; index < processes.size(); ++index) {
      if (IsUp(index) && RevisionAt(index) != revision) {
        return false;
      }
    }
    return true;
  }

  std::size_t UpCount() const {
    std::size_t count = 0;
    for (const auto& process : processes) {
      count += process ? 1 : 0;
    }
    return count;
  }

  bool MembershipConverged() {
    for (std::size_t index = 0; index < processes.size(); ++index) {
      if (IsUp(index) && At(index).Membership().LiveInstances().size() != UpCount()) {
        return false;
      }
    }
    return true;
  }

  VirtualTime time;
  FakeNetwork network;
  FakeStore store;
  FakeListState list;
  bool seeds_are_earlier_instances = false;
  FakeEngineStates engines;
  InstanceControlSettings settings;
  std::vector<Instance> instances;
  std::vector<std::unique_ptr<Process>> processes;

 private:
  std::uint64_t m_seed;
  std::uint64_t m_changes = 0;
};

/** A small valid value for an organisation. */
inline ChangedPath OrganisationPath(const std::string& name, int weight) {
  return {"organisation/" + name, fmt::format(R"({{"weight":{}}})", weight)};
}

}  // namespace zinnia
