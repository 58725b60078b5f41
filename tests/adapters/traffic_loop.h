#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>

namespace zinnia {

/** Runs the loop until the condition holds. False if it does not hold after many seconds: then the
    test failed, and only then does the time matter. */
inline bool RunUntil(boost::asio::io_context& loop, const std::function<bool()>& condition) {
  constexpr std::chrono::seconds kGiveUpAfter{10};
  const auto give_up_at = std::chrono::steady_clock::now() + kGiveUpAfter;
  while (!condition()) {
    loop.restart();
    loop.run_one_until(give_up_at);
    if (std::chrono::steady_clock::now() >= give_up_at) {
      return false;
    }
  }
  return true;
}

/** Runs all that is ready now. */
inline void RunReady(boost::asio::io_context& loop) {
  loop.restart();
  loop.poll();
}

}  // namespace zinnia
