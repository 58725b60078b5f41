#pragma once

namespace zinnia::bench {

/** Prints how near to the bound PipelinePlanner comes on seeded fleets of thirty servers, and what
    forming costs for larger ones. */
void PrintFormingFigures();

}  // namespace zinnia::bench
