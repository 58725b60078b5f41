#pragma once

#include <cstddef>

#include "zinnia_decisions/ports/peer_messages.h"

namespace zinnia {

/** Small enough to avoid fragmentation on usual paths. */
constexpr std::size_t kMaxDatagramBytes = 1200;

/** Upper bounds of encoded sizes in bytes: one word for each number, and for each text or list one
    word plus its content rounded up to words. The codec must not need more. */
std::size_t EstimateSize(const Instance& instance);
std::size_t EstimateSize(const ConfigurationDelta& delta);
std::size_t EstimateSize(const Rumour& rumour);
std::size_t EstimateSize(const ProbeMessage& message);

}  // namespace zinnia
