#include "bench/support/flow_bound.h"

#include <utility>

#include "bench/support/linear_program.h"

namespace zinnia::bench {
namespace {

using Terms = std::vector<LinearProgram::Term>;
using DomainPair = std::pair<FailureDomainName, FailureDomainName>;

/** Collects the rows of the program while it walks over domains, pipelines and stages. */
class BoundBuilder {
 public:
  BoundBuilder(const FleetPlan& plan, const std::set<BackendServerName>& lost)
      : m_plan(plan), m_lost(lost), m_total(m_program.AddVariable()) {
    for (const BackendServer& server : plan.servers) {
      m_servers[server.name] = &server;
    }
  }

  double Solve() {
    std::map<FailureDomainName, double> shares;
    for (const FailureDomainName& domain : m_plan.instance_domains) {
      shares[domain] += 1.0 / static_cast<double>(m_plan.instance_domains.size());
    }
    for (const auto& [domain, share] : shares) {
      for (const auto& [model, demand] : m_plan.demand) {
        AddDemand(domain, model, share * demand.share);
      }
    }
    for (auto& [server, terms] : m_server_terms) {
      m_program.AddRow(terms, m_lost.contains(server) ? 0.0 : 1.0);
    }
    for (auto& [pair, terms] : m_link_terms) {
      m_program.AddRow(terms, LinkBetween(m_plan, pair.first, pair.second).bytes_per_second);
    }
    return m_program.Maximise(m_total);
  }

 private:
  /** The flows through the model's pipelines must carry the demand from this domain. */
  void AddDemand(const FailureDomainName& domain, const ModelName& model, double share) {
    Terms demand{{m_total, share}};
    for (const Pipeline& pipeline : m_plan.pipelines) {
      if (pipeline.model != model) {
        continue;
      }
      const std::size_t flow = m_program.AddVariable();
      demand.push_back({flow, -1.0});
      for (std::size_t stage = 0; stage < pipeline.stages.size(); ++stage) {
        AddStage(domain, pipeline, stage, flow);
      }
    }
    m_program.AddRow(demand, 0.0);
  }

  void AddStage(const FailureDomainName& domain,
                const Pipeline& pipeline,
                std::size_t stage,
                std::size_t flow) {
    const ModelDemand& demand = m_plan.demand.at(pipeline.model);
    const double positions = demand.uncached_prompt_tokens + demand.answer_tokens;
    const double out = positions * (stage == 0 ? kTokenBytes : kStateBytes);
    const bool last = stage + 1 == pipeline.stages.size();
    const double back = last ? demand.answer_tokens * kTokenBytes : positions * kStateBytes;
    Terms carried{{flow, 1.0}};
    for (const BackendServerName& name : pipeline.stages[stage].replicas) {
      const BackendServer& server = *m_servers.at(name);
      const EngineCost cost = CostOf(server);
      const std::size_t to_server = m_program.AddVariable();
      carried.push_back({to_server, -1.0});
      m_server_terms[name].push_back(
          {to_server, demand.answer_tokens * cost.FullBatchSecondsPerToken() +
                          demand.uncached_prompt_tokens * cost.seconds_per_prefill});
      m_link_terms[{domain, server.failure_domain}].push_back({to_server, out});
      m_link_terms[{server.failure_domain, domain}].push_back({to_server, back});
    }
    m_program.AddRow(carried, 0.0);
  }

  const FleetPlan& m_plan;
  const std::set<BackendServerName>& m_lost;
  LinearProgram m_program;
  std::size_t m_total;
  std::map<BackendServerName, const BackendServer*> m_servers;
  std::map<BackendServerName, Terms> m_server_terms;
  std::map<DomainPair, Terms> m_link_terms;
};

}  // namespace

double RequestsPerSecondBound(const FleetPlan& plan, const std::set<BackendServerName>& lost) {
  return BoundBuilder(plan, lost).Solve();
}

}  // namespace zinnia::bench
