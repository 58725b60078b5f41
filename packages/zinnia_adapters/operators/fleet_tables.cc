#include "zinnia_adapters/operators/fleet_tables.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <chrono>

#include "zinnia_adapters/metrics/histogram_metrics.h"
#include "zinnia_adapters/metrics/measure_name.h"
#include "zinnia_world/fleet/fleet_snapshot.h"

namespace zinnia {
namespace {

std::int64_t ToCell(std::uint64_t value) {
  return static_cast<std::int64_t>(value);
}

double ToMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

std::string Describe(const LoadedRange& range) {
  return fmt::format("{} {} {}..{}", range.model, range.version, range.layers.first,
                     range.layers.end);
}

std::string DescribeLoaded(const BackendServer& server) {
  return server.loaded ? Describe(*server.loaded) : std::string();
}

std::string DescribeStages(const Pipeline& pipeline) {
  std::string text;
  for (const PipelineStage& stage : pipeline.stages) {
    text += fmt::format("{}{}..{} x{}", text.empty() ? "" : ", ", stage.layers.first,
                        stage.layers.end, stage.replicas.size());
  }
  return text;
}

std::string DescribeDesired(const ServerOrder& order) {
  if (!order.desired_model) {
    return {};
  }
  return Describe({*order.desired_model,
                   order.desired_version.value_or(""),
                   {order.desired_first_layer, order.desired_end_layer}});
}

}  // namespace

TableData InstancesTable(const std::vector<Instance>& instances) {
  TableData table{{"name", "region", "failure_domain", "peer_address", "start"}, {}};
  for (const Instance& instance : instances) {
    table.rows.push_back({instance.name, instance.region, instance.failure_domain,
                          instance.peer_address.ToString(), ToCell(instance.start)});
  }
  return table;
}

TableData BackendServersTable(const FleetSnapshot& snapshot) {
  TableData table{
      {"name", "state", "failure_domain", "accelerator", "pool", "loaded", "weight", "running",
       "queued", "in_flight_here", "step_p50_ms", "step_p99_ms", "checks_fencing", "address"},
      {}};
  for (const auto& [name, view] : snapshot.servers) {
    const BackendServer& server = view.server;
    const ServerLoad& load = view.load;
    table.rows.push_back({name, std::string(NameOf(view.state)), server.failure_domain,
                          std::string(NameOf(server.accelerator)), server.pool,
                          DescribeLoaded(server), view.weight, ToCell(load.reported_running),
                          ToCell(load.reported_queued), ToCell(load.in_flight_here),
                          ToMilliseconds(load.step_time_p50), ToMilliseconds(load.step_time_p99),
                          server.checks_fencing, server.address.ToString()});
  }
  return table;
}

TableData PipelinesTable(const FleetSnapshot& snapshot) {
  TableData table{{"name", "model", "version", "draining", "stages"}, {}};
  for (const Pipeline& pipeline : snapshot.pipelines) {
    table.rows.push_back({pipeline.name, pipeline.model, pipeline.version, pipeline.draining,
                          DescribeStages(pipeline)});
  }
  return table;
}

TableData OrganisationsTable(const Configuration& configuration) {
  TableData table{{"name", "weight", "priority", "keys"}, {}};
  for (const auto& [name, organisation] : configuration.organisations()) {
    table.rows.push_back({name, organisation.weight, ToCell(organisation.priority),
                          ToCell(organisation.key_digests.size())});
  }
  return table;
}

TableData ModelsTable(const Configuration& configuration) {
  TableData table{{"name", "version", "layers", "max_tokens", "credit_weight"}, {}};
  for (const auto& [name, model] : configuration.models()) {
    table.rows.push_back(
        {name, model.version, ToCell(model.layers), ToCell(model.max_tokens), model.credit_weight});
  }
  return table;
}

TableData ServicesTable(const Configuration& configuration) {
  TableData table{{"name", "path_prefix", "servers", "non_idempotent_methods",
                   "requires_idempotency_key", "timeout_ms", "credit_weight"},
                  {}};
  for (const auto& [name, service] : configuration.services()) {
    table.rows.push_back({name, service.path_prefix,
                          fmt::format("{}", fmt::join(service.servers, " ")),
                          fmt::format("{}", fmt::join(service.non_idempotent_methods, " ")),
                          service.requires_idempotency_key, std::int64_t{service.timeout.count()},
                          service.credit_weight});
  }
  return table;
}

TableData LimitsTable(const Configuration& configuration) {
  TableData table{{"organisation", "requests_per_second", "concurrent_requests"}, {}};
  for (const auto& [name, organisation] : configuration.organisations()) {
    table.rows.push_back(
        {name, organisation.requests_per_second, ToCell(organisation.concurrent_requests)});
  }
  return table;
}

TableData OrdersTable(const Configuration& configuration, const FleetSnapshot& snapshot) {
  TableData table{{"backend_server", "weight", "drain", "desired", "loaded"}, {}};
  for (const auto& [name, order] : configuration.server_orders()) {
    const auto view = snapshot.servers.find(name);
    table.rows.push_back(
        {name, order.weight, order.drain, DescribeDesired(order),
         view == snapshot.servers.end() ? std::string() : DescribeLoaded(view->second.server)});
  }
  return table;
}

TableData ConfigurationTable(const std::vector<ConfigurationEntry>& entries) {
  TableData table{{"path", "revision", "value"}, {}};
  for (const ConfigurationEntry& entry : entries) {
    if (entry.value) {
      table.rows.push_back({entry.path, ToCell(entry.revision), *entry.value});
    }
  }
  return table;
}

TableData MetricsTable(const HistogramMetrics& metrics) {
  constexpr double kMillisecondsInASecond = 1'000.0;
  TableData table{{"organisation", "class", "measure", "count", "mean_ms", "p50_ms", "p99_ms"}, {}};
  for (const MetricsSummary& row : metrics.Summarise()) {
    table.rows.push_back({row.organisation, std::string(NameOf(row.request_class)),
                          std::string(NameOf(row.measure)), ToCell(row.count),
                          row.mean * kMillisecondsInASecond, row.p50 * kMillisecondsInASecond,
                          row.p99 * kMillisecondsInASecond});
  }
  return table;
}

}  // namespace zinnia
