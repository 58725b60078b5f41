#pragma once

#include "zinnia_decisions/routing/indexed_chooser.h"

namespace zinnia {

/** Selects the server with the fewest sessions at each stage, regardless of its speed and links. A
    baseline for benchmarks. */
class LeastLoadedChooser final : public IndexedChooser {
 public:
  using IndexedChooser::IndexedChooser;

 protected:
  StageSelection SelectServer(const StageContext& context) override;
  std::string_view Reason() const override { return "fewest sessions"; }
};

}  // namespace zinnia
