#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace zinnia {

/** Encodes as unpadded URL-safe Base64 (RFC 4648, section 5). */
std::string EncodeUrlSafeBase64(std::string_view bytes);

/** Returns nothing unless the text is a canonical encoding. */
std::optional<std::string> DecodeUrlSafeBase64(std::string_view text);

}  // namespace zinnia
