#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "zinnia_world/fleet/layer_range.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** Records the positions that each session ran per attempt and layer, including adopted ones, to
    verify independently of the driver that each layer ran every position once and in order. */
class StepLedger {
 public:
  void Run(const SessionName& session, AttemptNumber attempt, LayerRange layers, std::uint32_t at) {
    m_sessions_run.insert(session);
    for (std::uint32_t layer = layers.first; layer < layers.end; ++layer) {
      m_chains[{session, attempt, layer}].push_back(at);
    }
  }

  /** Copies the first `length` positions of the older attempt to the new one. */
  void Inherit(const SessionName& session,
               AttemptNumber older,
               AttemptNumber attempt,
               LayerRange layers,
               std::uint32_t length) {
    for (std::uint32_t layer = layers.first; layer < layers.end; ++layer) {
      std::vector<std::uint32_t> positions = m_chains[{session, older, layer}];
      positions.resize(length, kMissing);
      m_chains[{session, attempt, layer}] = positions;
    }
  }

  bool WasRun(const SessionName& session) const { return m_sessions_run.contains(session); }

  /** Returns an empty string if the attempt ran positions 0 to `length` - 1 of each layer once and
     in order, else the first violation. */
  std::string FindViolation(const SessionName& session,
                            AttemptNumber attempt,
                            std::uint32_t layers,
                            std::uint32_t length) const {
    for (std::uint32_t layer = 0; layer < layers; ++layer) {
      const auto chain = m_chains.find({session, attempt, layer});
      const std::size_t found = chain == m_chains.end() ? 0 : chain->second.size();
      if (found != length) {
        return "layer " + std::to_string(layer) + " ran " + std::to_string(found) +
               " positions in place of " + std::to_string(length);
      }
      for (std::uint32_t position = 0; position < length; ++position) {
        if (chain->second[position] != position) {
          return "layer " + std::to_string(layer) + " ran position " +
                 std::to_string(chain->second[position]) + " in place of " +
                 std::to_string(position);
        }
      }
    }
    return {};
  }

 private:
  static constexpr std::uint32_t kMissing = ~0U;

  std::map<std::tuple<SessionName, AttemptNumber, std::uint32_t>, std::vector<std::uint32_t>>
      m_chains;
  std::set<SessionName> m_sessions_run;
};

}  // namespace zinnia
