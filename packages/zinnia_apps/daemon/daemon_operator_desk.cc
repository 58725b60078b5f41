#include "daemon_operator_desk.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "control_side.h"
#include "zinnia_adapters/operators/decision_log.h"
#include "zinnia_adapters/operators/decisions_table.h"
#include "zinnia_adapters/operators/fleet_tables.h"
#include "zinnia_decisions/control/instance_control.h"

namespace zinnia {
namespace {

constexpr std::size_t kMostDecisionsShown = 500;

std::string FormatRoute(const Route& route) {
  std::string text;
  for (const Route::Hop& hop : route.hops) {
    text += (text.empty() ? "" : " > ") + hop.server;
  }
  return text;
}

TableData MakeSessionsTable(const std::vector<SessionStatus>& sessions) {
  TableData table;
  table.columns = {"session", "request", "organisation",     "model",     "state", "pipeline",
                   "route",   "attempt", "delivered_tokens", "recoveries"};
  for (const SessionStatus& status : sessions) {
    table.rows.push_back({status.session, status.request_id, status.organisation, status.model,
                          std::string(NameOf(status.state)), status.route.pipeline,
                          FormatRoute(status.route), std::int64_t{status.attempt},
                          std::int64_t{status.delivered_tokens}, std::int64_t{status.recoveries}});
  }
  return table;
}

TableData MakeInstancesTable(const InstanceControl& control) {
  TableData table;
  table.columns = {"instance", "state", "failure_domain", "region", "peer_address", "revision"};
  for (const InstanceRow& row : control.LiveInstanceRows()) {
    table.rows.push_back({row.instance.name, std::string(NameOf(row.state)),
                          row.instance.failure_domain, row.instance.region,
                          row.instance.peer_address.ToString(),
                          static_cast<std::int64_t>(row.revision)});
  }
  return table;
}

TableData MakeQuarantineTable(const InstanceControl& control) {
  TableData table;
  table.columns = {"fingerprint", "quarantined", "crashed_servers", "remaining_s"};
  for (const QuarantineRow& row : control.QuarantineRows()) {
    table.rows.push_back(
        {row.fingerprint.ToHex(), row.quarantined,
         fmt::format("{}", fmt::join(row.crashed_servers, " ")),
         std::int64_t{std::chrono::duration_cast<std::chrono::seconds>(row.remaining).count()}});
  }
  return table;
}

TableData MakeTable(TableKind kind, InstanceControl& control) {
  const auto snapshot = control.Current();
  switch (kind) {
    case TableKind::kInstances:
      return MakeInstancesTable(control);
    case TableKind::kBackendServers:
      return BackendServersTable(*snapshot);
    case TableKind::kPipelines:
      return PipelinesTable(*snapshot);
    case TableKind::kOrganisations:
      return OrganisationsTable(*snapshot->configuration);
    case TableKind::kModels:
      return ModelsTable(*snapshot->configuration);
    case TableKind::kServices:
      return ServicesTable(*snapshot->configuration);
    case TableKind::kLimits:
      return LimitsTable(*snapshot->configuration);
    case TableKind::kOrders:
      return OrdersTable(*snapshot->configuration, *snapshot);
    case TableKind::kConfiguration:
      return ConfigurationTable(control.OnFetchConfiguration(0).entries);
    case TableKind::kQuarantine:
      return MakeQuarantineTable(control);
    case TableKind::kSessions:
    case TableKind::kMetrics:
    case TableKind::kDecisions:
      break;
  }
  return {};
}

}  // namespace

DaemonOperatorDesk::DaemonOperatorDesk(Parts parts) : m_parts(std::move(parts)) {}

void DaemonOperatorDesk::Table(TableKind kind, TableCallback callback) {
  switch (kind) {
    case TableKind::kSessions:
      SessionsTable(std::move(callback));
      break;
    case TableKind::kMetrics:
      callback(MetricsTable(m_parts.metrics));
      break;
    case TableKind::kDecisions:
      callback(DecisionsTable(m_parts.decisions.Latest(kMostDecisionsShown)));
      break;
    default:
      TableFromControl(kind, std::move(callback));
  }
}

void DaemonOperatorDesk::TableFromControl(TableKind kind, TableCallback callback) {
  m_parts.to_control([this, kind, callback = std::move(callback)] {
    m_parts.to_operators([callback, table = MakeTable(kind, m_parts.control.Control())]() mutable {
      callback(std::move(table));
    });
  });
}

void DaemonOperatorDesk::SessionsTable(TableCallback callback) {
  m_parts.collect_sessions([post = m_parts.to_operators,
                            callback = std::move(callback)](auto sessions) {
    post([callback, table = MakeSessionsTable(sessions)]() mutable { callback(std::move(table)); });
  });
}

void DaemonOperatorDesk::Change(ConfigurationChangeRequest request, ChangeCallback callback) {
  ConfigurationChange change;
  change.change_id = std::move(request.change_id);
  change.against_revision = request.against_revision;
  for (ConfigurationEdit& edit : request.edits) {
    change.paths.push_back({std::move(edit.path), std::move(edit.json)});
  }
  m_parts.to_control([this, change = std::move(change), callback = std::move(callback)]() mutable {
    m_parts.control.Control().ChangeConfiguration(
        std::move(change),
        [post = m_parts.to_operators, callback = std::move(callback)](auto result) {
          post([callback, result = std::move(result)] { callback(result); });
        });
  });
}

void DaemonOperatorDesk::CurrentEntry(std::string path, EntryCallback callback) {
  m_parts.to_control([this, path = std::move(path), callback = std::move(callback)] {
    const ConfigurationDelta whole = m_parts.control.Control().OnFetchConfiguration(0);
    CurrentConfigurationEntry current;
    current.revision = whole.revision;
    for (const ConfigurationEntry& entry : whole.entries) {
      if (entry.path == path) {
        current.value = entry.value;
      }
    }
    m_parts.to_operators([callback, current = std::move(current)] { callback(current); });
  });
}

void DaemonOperatorDesk::MoveRole(RoleMove move, DoneCallback callback) {
  callback(MakeError(ErrorKind::kInvalidCommand,
                     fmt::format("role \"{}\" follows the live instances and cannot be moved to "
                                 "\"{}\" by hand; stop its holder to move it",
                                 move.role, move.to)));
}

void DaemonOperatorDesk::Explain(ExplainKind kind, std::string id, ExplainCallback callback) {
  std::vector<DecisionRecord> records =
      m_parts.decisions.Find(fmt::format("{} {}", NameOf(kind), id));
  if (kind == ExplainKind::kRequest) {
    // The session of a request goes by the request's id, unless it resumes an older one.
    std::ranges::move(m_parts.decisions.Find("session " + id), std::back_inserter(records));
    std::ranges::stable_sort(records, {}, &DecisionRecord::at);
  }
  if (records.empty()) {
    callback(MakeError(ErrorKind::kNotFound,
                       fmt::format("this instance keeps no decision about {} \"{}\"; ask the "
                                   "instance that served it",
                                   NameOf(kind), id)));
    return;
  }
  callback(std::move(records));
}

}  // namespace zinnia
