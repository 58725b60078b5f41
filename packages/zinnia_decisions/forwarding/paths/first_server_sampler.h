#pragma once

#include <cstddef>
#include <vector>

#include "zinnia_base/random/random_source.h"

namespace zinnia {

/** Samples the first servers considered for one request in a large pool.

    Load reports from other instances arrive some hundred milliseconds late. If every instance
    compared all servers, they would all choose the same one until the next report. Choosing the
    best of a small random sample spreads requests at little cost in quality.
*/
class FirstServerSampler {
 public:
  /** Pools up to this size are compared in full. */
  static constexpr std::size_t kMaxUnsampledServers = 8;

  /** Two local samples even out most of the load. One remote sample lets a failure domain that lost
      servers pass requests on without using much of the inter-domain link. */
  static constexpr std::size_t kLocalSamples = 2;
  static constexpr std::size_t kRemoteSamples = 1;

  /** Additional samples among the local servers with an idle connection. These servers differ from
      instance to instance, so they attract no common load. */
  static constexpr std::size_t kConnectedSamples = 1;

  explicit FirstServerSampler(RandomSource& random) : m_random(random) {}

  /** Returns which first servers to consider. `is_local` tells which servers are in the caller's
      failure domain, `has_connection` which of them have an idle connection. */
  std::vector<bool> Draw(const std::vector<bool>& is_same_domain,
                         const std::vector<bool>& has_connection);

 private:
  void DrawFrom(std::vector<std::size_t> group, std::size_t count, std::vector<bool>& drawn);

  RandomSource& m_random;
};

}  // namespace zinnia
