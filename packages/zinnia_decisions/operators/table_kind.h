#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace zinnia {

/** The tables that operators can query. */
enum class TableKind {
  kInstances,
  kBackendServers,
  kPipelines,
  kSessions,
  kOrganisations,
  kModels,
  kServices,
  kLimits,
  kOrders,
  kConfiguration,
  kQuarantine,
  kMetrics,
  kDecisions,
};

constexpr std::size_t kTableKindCount = 13;

std::string_view NameOf(TableKind kind);
std::optional<TableKind> TableKindFromName(std::string_view name);

/** All kinds, for help and completion. */
std::array<TableKind, kTableKindCount> AllTableKinds();

}  // namespace zinnia
