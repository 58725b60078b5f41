#pragma once

#include "zinnia_decisions/routing/indexed_chooser.h"

namespace zinnia {

/** Greedily selects the route with the shortest expected completion time of this request. A
    baseline for benchmarks: it ignores the slowdown of other sessions, and that other instances
    choose from the same reports. */
class ShortestCompletionChooser final : public IndexedChooser {
 public:
  using IndexedChooser::IndexedChooser;

 protected:
  StageSelection SelectServer(const StageContext& context) override;
  std::string_view Reason() const override { return "shortest expected completion"; }
};

}  // namespace zinnia
