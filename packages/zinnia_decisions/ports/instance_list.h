#pragma once

#include <functional>
#include <string>
#include <vector>

#include "zinnia_base/errors/result.h"
#include "zinnia_world/fleet/backend_server.h"
#include "zinnia_world/fleet/instance.h"

namespace zinnia {

/** One row of the platform's list of backend servers. */
struct ListedServer {
  BackendServer server;
  bool leaving = false;
};

/** The current contents of the platform's list. It may be stale: use it only as a hint. */
struct InstanceListing {
  std::vector<ListedServer> servers;
  std::vector<Instance> instances;

  /** Servers that are listed, but nothing else of whose rows is known. */
  std::vector<BackendServerName> unreadable_servers;

  /** Why rows could not be read, one text each, for the log. */
  std::vector<std::string> faults;
};

/** The platform's list of live and leaving instances and backend servers. */
class InstanceList {
 public:
  using Callback = std::function<void(Result<InstanceListing>)>;

  virtual ~InstanceList() = default;

  /** Reads the list once. The callback runs asynchronously on the control thread. */
  virtual void Read(Callback callback) = 0;
};

}  // namespace zinnia
