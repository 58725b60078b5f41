#pragma once

#include <cstddef>

#include "zinnia_decisions/ports/peer_messages.h"

namespace zinnia {

/** What a datagram may hold, so that it is not fragmented on any usual path. */
constexpr std::size_t kMaxDatagramBytes = 1200;

/** Conservative estimates of encoded sizes in bytes: every number takes a word, every text and list
    a word of its own and is rounded up to words. The real codec must not need more. */
std::size_t EstimateSize(const Instance& instance);
std::size_t EstimateSize(const ConfigurationDelta& delta);
std::size_t EstimateSize(const Rumour& rumour);
std::size_t EstimateSize(const ProbeMessage& message);

}  // namespace zinnia
