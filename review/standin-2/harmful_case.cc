// Plays requests that crash each worker that begins to run them, at a pool whose workers answer
// some requests with a 500 of their own, and counts how often they still reach workers.

#include <atomic>
#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>

#include "review/standin-2/harmful_play.h"

namespace zinnia::review {
namespace {

using std::chrono::milliseconds;

/** The share of desk-lookup requests that a worker answers with a 500 of its own, disruption or
    not: error_share in the site file. */
constexpr double kErrorShare = 0.14;

/** One harmful request after the other. */
constexpr milliseconds kLastBegins{80'000};

int Play(const std::string& program, const std::string& folder, const std::string& record_file) {
  const bool is_troubled = IsTroubled();
  HarmfulPlayOptions options;
  options.error_share = kErrorShare;
  HarmfulPlay play(program, folder, record_file, options);
  if (!play.Start()) {
    std::cout << "the instances did not become ready\n";
    return kNotRun;
  }
  std::atomic<bool> stopping = false;
  std::thread others([&] { play.PlayOthers(stopping); });
  bool is_broken = false;
  const auto last_begins = Clock::now() + kLastBegins;
  for (int number = 1; Clock::now() < last_begins && !is_broken; ++number) {
    const std::string name = is_troubled ? kHarmfulMark : "harmless";
    is_broken = play.PlayRequest("/lookup/" + name + std::to_string(number));
  }
  stopping = true;
  others.join();
  play.End();
  return is_broken ? kRuleBroken : kRuleHeld;
}

}  // namespace
}  // namespace zinnia::review

int main(int argc, char** argv) {
  if (argc != 4) {
    std::cout << "usage: harmful_case PROGRAM FOLDER RECORD\n";
    return zinnia::review::kNotRun;
  }
  const int result = zinnia::review::Play(argv[1], argv[2], argv[3]);
  std::cout.flush();
  std::_Exit(result);
}
