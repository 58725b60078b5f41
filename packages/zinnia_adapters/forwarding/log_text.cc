#include "zinnia_adapters/forwarding/log_text.h"

#include <fmt/format.h>

namespace zinnia {

std::string Milliseconds(Duration duration) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::string DescribePath(const LayerPath& path) {
  std::string text;
  for (const PathPart& part : path) {
    text += fmt::format("{}{}={}-{}", text.empty() ? "" : ",", part.server, part.layers.first,
                        part.layers.end);
  }
  return text;
}

}  // namespace zinnia
