#pragma once

#include "zinnia_decisions/routing/indexed_chooser.h"

namespace zinnia {

/** Takes the route with the shortest expected completion of this one request, greedily. A baseline
    for measurements: it does not care what its choice costs others, nor that other instances make
    the same choice from the same reports. */
class ShortestCompletionChooser final : public IndexedChooser {
 public:
  using IndexedChooser::IndexedChooser;

 protected:
  StageSelection SelectServer(const StageContext& context) override;
  std::string_view Reason() const override { return "shortest expected completion"; }
};

}  // namespace zinnia
