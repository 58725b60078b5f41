#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "zinnia_base/errors/result.h"

namespace zinnia {

/** An IP address and port. Host names are not supported. */
struct NetworkAddress {
  std::string ip;
  std::uint16_t port = 0;

  /** Parses "IP:PORT". Fails with kInvalidSettings. */
  static Result<NetworkAddress> Parse(const std::string& text);
  std::string ToString() const;
  // NOLINTNEXTLINE(modernize-use-nullptr): it takes the generated comparison with 0 for a pointer.
  auto operator<=>(const NetworkAddress&) const = default;
};

}  // namespace zinnia
