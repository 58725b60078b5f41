#pragma once

namespace zinnia::bench {

/** Prints what a choice costs in microseconds of the machine, with 30 and with 600 servers in view,
    on a known snapshot and on a new one each time. */
void PrintChoiceCost();

}  // namespace zinnia::bench
