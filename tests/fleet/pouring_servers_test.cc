#include <algorithm>
#include <chrono>
#include <fstream>
#include <thread>

#include "tests/fleet/small_fleet.h"

#include <CppUTest/TestHarness.h>

namespace zinnia::platform::soak {

TEST_GROUP(PouringServers) {
  static constexpr std::size_t kServers = 6;
  static constexpr std::size_t kPouring = 3;
  static constexpr std::size_t kCallers = 48;
  static constexpr std::chrono::seconds kPlayed{12};

  /** Of the smallest machine that instances run on. */
  static constexpr std::uint64_t kMostMemoryKb = 112'000;

  SmallFleet fleet{"pouring_servers", /*instances=*/1, kServers};

  /** The most memory that the process has held. */
  static std::uint64_t PeakMemoryKb(const Member& member) {
    std::ifstream file(fmt::format("/proc/{}/status", member.process->Id()));
    std::string word;
    std::uint64_t kilobytes = 0;
    while (file >> word && word != "VmHWM:") {
    }
    file >> kilobytes;
    return kilobytes;
  }
};

// Guards against an instance that keeps what servers send without end until it has no memory left,
// and ends with the requests of all its callers.
TEST(PouringServers, TheInstanceKeepsWithinItsMemoryAndServesOthers) {
  CHECK_TRUE(fleet.IsServed());
  fleet.CallersCome(kCallers);
  for (std::size_t index = 0; index < kPouring; ++index) {
    fleet.backends[index]->Trouble().Set(AnswerFlaw::kPour, true);
  }
  std::this_thread::sleep_for(kPlayed);
  for (const auto& backend : fleet.backends) {
    backend->Trouble().Set(AnswerFlaw::kPour, false);
  }
  const Member& member = *fleet.Members().front();
  const std::uint64_t peak = PeakMemoryKb(member);
  std::string poured;
  for (const auto& [part, count] : fleet.ledger.Pours().Judged()) {
    poured += fmt::format(" {}:{}", part, count);
  }
  UT_PRINT(fmt::format("without end:{}, answered beside them {} of {}, peak memory {} kB", poured,
                       fleet.ledger.Pours().AnsweredBeside(), fleet.ledger.Pours().Beside(), peak)
               .c_str());
  CHECK_FALSE(member.process->WaitForEnd(std::chrono::milliseconds(0)).has_value());
  CHECK_TRUE(peak > 0 && peak < kMostMemoryKb);
  CHECK_EQUAL(3U, fleet.ledger.Pours().Judged().size());
  for (const std::string& violation : fleet.ledger.Violations()) {
    FAIL(violation.c_str());
  }
}

}  // namespace zinnia::platform::soak
