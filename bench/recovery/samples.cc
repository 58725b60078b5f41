#include "samples.h"

#include <algorithm>
#include <cmath>
#include <iostream>

namespace zinnia::bench {

void Samples::Print(const std::string& name) const {
  std::vector<double> sorted = m_milliseconds;
  std::ranges::sort(sorted);
  const auto quantile = [&](double share) {
    const auto rank = static_cast<std::size_t>(std::ceil(share * sorted.size()));
    return sorted.empty() ? 0.0 : sorted[std::max<std::size_t>(rank, 1) - 1];
  };
  std::cout << name << "_p50_ms=" << quantile(0.50) << "\n"
            << name << "_p99_ms=" << quantile(0.99) << "\n"
            << name << "_samples=" << sorted.size() << std::endl;
}

}  // namespace zinnia::bench
