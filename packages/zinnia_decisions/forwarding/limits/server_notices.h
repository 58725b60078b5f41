#pragma once

#include <optional>
#include <string>

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** What a server says of itself in the header of an answer. */
struct ServerNotices {
  /** The server's rate limit for all instances together, if given. */
  std::optional<double> requests_per_second;

  /** For how long the server wants no further requests from this instance, if it asks for that. */
  std::optional<Duration> pause;

  /** The server accepts no new requests, as before a planned shutdown. */
  bool is_leaving = false;

  /** A notice that cannot be read, as "NAME: VALUE" for the log; empty if all can. */
  std::string unreadable;
};

}  // namespace zinnia
