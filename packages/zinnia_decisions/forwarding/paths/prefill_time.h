#pragma once

namespace zinnia {

struct AcceleratorProfile;
struct EngineProfile;

/** How long an engine that also writes answers takes to read one token through one layer, in
    milliseconds.

    It reads in pieces between the steps of those answers: a pass reads a bounded number of tokens
    and then runs its token steps. On accelerators that are slow at steps these take longer than the
    reading itself, and whoever leaves them out believes such an engine to be three times as fast.
*/
double PrefillMsPerTokenLayer(const EngineProfile& engine, const AcceleratorProfile& accelerator);

}  // namespace zinnia
