#pragma once

#include <cstddef>
#include <vector>

#include "zinnia_base/random/random_source.h"

namespace zinnia {

/** Draws the first servers that one request looks at, where a pool has many.

    Loads of other instances are known some hundred milliseconds late, and meanwhile all that look
   at all servers agree on the best. Of a few drawn ones the best is nearly as good, and no server
   gets more than its part of the requests between two reports.
*/
class FirstServerSampler {
 public:
  /** Pools with no more are looked at whole: their requests between two reports are few. */
  static constexpr std::size_t kFewFirstServers = 8;

  /** Two choices take most of the unevenness of one away. The one of another failure domain lets a
      domain that lost servers hand its requests on; bytes between domains are dear, so just one. */
  static constexpr std::size_t kNearLooks = 2;
  static constexpr std::size_t kFarLooks = 1;

  /** And one of the own domain to which there is an unused connection: these differ from instance
     to instance, so they lead no crowd anywhere. */
  static constexpr std::size_t kConnectedLooks = 1;

  explicit FirstServerSampler(RandomSource& random) : m_random(random) {}

  /** Takes whether each first server is of the own failure domain, and whether there is an unused
      connection to it; gives whether it is looked at. */
  std::vector<bool> Draw(const std::vector<bool>& is_same_domain,
                         const std::vector<bool>& has_connection);

 private:
  void DrawFrom(std::vector<std::size_t> group, std::size_t count, std::vector<bool>& drawn);

  RandomSource& m_random;
};

}  // namespace zinnia
