#include "zinnia_decisions/forwarding/paths/first_server_sampler.h"

#include <algorithm>
#include <utility>

namespace zinnia {

std::vector<bool> FirstServerSampler::Draw(const std::vector<bool>& is_same_domain,
                                           const std::vector<bool>& has_connection) {
  if (is_same_domain.size() <= kMaxUnsampledServers) {
    return std::vector<bool>(is_same_domain.size(), true);
  }
  std::vector<std::size_t> near;
  std::vector<std::size_t> far;
  std::vector<std::size_t> connected;
  for (std::size_t server = 0; server < is_same_domain.size(); ++server) {
    (is_same_domain[server] ? near : far).push_back(server);
    if (is_same_domain[server] && has_connection[server]) {
      connected.push_back(server);
    }
  }
  std::vector<bool> drawn(is_same_domain.size(), false);
  // A domain with too few first servers draws the remainder from other domains.
  const std::size_t missing = kLocalSamples - std::min(kLocalSamples, near.size());
  DrawFrom(std::move(near), kLocalSamples, drawn);
  DrawFrom(std::move(far), kRemoteSamples + missing, drawn);
  DrawFrom(std::move(connected), kConnectedSamples, drawn);
  return drawn;
}

void FirstServerSampler::DrawFrom(std::vector<std::size_t> group,
                                  std::size_t count,
                                  std::vector<bool>& drawn) {
  for (std::size_t draw = 0; draw < count && !group.empty(); ++draw) {
    const std::size_t chosen = RandomBelow(m_random, group.size());
    drawn[group[chosen]] = true;
    std::swap(group[chosen], group.back());
    group.pop_back();
  }
}

}  // namespace zinnia
