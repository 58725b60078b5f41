#pragma once

#include <cstddef>

namespace zinnia::bench {

/** Times from the sending of a change to one instance until each of `instances` reports its
    revision; each change goes through the next instance. Prints config_everywhere_INSTANCES_... */
void MeasureConfigurationEverywhere(std::size_t instances);

}  // namespace zinnia::bench
