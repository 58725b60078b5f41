#include "tests/forwarding/part_schedule.h"

#include <cstdlib>

#include <CppUTest/TestHarness.h>

namespace zinnia {

using std::chrono::milliseconds;

/** ZINNIA_SEEDS plays so many seeds of each kind, from ZINNIA_FIRST_SEED on. */
struct PartSchedulesGroup : public Utest {
  static constexpr std::uint64_t kSeeds = 20;
  static constexpr std::uint64_t kSeedsOfLargeFleets = 2;
  static constexpr std::uint64_t kSeedsOfWholePool = 3;
  static constexpr std::uint64_t kSeedsOfFewServers = 20;

  /** Sends with a harmful part that are allowed later than the stability window after the fifth
      crash. */
  static constexpr int kMaxSentLate = 3;

  static std::uint64_t FromEnvironment(const char* name, std::uint64_t otherwise) {
    const char* text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
  }

  struct Sums {
    int refused = 0;
    int not_repeated = 0;
    int held = 0;
    int sent = 0;
    int crashes = 0;
    int cleared = 0;
    int most_ended = 0;
    int most_late = 0;
    Duration longest{};
    double least_begun = 1.0;
  };

  static std::string Describe(const PartSchedule& schedule) {
    return "refused " + std::to_string(schedule.SoundRefused()) + ", ended " +
           std::to_string(schedule.MostEnded()) + ", sent late " +
           std::to_string(schedule.MostSentLate());
  }

  static Sums Play(PartScheduleSettings settings, std::uint64_t seeds = kSeeds) {
    const std::uint64_t first = FromEnvironment("ZINNIA_FIRST_SEED", 1);
    const std::uint64_t count = FromEnvironment("ZINNIA_SEEDS", seeds);
    Sums sums;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
      settings.seed = seed;
      PartSchedule schedule(settings);
      schedule.Run();
      sums.refused += schedule.SoundRefused();
      sums.not_repeated += schedule.SoundNotRepeated();
      sums.held += schedule.SoundHeld();
      sums.sent += schedule.SoundSent();
      sums.crashes += schedule.Crashes();
      sums.cleared += schedule.Cleared();
      sums.most_ended = std::max(sums.most_ended, schedule.MostEnded());
      sums.most_late = std::max(sums.most_late, schedule.MostSentLate());
      sums.longest = std::max(sums.longest, schedule.LongestUntilRefused());
      sums.least_begun = std::min(sums.least_begun, schedule.SoundBegunLate());
      if (schedule.SoundRefused() > 0 || schedule.MostSentLate() > kMaxSentLate) {
        UT_PRINT(("seed " + std::to_string(seed) + ": " + Describe(schedule)).c_str());
      }
    }
    UT_PRINT(("seeds " + std::to_string(count) + ", sound requests " + std::to_string(sums.sent) +
              ", refused " + std::to_string(sums.refused) + ", not repeated " +
              std::to_string(sums.not_repeated) + ", held " + std::to_string(sums.held) +
              ", crashes " + std::to_string(sums.crashes) + ", told as cleared " +
              std::to_string(sums.cleared) + ", most ended by one part " +
              std::to_string(sums.most_ended) + ", most sent late " +
              std::to_string(sums.most_late) + ", longest until refused ms " +
              std::to_string(std::chrono::duration_cast<milliseconds>(sums.longest).count()) +
              ", least part of sound requests begun " + std::to_string(sums.least_begun))
                 .c_str());
    return sums;
  }

  static void CheckHarmfulAloneAreRefused(const PartScheduleSettings& settings,
                                          std::uint64_t seeds = kSeeds) {
    const Sums sums = Play(settings, seeds);
    CHECK_EQUAL(0, sums.refused);
    CHECK_TRUE(sums.most_late <= kMaxSentLate);
  }
};

TEST_GROUP_BASE(PartSchedules, PartSchedulesGroup){};
TEST_GROUP_BASE(PartSchedulesOfFewServers, PartSchedulesGroup){};

// Guards against a part of prompts that goes on ending servers, and against refusing others for it.
TEST(PartSchedules, OneHarmfulPartIsRefusedAndNoOther) {
  CheckHarmfulAloneAreRefused(PartScheduleSettings());
}

// The same for many requests with it a second, and for few.
TEST(PartSchedules, AHarmfulPartIsRefusedAtAnyRate) {
  for (const double rate : {0.5, 2.0, 20.0}) {
    PartScheduleSettings settings;
    settings.harmful_per_second = rate;
    settings.duration = std::chrono::seconds(rate < 1.0 ? 40 : 20);
    CheckHarmfulAloneAreRefused(settings);
  }
}

// Guards against beginnings of answers that are lost with the server in each case.
TEST(PartSchedules, AHarmfulPartWhoseAnswersNobodySeesBeginIsRefused) {
  PartScheduleSettings settings;
  settings.unseen_beginnings = 1.0;
  CheckHarmfulAloneAreRefused(settings);
}

// Guards against two harmful parts of which one hides the other.
TEST(PartSchedules, TwoHarmfulPartsAreBothRefused) {
  PartScheduleSettings settings;
  settings.harmful_parts = 2;
  settings.harmful_per_second = 3.0;
  CheckHarmfulAloneAreRefused(settings);
}

// Guards against blaming a part for the end of a failure domain, or missing a harmful one then.
TEST(PartSchedules, AHarmfulPartIsRefusedBesideADomainThatDies) {
  PartScheduleSettings settings;
  settings.domains_die = true;
  CheckHarmfulAloneAreRefused(settings);
}

// The same for servers that end one after the other.
TEST(PartSchedules, AHarmfulPartIsRefusedBesideServersThatEndInSeries) {
  for (const milliseconds series : {milliseconds(1'500), milliseconds(400)}) {
    PartScheduleSettings settings;
    settings.series = series;
    CheckHarmfulAloneAreRefused(settings);
  }
}

// Guards against refusing sound requests where no part does harm.
TEST(PartSchedules, NobodyIsRefusedForServersThatEndOfSomethingElse) {
  for (const milliseconds series : {milliseconds(1'500), milliseconds(400)}) {
    for (const bool have_common_part : {false, true}) {
      PartScheduleSettings settings;
      settings.harmful_parts = 0;
      settings.domains_die = true;
      settings.series = series;
      settings.have_common_part = have_common_part;
      CheckHarmfulAloneAreRefused(settings);
    }
  }
}

// Guards against refusing everybody after the loss of all servers.
TEST(PartSchedules, NobodyIsRefusedForTheWholePoolThatEnds) {
  for (const milliseconds within : {milliseconds(50), milliseconds(600), milliseconds(1'000),
                                    milliseconds(1'500), milliseconds(3'000)}) {
    PartScheduleSettings settings;
    settings.harmful_parts = 0;
    settings.pool_dies_within = within;
    settings.have_common_part = true;
    CheckHarmfulAloneAreRefused(settings);
  }
}

// Guards against survivors from before a part became harmful that clear it afterwards.
TEST(PartSchedules, APartThatWasSoundBeforeIsRefused) {
  PartScheduleSettings settings;
  settings.was_sound_before = true;
  CheckHarmfulAloneAreRefused(settings);
}

// The same for one that half of the requests have, which ends all servers within a second.
TEST(PartSchedules, APartThatEndsTheWholePoolAtOnceIsRefused) {
  PartScheduleSettings settings;
  settings.was_sound_before = true;
  settings.is_most_common = true;
  CheckHarmfulAloneAreRefused(settings, kSeedsOfWholePool);
}

// The same for one that all requests have: each of them is refused then.
TEST(PartSchedules, APartOfAllThatEndsTheWholePoolIsRefused) {
  PartScheduleSettings settings;
  settings.harmful_parts = 0;
  settings.have_common_part = true;
  settings.is_common_part_harmful = true;
  CheckHarmfulAloneAreRefused(settings, kSeedsOfWholePool);
}

// Guards against refusing everybody for a part that all prompts share.
TEST(PartSchedules, APartThatAllShareIsNotRefusedForAnotherOne) {
  PartScheduleSettings settings;
  settings.have_common_part = true;
  CheckHarmfulAloneAreRefused(settings);
}

// Guards against an instance that starts anew and lets requests through which others refuse.
TEST(PartSchedules, AnInstanceThatStartsAnewRefusesToo) {
  for (const milliseconds at : {milliseconds(5'000), milliseconds(12'000)}) {
    PartScheduleSettings settings;
    settings.restart_at = at;
    CheckHarmfulAloneAreRefused(settings);
  }
}

// The same for larger fleets, where few instances see a survivor of their own.
TEST(PartSchedules, LargerFleetsLearnInTime) {
  for (const std::size_t instances : {65U, 300U}) {
    PartScheduleSettings settings;
    settings.instances = instances;
    settings.servers = instances;
    settings.sound_per_second = 200.0;
    settings.harmful_parts = 2;
    settings.duration = std::chrono::seconds(12);
    CheckHarmfulAloneAreRefused(settings, kSeedsOfLargeFleets);
  }
}

// Guards against a part that ends the few servers at which all requests begin, again and again.
TEST(PartSchedulesOfFewServers, AHarmfulPartIsRefusedWhereFewServersBeginPaths) {
  for (const std::size_t first_servers : {5U, 8U, 14U}) {
    for (const double rate : {0.2, 1.0, 5.0, 20.0}) {
      PartScheduleSettings settings;
      settings.first_servers = first_servers;
      settings.harmful_per_second = rate;
      settings.duration = std::chrono::seconds(rate < 1.0 ? 60 : 20);
      CheckHarmfulAloneAreRefused(settings, kSeedsOfFewServers);
    }
  }
}

// The same for a pool in which no other server can take the place of one that ended.
TEST(PartSchedulesOfFewServers, AHarmfulPartIsRefusedInSmallPools) {
  for (const std::size_t servers : {5U, 8U, 11U}) {
    PartScheduleSettings settings;
    settings.servers = servers;
    CheckHarmfulAloneAreRefused(settings, kSeedsOfFewServers);
  }
}

}  // namespace zinnia
