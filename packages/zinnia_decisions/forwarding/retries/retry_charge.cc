#include "zinnia_decisions/forwarding/retries/retry_charge.h"

#include <array>
#include <cstddef>

namespace zinnia {
namespace {

constexpr std::array<std::string_view, 3> kNames = {"not_charged", "charged", "refused"};

}  // namespace

std::string_view NameOf(RetryCharge charge) {
  return kNames.at(static_cast<std::size_t>(charge));
}

}  // namespace zinnia
