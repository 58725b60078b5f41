#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace zinnia {

/** The lower-case SHA-256 hex digest by which the configuration knows a key. */
std::string DigestOfKey(std::string_view key);

/** KEY of "Bearer KEY", or nothing. */
std::optional<std::string_view> BearerKey(std::string_view authorization);

}  // namespace zinnia
