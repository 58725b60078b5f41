#pragma once

namespace zinnia::bench {

/** Prints how near to the bound PipelineFormer comes on seeded fleets of thirty servers, and what
    forming costs for larger ones. */
void PrintFormingFigures();

}  // namespace zinnia::bench
