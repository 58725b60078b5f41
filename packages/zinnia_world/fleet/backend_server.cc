#include "zinnia_world/fleet/backend_server.h"

namespace zinnia {

std::string_view NameOf(BackendServerState state) {
  switch (state) {
    case BackendServerState::kLive:
      return "live";
    case BackendServerState::kSuspect:
      return "suspect";
    case BackendServerState::kLeaving:
      return "leaving";
    case BackendServerState::kGone:
      break;
  }
  return "gone";
}

}  // namespace zinnia
