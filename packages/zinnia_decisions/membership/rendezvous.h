#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "zinnia_world/fleet/instance.h"

namespace zinnia {

/** The weight of a candidate for a subject (highest random weight hashing). Instances with the same
    candidates order them alike, and removing a candidate reassigns only its own subjects. */
std::uint64_t RendezvousWeight(std::string_view subject, std::string_view candidate);

/** The `count` instances with the highest weights for the subject, in descending order. */
std::vector<Instance> ChooseByRendezvous(std::string_view subject,
                                         std::vector<Instance> candidates,
                                         std::size_t count);

}  // namespace zinnia
