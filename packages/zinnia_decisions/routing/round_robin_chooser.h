#pragma once

#include <map>
#include <utility>

#include "zinnia_decisions/routing/indexed_chooser.h"

namespace zinnia {

/** Selects pipelines and servers in turn, regardless of load. A baseline for benchmarks. */
class RoundRobinChooser final : public IndexedChooser {
 public:
  using IndexedChooser::IndexedChooser;

 protected:
  std::vector<std::size_t> PipelineOrder(const RouteQuery& query, std::size_t count) override;
  std::size_t MaxComparedPipelines() const override { return 1; }
  StageSelection SelectServer(const StageContext& context) override;
  std::string_view Reason() const override { return "next in turn"; }

 private:
  std::map<ModelName, std::size_t> m_next_pipeline;
  std::map<std::pair<ModelName, std::uint32_t>, std::size_t> m_next_server;
};

}  // namespace zinnia
