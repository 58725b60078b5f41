#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "zinnia_base/errors/result.h"
#include "zinnia_decisions/ports/peer_messages.h"

namespace zinnia {

/** The largest datagram that is sent or taken, authentication code included. Larger ones are cut
    into fragments by the network, each of which can be lost, so senders should stay well below. */
constexpr std::size_t kLargestDatagramBytes = 8'192;

/** Packs a probe for a datagram; kPayloadTooLarge if it would not fit in one. */
Result<std::string> EncodeProbe(const ProbeMessage& message);

/** Unpacks a probe. Whatever the bytes are, it takes bounded time and memory and fails with
    kInvalidRequest if they are not exactly one probe. */
Result<ProbeMessage> DecodeProbe(std::string_view bytes);

}  // namespace zinnia
