#include "zinnia_decisions/forwarding/crashes/part_quarantine.h"

#include <array>
#include <memory>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace zinnia {

using std::chrono::milliseconds;

TEST_GROUP(PartQuarantine) {
  struct ManualClock final : Clock {
    TimePoint Now() const override { return now; }
    WallTimePoint WallNow() const override { return WallTimePoint(now.time_since_epoch()); }
    TimePoint now{std::chrono::hours(1)};
  };

  static constexpr Fingerprint kPart{1, 1};
  static constexpr Fingerprint kOther{1, 2};

  /** All instances know of a crash by then, so that the next request is sent on probation. */
  static constexpr milliseconds kBetweenTrials{1'000};

  ManualClock m_clock;
  PartQuarantineSettings m_settings;
  PartQuarantine m_parts{m_clock, m_settings};
  int m_servers = 0;

  bool Crash(const Fingerprint& part, CrashOnset onset = CrashOnset::kBegun) {
    CrashReport report;
    report.request = part;
    report.server = "srv-" + std::to_string(++m_servers);
    report.onset = onset;
    report.kind = SuspectKind::kPromptPart;
    return m_parts.OnCrash(report);
  }

  /** A stream with another part lives meanwhile. */
  void Pass(milliseconds time) {
    m_parts.OnSurvived({kOther}, m_clock.now);
    m_clock.now += time;
  }

  void CrashInMoments(int count) {
    for (int crash = 0; crash < count; ++crash) {
      Crash(kPart);
      Pass(kBetweenTrials);
    }
    Pass(milliseconds(1'000));
    m_parts.RemoveExpired();
  }
  bool IsRefused() const {
    return m_parts.FindQuarantined({kOther, kPart}).has_value();
  }
};

TEST(PartQuarantine, FourMomentsProveAPart) {
  CrashInMoments(3);
  CHECK_FALSE(IsRefused());
  CrashInMoments(1);
  CHECK_TRUE(IsRefused());
  CHECK_FALSE(m_parts.FindQuarantined({kOther}).has_value());
  CHECK_EQUAL(1U, m_parts.CountInForce());
  CHECK_EQUAL(4U, m_parts.CrashedServers(kPart).size());
  CHECK_TRUE(m_parts.TimeUntilRelease({kPart}) > Duration(std::chrono::hours(1)));
}

// Guards against blaming a part for the end of a failure domain.
TEST(PartQuarantine, ManyServersInOneMomentProveNothing) {
  for (int server = 0; server < 12; ++server) {
    Crash(kPart);
  }
  Pass(milliseconds(2'000));
  m_parts.RemoveExpired();
  CHECK_FALSE(IsRefused());
  CHECK_FALSE(m_parts.HasStrongSuspect({kPart}));
}

TEST(PartQuarantine, ASurvivorDropsTheCrashesBeforeItAndIsTold) {
  CrashInMoments(3);
  CHECK_TRUE(m_parts.HasStrongSuspect({kPart}));
  m_parts.OnSurvived({kPart}, m_clock.now);
  CHECK_FALSE(m_parts.HasStrongSuspect({kPart}));
  const std::vector<ClearedRequest> cleared = m_parts.TakeCleared();
  CHECK_EQUAL(1U, cleared.size());
  CHECK_TRUE(cleared.front().request == kPart);
  CHECK_TRUE(cleared.front().kind == SuspectKind::kPromptPart);
  CHECK_TRUE(m_parts.TakeCleared().empty());
  CrashInMoments(1);
  CHECK_FALSE(IsRefused());
}

// Guards against survivors from before a part became harmful that clear it afterwards.
TEST(PartQuarantine, ASurvivorSaysNothingOfLaterCrashes) {
  const TimePoint before = m_clock.now;
  Pass(milliseconds(100));
  CrashInMoments(4);
  m_parts.OnSurvived({kPart}, before);
  CHECK_TRUE(IsRefused());
  CHECK_TRUE(m_parts.TakeCleared().empty());
}

TEST(PartQuarantine, OneCrashAfterTheReleaseDoublesTheQuarantine) {
  CrashInMoments(4);
  m_clock.now += m_settings.first_quarantine;
  CHECK_FALSE(IsRefused());
  CHECK_TRUE(Crash(kPart));
  CHECK_TRUE(IsRefused());
  CHECK_TRUE(Duration(m_parts.ReportOf(kPart).duration) == 2 * m_settings.first_quarantine);
}

TEST(PartQuarantine, APeerTakesItOverOnce) {
  CrashInMoments(4);
  PartQuarantine peer(m_clock, m_settings);
  const QuarantineReport report = m_parts.InForce(1).front();
  CHECK_TRUE(peer.OnQuarantine(report));
  CHECK_FALSE(peer.OnQuarantine(report));
  CHECK_TRUE(peer.FindQuarantined({kPart}).has_value());
}

// Guards against a quarantine that peers repeat after a stream has shown that it was wrong.
TEST(PartQuarantine, OneThatASurvivorContradictsIsNotTakenOver) {
  CrashInMoments(4);
  PartQuarantine peer(m_clock, m_settings);
  const QuarantineReport report = m_parts.InForce(1).front();
  peer.OnSurvived({kPart}, m_clock.now);
  CHECK_FALSE(peer.OnQuarantine(report));
  for (const ClearedRequest& cleared : peer.TakeCleared()) {
    m_parts.OnCleared(cleared);
  }
  CHECK_FALSE(IsRefused());
  CHECK_FALSE(m_parts.OnQuarantine(report));
}

TEST(PartQuarantine, ARunningStreamIsNoEvidence) {
  CHECK_FALSE(Crash(kPart, CrashOnset::kRunning));
  CHECK_EQUAL(0U, m_parts.CountRemembered());
}

// Guards against sending one request after the other with a part that is not proven yet.
TEST(PartQuarantine, RequestsWithASuspectAreSentInTurns) {
  constexpr std::size_t kInstances = 4;
  constexpr milliseconds kPlayed{20'000};
  std::vector<std::unique_ptr<PartQuarantine>> instances;
  for (std::size_t rank = 0; rank < kInstances; ++rank) {
    instances.push_back(std::make_unique<PartQuarantine>(m_clock, m_settings));
    instances.back()->SetPlace({rank, kInstances});
  }
  const auto crash_everywhere = [&] {
    CrashReport report;
    report.request = kPart;
    report.server = "srv-" + std::to_string(++m_servers);
    report.onset = CrashOnset::kBegun;
    report.kind = SuspectKind::kPromptPart;
    for (const auto& instance : instances) {
      instance->OnCrash(report);
    }
    m_clock.now += milliseconds(800);
  };
  crash_everywhere();
  CHECK_FALSE(instances.front()->MustWait({kPart}));
  crash_everywhere();
  int sent = 0;
  for (milliseconds played{0}; played < kPlayed; played += milliseconds(10)) {
    for (const auto& instance : instances) {
      if (!instance->MustWait({kOther, kPart})) {
        instance->OnSent({kOther, kPart});
        ++sent;
      }
      CHECK_FALSE(instance->MustWait({kOther}));
    }
    m_clock.now += milliseconds(10);
  }
  CHECK_TRUE(sent <= kPlayed / Probation::kTrialPeriod + 1);
  CHECK_TRUE(sent >= kPlayed / Probation::kTrialPeriod - 1);
}

// Guards against holding back requests with a part of which a stream lives.
TEST(PartQuarantine, ASurvivorEndsProbation) {
  CrashInMoments(2);
  CHECK_TRUE(m_parts.MustWait({kPart}));
  m_parts.OnSurvived({kPart}, m_clock.now);
  CHECK_FALSE(m_parts.MustWait({kPart}));
}

// Guards against trials that cannot tell which of two suspects they speak of.
TEST(PartQuarantine, ARequestWithOneSuspectGoesBeforeOneWithTwo) {
  for (int crash = 0; crash < 2; ++crash) {
    Crash(kPart);
    CrashReport report;
    report.request = kOther;
    report.server = "srv-" + std::to_string(m_servers);
    report.onset = CrashOnset::kBegun;
    report.kind = SuspectKind::kPromptPart;
    m_parts.OnCrash(report);
    m_clock.now += kBetweenTrials;
  }
  CHECK_TRUE(m_parts.MustWait({kPart, kOther}));
  milliseconds alone_after{0};
  while (m_parts.MustWait({kPart})) {
    CHECK_TRUE(m_parts.MustWait({kPart, kOther}));
    m_clock.now += milliseconds(10);
    alone_after += milliseconds(10);
    CHECK_TRUE(alone_after < 3 * Probation::kTrialPeriod);
  }
  CHECK_TRUE(m_parts.MustWait({kPart, kOther}));
  m_clock.now += Probation::kTimeOfSingleSuspects;
  CHECK_FALSE(m_parts.MustWait({kPart, kOther}));
}

// Guards against a long wait for the trial that the proof still needs.
TEST(PartQuarantine, TrialsThatProveNothingYetAreFollowedSoon) {
  constexpr std::array<milliseconds, 4> kCrashes = {milliseconds(0), milliseconds(250),
                                                    milliseconds(950), milliseconds(1'830)};
  constexpr Duration kSoon = milliseconds(600) + Probation::kTrialPeriod;
  const TimePoint begin = m_clock.now;
  for (const milliseconds at : kCrashes) {
    m_clock.now = begin + at;
    m_parts.MustWait({kPart});
    m_parts.OnSent({kPart});
    Crash(kPart);
  }
  const TimePoint last = m_clock.now;
  while (m_parts.MustWait({kPart})) {
    m_clock.now += milliseconds(10);
    CHECK_TRUE(m_clock.now - last <= kSoon);
  }
  m_parts.RemoveExpired();
  CHECK_FALSE(IsRefused());
}

// Guards against a next trial before all instances know how the last one ended.
TEST(PartQuarantine, NoTrialFollowsTheEndOfAServerAtOnce) {
  constexpr Duration kPause = milliseconds(600);
  for (const milliseconds until_crash : {milliseconds(60), milliseconds(300), milliseconds(800)}) {
    m_parts.OnSurvived({kPart}, m_clock.now);
    Crash(kPart);
    m_clock.now += kBetweenTrials;
    Crash(kPart);
    while (m_parts.MustWait({kPart})) {
      m_clock.now += milliseconds(10);
    }
    m_parts.OnSent({kPart});
    m_clock.now += until_crash;
    Crash(kPart);
    const TimePoint crashed_at = m_clock.now;
    while (m_clock.now - crashed_at < kPause) {
      CHECK_TRUE(m_parts.MustWait({kPart}));
      m_clock.now += milliseconds(10);
    }
    m_clock.now += std::chrono::seconds(30);
  }
}

// Guards against unused turns that many instances use together later.
TEST(PartQuarantine, AnUnusedTurnEnds) {
  constexpr std::size_t kInstances = 10;
  Probation probation(m_clock);
  probation.SetPlace({3, kInstances});
  probation.Watch(kPart);
  int open_for_ms = 0;
  for (milliseconds passed{0}; passed < 3 * kInstances * Probation::kTrialPeriod;
       passed += milliseconds(1)) {
    open_for_ms += probation.HasTurn(kPart, true) ? 1 : 0;
    m_clock.now += milliseconds(1);
  }
  const auto of_three = std::chrono::duration_cast<milliseconds>(3 * Probation::kTurnLifetime);
  CHECK_EQUAL(of_three.count(), open_for_ms);
}

}  // namespace zinnia
