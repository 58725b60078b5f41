#pragma once

namespace zinnia {

/** Measures the driver's own processor time for each token over three hops, with answers that are
    given at once from memory, and what sealing the event id adds to it. */
void PrintDriverCost();

}  // namespace zinnia
