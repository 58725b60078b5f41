#include "polling.h"

#include <thread>

namespace zinnia::testing {

bool Eventually(const std::function<bool()>& holds, std::chrono::seconds bound) {
  constexpr std::chrono::milliseconds kBetweenQuestions{10};
  const auto end = std::chrono::steady_clock::now() + bound;
  while (!holds()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kBetweenQuestions);
  }
  return true;
}

}  // namespace zinnia::testing
