#pragma once

#include <memory>
#include <string>

#include "zinnia_decisions/ports/snapshot_source.h"

namespace zinnia {

/** A snapshot that the test fills by hand. */
class FixedSnapshot final : public SnapshotSource {
 public:
  FixedSnapshot() { snapshot->configuration = std::make_shared<Configuration>(); }

  std::shared_ptr<const FleetSnapshot> Current() const override { return snapshot; }

  void AddServer(const std::string& name, const NetworkAddress& address) {
    ServerView view;
    view.server.name = name;
    view.server.address = address;
    snapshot->servers[name] = view;
  }

  std::shared_ptr<FleetSnapshot> snapshot = std::make_shared<FleetSnapshot>();
};

}  // namespace zinnia
