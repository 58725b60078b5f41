// Plays a stream that crashes each worker that begins to run it before the head of its answer is
// out, at a small pool, and counts how often it still reaches workers.

#include <atomic>
#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>

#include "review/standin-2/harmful_play.h"

namespace zinnia::review {
namespace {

using std::chrono::milliseconds;

int Play(const std::string& program, const std::string& folder, const std::string& record_file) {
  HarmfulPlayOptions options;
  options.route_type = "streaming";
  options.method = "POST";
  options.servers = 4;
  options.route_time = milliseconds(20'000);
  options.deadline = milliseconds(20'000);
  options.between_requests = milliseconds(3'400);
  options.played = milliseconds(40'000);
  HarmfulPlay play(program, folder, record_file, options);
  if (!play.Start()) {
    std::cout << "the instances did not become ready\n";
    return kNotRun;
  }
  std::atomic<bool> stopping = false;
  std::thread others([&] { play.PlayOthers(stopping); });
  const std::string name = IsTroubled() ? kHarmfulMark : "harmless";
  const bool is_broken = play.PlayRequest("/lookup/" + name);
  stopping = true;
  others.join();
  play.End();
  return is_broken ? kRuleBroken : kRuleHeld;
}

}  // namespace
}  // namespace zinnia::review

int main(int argc, char** argv) {
  if (argc != 4) {
    std::cout << "usage: harmful_stream_case PROGRAM FOLDER RECORD\n";
    return zinnia::review::kNotRun;
  }
  const int result = zinnia::review::Play(argv[1], argv[2], argv[3]);
  std::cout.flush();
  std::_Exit(result);
}
