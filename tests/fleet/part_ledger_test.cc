#include "platform/soak/part_ledger.h"
#include "platform/soak/prompt_parts.h"
#include "zinnia_base/time/virtual_time.h"

#include <string>

#include <CppUTest/TestHarness.h>

namespace zinnia::platform::soak {

using std::chrono::milliseconds;

TEST_GROUP(PartLedger) {
  static constexpr const char* kHarmful = "aa:1,deadf00d:1,bb:1";
  static constexpr int kMany = 100;

  VirtualTime time;
  PartLedger ledger{time};
  int last = 0;

  std::string Send(const std::string& parts) {
    std::string request = std::to_string(++last);
    ledger.OnSend(request, parts);
    return request;
  }

  void CrashServers(int count) {
    for (int index = 0; index < count; ++index) {
      const std::string request = Send(kHarmful);
      ledger.OnArrival(request);
      ledger.OnCrash(request);
    }
  }

  void SendToServers(const std::string& parts, int count) {
    for (int index = 0; index < count; ++index) {
      ledger.OnArrival(Send(parts));
    }
  }

  /** Sound requests of which only the first `begun` begin. */
  void AnswerSound(const std::string& parts, int count, int begun) {
    for (int index = 0; index < count; ++index) {
      ledger.OnOutcome(Send(parts), index < begun);
    }
  }
};

TEST(PartLedger, TellsOfMoreThanThreeLateSends) {
  CrashServers(PartLedger::kProof);
  time.AdvanceBy(PartLedger::kKnownWithin);
  SendToServers(kHarmful, 3);
  CHECK_EQUAL(0U, ledger.Violations().size());
  SendToServers(kHarmful, 1);
  CHECK_EQUAL(1U, ledger.Violations().size());
  CHECK_EQUAL(4, ledger.LateSends());
}

TEST(PartLedger, CountsFromThreeSecondsAfterTheFifthCrash) {
  CrashServers(PartLedger::kProof - 1);
  time.AdvanceBy(milliseconds(10'000));
  CrashServers(1);
  time.AdvanceBy(PartLedger::kKnownWithin - milliseconds(1));
  SendToServers(kHarmful, kMany);
  CHECK_EQUAL(0, ledger.LateSends());
}

TEST(PartLedger, CountsNoSoundRequests) {
  CrashServers(PartLedger::kProof);
  time.AdvanceBy(PartLedger::kKnownWithin);
  SendToServers("aa:1,bb:1", kMany);
  CHECK_EQUAL(0, ledger.LateSends());
}

TEST(PartLedger, ACrashUnderASoundRequestIsNoProof) {
  CrashServers(PartLedger::kProof - 1);
  ledger.OnCrash(Send("aa:1,bb:1"));
  CHECK_EQUAL(PartLedger::kProof - 1, ledger.Crashes());
}

TEST(PartLedger, TellsOfSoundRequestsThatAreRefusedForTheirFirstPart) {
  CrashServers(PartLedger::kProof);
  time.AdvanceBy(PartLedger::kKnownWithin);
  AnswerSound("cc:1,bb:1", kMany, 90);
  AnswerSound("aa:1,bb:1", kMany, 45);
  CHECK_EQUAL(0U, ledger.Violations().size());
  AnswerSound("aa:1,bb:1", 1, 0);
  CHECK_EQUAL(1U, ledger.Violations().size());
}

TEST(PartLedger, ComparesOnlySoundRequestsAfterTheProof) {
  AnswerSound("aa:1,bb:1", kMany, 0);
  CrashServers(PartLedger::kProof);
  time.AdvanceBy(PartLedger::kKnownWithin);
  AnswerSound("cc:1,bb:1", kMany, kMany);
  AnswerSound(kHarmful, kMany, 0);
  CHECK_EQUAL(0U, ledger.Sharing().requests);
  CHECK_EQUAL(0U, ledger.Violations().size());
}

TEST(PartLedger, HarmfulPartsAreNeitherFirstNorLast) {
  for (std::uint64_t number = 0; number < kMany; ++number) {
    const std::string parts = HarmfulParts(number, "request");
    CHECK_TRUE(HasHarmfulPart(parts));
    CHECK_FALSE(HasHarmfulPart(FirstPart(parts)));
    CHECK_FALSE(HasHarmfulPart(parts.substr(parts.rfind(','))));
    CHECK_FALSE(HasHarmfulPart(SoundParts(number, "request")));
  }
}

}  // namespace zinnia::platform::soak
