#include "zinnia_world/fleet/network_address.h"

#include <arpa/inet.h>

#include <charconv>

namespace zinnia {
namespace {

bool IsIpNumber(const std::string& text) {
  unsigned char buffer[sizeof(in6_addr)];
  return inet_pton(AF_INET, text.c_str(), buffer) == 1 ||
         inet_pton(AF_INET6, text.c_str(), buffer) == 1;
}

}  // namespace

Result<NetworkAddress> NetworkAddress::Parse(const std::string& text) {
  const auto colon = text.rfind(':');
  NetworkAddress address;
  if (colon != std::string::npos) {
    address.ip = text.substr(0, colon);
    const char* end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data() + colon + 1, end, address.port);
    if (error == std::errc{} && rest == end && IsIpNumber(address.ip)) {
      return address;
    }
  }
  return MakeError(ErrorKind::kInvalidSettings,
                   "\"" + text + "\" is not an address: write IP:PORT, with an IP number");
}

std::string NetworkAddress::ToString() const {
  return ip + ":" + std::to_string(port);
}

}  // namespace zinnia
