#pragma once

#include "zinnia_world/names/names.h"

namespace zinnia {

/** Tells which servers this instance has idle connections to. Opening a connection takes time, and
    a server limits the number of its connections over all instances. */
class IdleConnections {
 public:
  virtual ~IdleConnections() = default;
  virtual bool HasIdle(const BackendServerName& server) const = 0;
};

}  // namespace zinnia
