#include "zinnia_decisions/membership/rendezvous.h"

#include <algorithm>
#include <tuple>

#include "zinnia_base/hashing/fingerprint.h"

namespace zinnia {

std::uint64_t RendezvousWeight(std::string_view subject, std::string_view candidate) {
  return Hash64(candidate, Hash64(subject));
}

std::vector<Instance> ChooseByRendezvous(std::string_view subject,
                                         std::vector<Instance> candidates,
                                         std::size_t count) {
  const auto heavier = [subject](const Instance& left, const Instance& right) {
    return std::tuple(RendezvousWeight(subject, left.name), left.name) >
           std::tuple(RendezvousWeight(subject, right.name), right.name);
  };
  const std::size_t kept = std::min(count, candidates.size());
  std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(kept),
                    candidates.end(), heavier);
  candidates.resize(kept);
  return candidates;
}

}  // namespace zinnia
