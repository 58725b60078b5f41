#pragma once

#include <vector>

#include "zinnia_decisions/operators/table_data.h"
#include "zinnia_world/configuration/configuration_entry.h"
#include "zinnia_world/fleet/instance.h"

namespace zinnia {

class Configuration;
class HistogramMetrics;
struct FleetSnapshot;

/** The operators' tables that come straight from the fleet snapshot, the configuration and the
    metrics. The daemon's OperatorDesk calls them; tables of other parts (sessions, quarantine) are
    made where those parts are. */
TableData InstancesTable(const std::vector<Instance>& instances);
TableData BackendServersTable(const FleetSnapshot& snapshot);
TableData PipelinesTable(const FleetSnapshot& snapshot);
TableData OrganisationsTable(const Configuration& configuration);
TableData ModelsTable(const Configuration& configuration);
TableData ServicesTable(const Configuration& configuration);

/** The limits that contracts set; 0 stands for none. */
TableData LimitsTable(const Configuration& configuration);

/** What operators ordered of backend servers, beside what they hold in the snapshot. */
TableData OrdersTable(const Configuration& configuration, const FleetSnapshot& snapshot);

/** The entries as they are written; removed ones are left out. */
TableData ConfigurationTable(const std::vector<ConfigurationEntry>& entries);

TableData MetricsTable(const HistogramMetrics& metrics);

}  // namespace zinnia
