#pragma once

#include <chrono>
#include <functional>

namespace zinnia::testing {

/** Far more than anything takes that is waited for, so that a loaded machine changes no verdict. */
constexpr std::chrono::seconds kPollingBound{30};

/** Asks again and again until `holds` says yes; returns false if it has not within the bound. */
bool Eventually(const std::function<bool()>& holds, std::chrono::seconds bound = kPollingBound);

}  // namespace zinnia::testing
