#pragma once

#include "zinnia_decisions/routing/indexed_chooser.h"

namespace zinnia {

/** Takes the server with the fewest sessions at each stage, whatever its kind and its links. A
    baseline for measurements. */
class LeastLoadedChooser final : public IndexedChooser {
 public:
  using IndexedChooser::IndexedChooser;

 protected:
  StageSelection SelectServer(const StageContext& context) override;
  std::string_view Reason() const override { return "fewest sessions"; }
};

}  // namespace zinnia
