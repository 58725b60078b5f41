#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "zinnia_world/fleet/instance.h"

namespace zinnia {

/** The weight of a candidate for a subject (highest random weight hashing). Everybody who knows the
    same candidates orders them alike, and a candidate that goes moves only its own subjects. */
std::uint64_t RendezvousWeight(std::string_view subject, std::string_view candidate);

/** The `count` instances with the highest weight for the subject, best first. */
std::vector<Instance> ChooseByRendezvous(std::string_view subject,
                                         std::vector<Instance> candidates,
                                         std::size_t count);

}  // namespace zinnia
