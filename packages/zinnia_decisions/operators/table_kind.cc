#include "zinnia_decisions/operators/table_kind.h"

#include <utility>

namespace zinnia {
namespace {

constexpr std::array<std::pair<TableKind, std::string_view>, kTableKindCount> kNames = {{
    {TableKind::kInstances, "instances"},
    {TableKind::kBackendServers, "backend_servers"},
    {TableKind::kPipelines, "pipelines"},
    {TableKind::kSessions, "sessions"},
    {TableKind::kOrganisations, "organisations"},
    {TableKind::kModels, "models"},
    {TableKind::kServices, "services"},
    {TableKind::kLimits, "limits"},
    {TableKind::kOrders, "orders"},
    {TableKind::kConfiguration, "configuration"},
    {TableKind::kQuarantine, "quarantine"},
    {TableKind::kMetrics, "metrics"},
    {TableKind::kDecisions, "decisions"},
}};

}  // namespace

std::string_view NameOf(TableKind kind) {
  return kNames.at(static_cast<std::size_t>(kind)).second;
}

std::optional<TableKind> TableKindFromName(std::string_view name) {
  for (const auto& [kind, known_name] : kNames) {
    if (known_name == name) {
      return kind;
    }
  }
  return std::nullopt;
}

std::array<TableKind, kTableKindCount> AllTableKinds() {
  std::array<TableKind, kTableKindCount> kinds{};
  for (std::size_t index = 0; index < kTableKindCount; ++index) {
    kinds[index] = kNames[index].first;
  }
  return kinds;
}

}  // namespace zinnia
