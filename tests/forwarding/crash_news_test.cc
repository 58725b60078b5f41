#include "zinnia_decisions/forwarding/observed_state/crash_news.h"
#include "tests/forwarding/control_fleet.h"
#include "zinnia_base/time/virtual_time.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

namespace zinnia {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(CrashNewsOfFleet) {
  static constexpr std::size_t kInstances = 9;
  static constexpr Fingerprint kRequest{0x1234, 0xabcd};

  /** How long a server of the small service takes to start again. */
  static constexpr Duration kRestart = milliseconds(3'400);

  ControlFleet fleet{kInstances, 3};
  int servers = 0;

  void setup() override {
    fleet.store.Put("configuration", "1");
    fleet.Advance(seconds(3));
  }

  /** A server crashes under an attempt of the request that an instance sent 50 ms before. */
  void Crash(std::size_t instance) {
    fleet.ReportCrash(instance, {kRequest, "s" + std::to_string(++servers), CrashOnset::kUnknown,
                                 milliseconds(50), milliseconds(0), milliseconds(0)});
  }

  /** The servers of a small service crash one after the other, unless all refuse the request. */
  void CrashWholeService() {
    for (std::size_t server = 0; server < 3 && fleet.CountThatRefuse(kRequest) == 0; ++server) {
      Crash(servers % kInstances);
      fleet.AdvanceWithUpkeep(milliseconds(90));
    }
  }

  /** The request loses a server, ends well elsewhere, and this is told. */
  void EndWellAfterCrash() {
    Crash(1);
    fleet.AdvanceWithUpkeep(milliseconds(300));
    fleet.EndWell(4, kRequest);
    fleet.AdvanceWithUpkeep(milliseconds(100));
  }
};

// Guards against instances that tell each other of a cleared request for ever, in a storm of news.
TEST(CrashNewsOfFleet, EachInstanceHearsOnceOfAClearedRequest) {
  EndWellAfterCrash();
  fleet.AdvanceWithUpkeep(seconds(10));
  CHECK_EQUAL(1, fleet.MostClearedHeard());
}

// The same with reports that take up to 120 ms, as between busy instances.
TEST(CrashNewsOfFleet, EachInstanceHearsOnceOfAClearedRequestBetweenBusyInstances) {
  fleet.SetDeliveryTime(milliseconds(120));
  EndWellAfterCrash();
  fleet.AdvanceWithUpkeep(seconds(10));
  CHECK_EQUAL(1, fleet.MostClearedHeard());
}

// Guards against news of a stall that goes in circles and keeps a server out of use for good.
TEST(CrashNewsOfFleet, EachInstanceHearsOnceOfAStall) {
  fleet.SetDeliveryTime(milliseconds(200));
  fleet.ReportStall(1, "s1");
  fleet.Advance(seconds(10));
  CHECK_EQUAL(1, fleet.MostStallsHeard());
}

// Guards against a second stall of a server that is taken for the first one.
TEST(CrashNewsOfFleet, EachInstanceHearsOfALaterStallOfTheSameServer) {
  fleet.SetDeliveryTime(milliseconds(200));
  fleet.ReportStall(1, "s1");
  fleet.Advance(seconds(4));
  fleet.ReportStall(1, "s1");
  fleet.Advance(seconds(4));
  CHECK_EQUAL(2, fleet.MostStallsHeard());
}

// Guards against a request that is vouched for without end, as each crash makes all say anew that
// it ended well once.
TEST(CrashNewsOfFleet, ARequestIsRefusedOnceItsLastGoodEndIsLongPast) {
  constexpr Duration kVouchedFor = seconds(20);
  EndWellAfterCrash();
  for (Duration passed{}; passed < kVouchedFor + 2 * kRestart; passed += kRestart) {
    CrashWholeService();
    fleet.AdvanceWithUpkeep(kRestart);
  }
  CHECK_EQUAL(kInstances, static_cast<std::size_t>(fleet.CountThatRefuse(kRequest)));
}

TEST_GROUP(CrashNewsByKind) {
  static constexpr Fingerprint kFingerprint{0x1234, 0xabcd};

  VirtualTime time;
  CrashNews news{time};

  static CrashReport CrashOf(std::uint64_t number, SuspectKind kind) {
    return {{1, number}, "s", CrashOnset::kBegun, {}, {}, {}, kind};
  }

  static std::vector<CrashReport> Crashes(std::uint64_t count, SuspectKind kind) {
    std::vector<CrashReport> crashes;
    for (std::uint64_t number = 0; number < count; ++number) {
      crashes.push_back(CrashOf(number, kind));
    }
    return crashes;
  }

  static std::vector<ClearedRequest> Cleared(std::uint64_t count, SuspectKind kind) {
    std::vector<ClearedRequest> cleared;
    for (std::uint64_t number = 0; number < count; ++number) {
      cleared.push_back({{1, number}, {}, kind});
    }
    return cleared;
  }

  static SuspectKind OtherThan(SuspectKind kind) {
    return kind == SuspectKind::kRequest ? SuspectKind::kPromptPart : SuspectKind::kRequest;
  }

  template <typename Report>
  static std::size_t CountOf(SuspectKind kind, const std::vector<Report>& reports) {
    return static_cast<std::size_t>(
        std::count_if(reports.begin(), reports.end(),
                      [kind](const Report& report) { return report.kind == kind; }));
  }
};

// Guards against news of a request that is taken for a repetition of news of a part.
TEST(CrashNewsByKind, APartAndARequestWithEqualFingerprintsAreTwo) {
  for (const SuspectKind kind : kSuspectKinds) {
    CHECK_EQUAL(1U, news.TakeNew({CrashOf(1, kind)}).size());
    CHECK_EQUAL(0U, news.TakeNew({CrashOf(1, kind)}).size());
    CHECK_EQUAL(1U, news.TakeNewlyCleared({{kFingerprint, {}, kind}}).size());
    CHECK_EQUAL(0U, news.TakeNewlyCleared({{kFingerprint, {}, kind}}).size());
  }
  for (const SuspectKind kind : kSuspectKinds) {
    CHECK_EQUAL(1U, CountOf(kind, news.Recent()));
    CHECK_EQUAL(1U, CountOf(kind, news.RecentlyCleared()));
  }
}

// Guards against many suspects of one kind that keep those of the other from being told.
TEST(CrashNewsByKind, OneKindNeverCrowdsOutTheOther) {
  constexpr std::uint64_t kMany = 10'000;
  for (const SuspectKind kind : kSuspectKinds) {
    CrashNews filled(time);
    filled.TakeNew(Crashes(kMany, kind));
    filled.TakeNewlyCleared(Cleared(kMany, kind));
    const SuspectKind other = OtherThan(kind);
    CHECK_EQUAL(1U, filled.TakeNew({CrashOf(kMany, other)}).size());
    CHECK_EQUAL(1U, filled.TakeNewlyCleared({{kFingerprint, {}, other}}).size());
    CHECK_EQUAL(1U, CountOf(other, filled.Recent()));
    CHECK_EQUAL(1U, CountOf(other, filled.RecentlyCleared()));
  }
}

// Guards against a stream that had just begun on a part and is not told of, as another instance had
// a request with the same part in the queue of the same server.
TEST(CrashNewsByKind, APartThatHadBegunIsNewsThoughItWasQueuedElsewhere) {
  CrashReport crash = CrashOf(1, SuspectKind::kPromptPart);
  for (const CrashOnset onset : {CrashOnset::kQueued, CrashOnset::kBegun, CrashOnset::kRunning}) {
    crash.onset = onset;
    CHECK_EQUAL(1U, news.TakeNew({crash}).size());
    CHECK_EQUAL(0U, news.TakeNew({crash}).size());
  }
  CHECK_EQUAL(3U, news.Recent().size());
  CHECK_TRUE(news.Recent().front().onset == CrashOnset::kBegun);
}

TEST(CrashNewsByKind, AReportHasABoundForEachKind) {
  constexpr std::uint64_t kMany = 2 * CrashNews::kMaxReports;
  for (const SuspectKind kind : kSuspectKinds) {
    news.TakeNew(Crashes(kMany, kind));
    news.TakeNewlyCleared(Cleared(kMany, kind));
  }
  for (const SuspectKind kind : kSuspectKinds) {
    CHECK_EQUAL(CrashNews::kMaxReports, CountOf(kind, news.Recent()));
    CHECK_EQUAL(CrashNews::kMaxReports, CountOf(kind, news.RecentlyCleared()));
  }
}

}  // namespace zinnia
