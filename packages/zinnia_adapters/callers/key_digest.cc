#include "zinnia_adapters/callers/key_digest.h"

#include <fmt/format.h>
#include <openssl/evp.h>

#include <array>
#include <boost/beast/core/string.hpp>
#include <iterator>

namespace zinnia {

std::string DigestOfKey(std::string_view key) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned length = 0;
  EVP_Digest(key.data(), key.size(), digest.data(), &length, EVP_sha256(), nullptr);
  std::string hex;
  for (unsigned index = 0; index < length; ++index) {
    fmt::format_to(std::back_inserter(hex), "{:02x}", digest[index]);
  }
  return hex;
}

std::optional<std::string_view> BearerKey(std::string_view authorization) {
  constexpr std::string_view kScheme = "Bearer ";
  if (authorization.size() <= kScheme.size() ||
      !boost::beast::iequals(authorization.substr(0, kScheme.size()), kScheme)) {
    return std::nullopt;
  }
  return authorization.substr(kScheme.size());
}

}  // namespace zinnia
