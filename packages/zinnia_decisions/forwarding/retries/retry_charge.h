#pragma once

#include <string_view>

namespace zinnia {

/** How a retry counts against the retry budget. kNotCharged: it replaces an attempt of which no
   byte was sent. kRefused: the budget is exhausted, so there must be no retry. */
enum class RetryCharge { kNotCharged, kCharged, kRefused };

std::string_view NameOf(RetryCharge charge);

}  // namespace zinnia
