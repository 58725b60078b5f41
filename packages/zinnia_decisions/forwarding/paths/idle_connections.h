#pragma once

#include "zinnia_world/names/names.h"

namespace zinnia {

/** Which servers this instance has an unused connection to. Servers take time and a place for each
   new one, and bound how many they have from all instances together. */
class IdleConnections {
 public:
  virtual ~IdleConnections() = default;
  virtual bool HasIdle(const BackendServerName& server) const = 0;
};

}  // namespace zinnia
