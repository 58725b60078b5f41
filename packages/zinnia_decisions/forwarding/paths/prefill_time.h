#pragma once

namespace zinnia {

struct AcceleratorProfile;
struct EngineProfile;

/** Returns the time in milliseconds that a busy engine takes to prefill one token through one
    layer.

    A busy engine prefills a bounded number of tokens per pass and then runs generation steps for
    its other requests. On accelerators with slow steps these take longer than the prefill itself,
    so they are included.
*/
double PrefillMsPerTokenLayer(const EngineProfile& engine, const AcceleratorProfile& accelerator);

}  // namespace zinnia
