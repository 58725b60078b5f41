#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace zinnia {

/** Base64 with the URL-safe alphabet and without padding (RFC 4648, section 5), so that a token can
    stand in a header, a query or an event id. */
std::string EncodeUrlSafeBase64(std::string_view bytes);

/** Nothing if the text is not the exact encoding of some bytes: two texts never decode to the same
    bytes. */
std::optional<std::string> DecodeUrlSafeBase64(std::string_view text);

}  // namespace zinnia
