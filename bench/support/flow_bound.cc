#include "bench/support/flow_bound.h"

#include <optional>
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
      : m_plan(plan), m_lost(lost), m_total(m_program.AddVariable()), m_carried{{m_total, 1.0}} {
    for (const BackendServer& server : plan.servers) {
      m_servers[server.name] = &server;
    }
  }

  /** Without `offered`, all demands grow together; else each is at most its part of that. */
  double Solve(std::optional<double> offered) {
    std::map<FailureDomainName, double> shares;
    for (const FailureDomainName& domain : m_plan.instance_domains) {
      shares[domain] += 1.0 / static_cast<double>(m_plan.instance_domains.size());
    }
    for (const auto& [domain, share] : shares) {
      for (const auto& [model, demand] : m_plan.demand) {
        AddDemand(domain, model, share * demand.share, offered);
      }
    }
    if (offered) {
      m_program.AddRow(m_carried, 0.0);
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
  /** The flows through the model's pipelines carry the demand from this domain. */
  void AddDemand(const FailureDomainName& domain,
                 const ModelName& model,
                 double share,
                 std::optional<double> offered) {
    Terms flows;
    for (const Pipeline& pipeline : m_plan.pipelines) {
      if (pipeline.model != model) {
        continue;
      }
      const std::size_t flow = m_program.AddVariable();
      flows.push_back({flow, 1.0});
      for (std::size_t stage = 0; stage < pipeline.stages.size(); ++stage) {
        AddStage(domain, pipeline, stage, flow);
      }
    }
    Terms negated;
    for (const LinearProgram::Term& flow : flows) {
      negated.push_back({flow.variable, -1.0});
    }
    if (offered) {
      m_program.AddRow(flows, share * *offered);
      m_carried.insert(m_carried.end(), negated.begin(), negated.end());
    } else {
      negated.push_back({m_total, share});
      m_program.AddRow(negated, 0.0);
    }
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
  Terms m_carried;
  std::map<BackendServerName, const BackendServer*> m_servers;
  std::map<BackendServerName, Terms> m_server_terms;
  std::map<DomainPair, Terms> m_link_terms;
};

}  // namespace

double RequestsPerSecondBound(const FleetPlan& plan, const std::set<BackendServerName>& lost) {
  return BoundBuilder(plan, lost).Solve(std::nullopt);
}

double CarriedRequestsPerSecond(const FleetPlan& plan,
                                double offered_per_second,
                                const std::set<BackendServerName>& lost) {
  return BoundBuilder(plan, lost).Solve(offered_per_second);
}

}  // namespace zinnia::bench
