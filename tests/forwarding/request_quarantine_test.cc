#include "zinnia_decisions/forwarding/crashes/request_quarantine.h"
#include "zinnia_base/time/virtual_time.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

TEST_GROUP(RequestQuarantine) {
  static constexpr Fingerprint kRequest{1, 2};

  VirtualTime time;
  RequestQuarantine quarantine{time, {}};
  int servers = 0;
  const Duration m_begin = time.Now().time_since_epoch();

  CrashReport Crash(CrashOnset onset) {
    return {
        kRequest,       "s" + std::to_string(++servers), onset, milliseconds(100), milliseconds(50),
        milliseconds(0)};
  }

  /** Crashes of different servers, each under an attempt after the one before. */
  void CrashInSeries(CrashOnset onset, int crashes) {
    for (int crash = 0; crash < crashes; ++crash) {
      time.AdvanceBy(milliseconds(400));
      quarantine.OnCrash(Crash(onset));
    }
  }

  bool IsRefused() const {
    return quarantine.TimeUntilRelease(kRequest).has_value();
  }
};

// Guards against more than three servers ending under one request.
TEST(RequestQuarantine, TheThirdCrashShortlyAfterItsBeginningIsProof) {
  CrashInSeries(CrashOnset::kBegun, 2);
  CHECK_FALSE(IsRefused());
  CHECK_TRUE(quarantine.WouldBeQuarantined(kRequest, 1));
  CrashInSeries(CrashOnset::kBegun, 1);
  CHECK_TRUE(IsRefused());
}

// Guards against blaming a stream for the ends of servers at which it waited or had run for long.
TEST(RequestQuarantine, CrashesBeforeOrLongAfterItsBeginningProveItInDoubleNumber) {
  quarantine.SetServerCount(1'000);
  CrashInSeries(CrashOnset::kQueued, 3);
  CrashInSeries(CrashOnset::kRunning, 2);
  CHECK_FALSE(IsRefused());
  CrashInSeries(CrashOnset::kQueued, 1);
  CHECK_TRUE(IsRefused());
}

// Guards against copies beside a request that hide the row of crashes which proves it: three of its
// attempts were each sent after the one before had ended its server.
TEST(RequestQuarantine, CopiesBesideItsAttemptsDoNotHideThatTheyWereSentOneAfterTheOther) {
  const auto crash_at = [this](int at_ms, int in_flight_ms, const char* server) {
    time.AdvanceBy(milliseconds(at_ms) - time.Now().time_since_epoch() + m_begin);
    quarantine.OnCrash({kRequest, server, CrashOnset::kBegun, milliseconds(in_flight_ms),
                        milliseconds(80), milliseconds(0)});
  };
  crash_at(257, 156, "a");
  crash_at(456, 198, "b");
  crash_at(547, 288, "copy");
  CHECK_FALSE(IsRefused());
  crash_at(605, 147, "c");
  CHECK_TRUE(IsRefused());
}

// Guards against refusing a request that was at three servers which another one ended, together
// with two more.
TEST(RequestQuarantine, ARequestIsNotBlamedBesideOneThatWasAtAllItsCrashesAndAtMore) {
  constexpr Fingerprint kOther{3, 4};
  constexpr Fingerprint kThird{5, 6};
  const auto crash = [this](const Fingerprint& request, const char* server) {
    quarantine.OnCrash({request, server, CrashOnset::kBegun, milliseconds(100), milliseconds(50),
                        milliseconds(0)});
  };
  for (const char* server : {"a", "b", "c", "d"}) {
    time.AdvanceBy(milliseconds(400));
    crash(kOther, server);
    if (server[0] == 'a' || server[0] == 'd') {
      crash(kThird, server);
    }
    if (server[0] != 'b') {
      crash(kRequest, server);
    }
    if (server[0] == 'b') {
      crash(kThird, server);
    }
  }
  CHECK_FALSE(IsRefused());
  CHECK_TRUE(quarantine.TimeUntilRelease(kOther).has_value());
}

// Guards against blaming a request for servers that die together.
TEST(RequestQuarantine, CopiesInFlightAtServersThatEndInOneMomentAreNoProof) {
  for (const CrashOnset onset : {CrashOnset::kBegun, CrashOnset::kUnknown}) {
    quarantine.OnEndedWell(kRequest);
    time.AdvanceBy(seconds(1));
    for (int copy = 0; copy < 4; ++copy) {
      CrashReport crash = Crash(onset);
      crash.in_flight = milliseconds(300);
      crash.age = milliseconds(copy);
      quarantine.OnCrash(crash);
    }
    CHECK_FALSE(IsRefused());
  }
}

// The same where the retry reaches a server that is about to end as well.
TEST(RequestQuarantine, AThirdCrashOfALaterMomentTellsTheRequestFromACommonCause) {
  quarantine.OnCrash(Crash(CrashOnset::kUnknown));
  time.AdvanceBy(milliseconds(5));
  CHECK_TRUE(quarantine.MustWait(kRequest, 1));
  CrashReport retry = Crash(CrashOnset::kUnknown);
  retry.in_flight = milliseconds(4);
  quarantine.OnCrash(retry);
  CHECK_TRUE(quarantine.MustWait(kRequest, 0));
  time.AdvanceBy(milliseconds(300));
  CHECK_FALSE(quarantine.MustWait(kRequest, 0));
  quarantine.OnCrash(Crash(CrashOnset::kUnknown));
  CHECK_TRUE(IsRefused());
}

// Guards against refusing a request that runs well between the ends of its servers.
TEST(RequestQuarantine, ARequestThatRunsElsewhereIsCleared) {
  CrashInSeries(CrashOnset::kBegun, 2);
  quarantine.OnRunning(kRequest, milliseconds(900));  // It may yet crash this one too.
  CHECK_TRUE(quarantine.IsSuspect(kRequest));
  quarantine.OnRunning(kRequest, milliseconds(1'100));
  CHECK_FALSE(quarantine.IsSuspect(kRequest));
  CrashInSeries(CrashOnset::kBegun, 2);
  quarantine.OnEndedWell(kRequest);
  CrashInSeries(CrashOnset::kBegun, 2);
  CHECK_FALSE(IsRefused());
}

// Guards against counting one crash twice, as reports of it arrive over several ways.
TEST(RequestQuarantine, ReportsOfOneCrashCountOnceInAnyOrder) {
  const CrashReport crash = Crash(CrashOnset::kBegun);
  CHECK_TRUE(quarantine.OnCrash(crash));
  CHECK_FALSE(quarantine.OnCrash(crash));
  CrashReport queued_copy = crash;
  queued_copy.onset = CrashOnset::kQueued;
  CHECK_FALSE(quarantine.OnCrash(queued_copy));
  CrashInSeries(CrashOnset::kBegun, 1);
  CHECK_FALSE(IsRefused());
}

// Guards against a request that stays refused after it has become harmless, or is let out for good
// while it has not.
TEST(RequestQuarantine, ItIsLetOutAfterAWhileAndRefusedForLongerAfterItsNextCrash) {
  CrashInSeries(CrashOnset::kBegun, 3);
  time.AdvanceBy(minutes(1));
  quarantine.RemoveExpired();
  CHECK_FALSE(IsRefused());
  CHECK_TRUE(quarantine.WouldBeQuarantined(kRequest, 1));
  CrashInSeries(CrashOnset::kQueued, 1);
  CHECK_TRUE(*quarantine.TimeUntilRelease(kRequest) > minutes(1));
  time.AdvanceBy(minutes(2));
  CHECK_FALSE(IsRefused());
  quarantine.OnEndedWell(kRequest);
  CrashInSeries(CrashOnset::kBegun, 2);
  CHECK_FALSE(IsRefused());
}

// Guards against two instances that prolong each other's quarantine for good.
TEST(RequestQuarantine, APeersReportOfTheSameQuarantineDoesNotProlongIt) {
  RequestQuarantine peer(time, {});
  CrashInSeries(CrashOnset::kBegun, 3);
  CHECK_TRUE(peer.OnQuarantine(quarantine.InForce(1).front()));
  for (int report = 0; report < 400; ++report) {
    time.AdvanceBy(milliseconds(200));
    for (const QuarantineReport& row : quarantine.InForce(1)) {
      peer.OnQuarantine(row);
    }
    for (const QuarantineReport& row : peer.InForce(1)) {
      time.AdvanceBy(milliseconds(20));
      quarantine.OnQuarantine(row);
    }
  }
  CHECK_EQUAL(0U, quarantine.CountInForce());
  CHECK_EQUAL(0U, peer.CountInForce());
}

// Guards against absurd reports of peers.
TEST(RequestQuarantine, ImplausibleReportsAreIgnored) {
  CHECK_FALSE(quarantine.OnQuarantine({kRequest, milliseconds(0), minutes(1)}));
  CHECK_FALSE(quarantine.OnQuarantine({kRequest, minutes(2), minutes(1)}));
  CHECK_FALSE(quarantine.OnQuarantine({kRequest, minutes(500), minutes(500)}));
  CrashReport old = Crash(CrashOnset::kBegun);
  old.age = minutes(3);
  CHECK_FALSE(quarantine.OnCrash(old));
  old.age = milliseconds(-1);
  CHECK_FALSE(quarantine.OnCrash(old));
  CHECK_FALSE(quarantine.IsSuspect(kRequest));
}

// Guards against refusing a request that many callers send, some copies of which are lost to
// servers that end under another one.
TEST(RequestQuarantine, ARequestThatEndedWellShortlyBeforeIsNotBlamed) {
  quarantine.OnEndedWell(kRequest);
  CrashInSeries(CrashOnset::kBegun, 5);
  CHECK_FALSE(IsRefused());
  CHECK_FALSE(quarantine.WouldBeQuarantined(kRequest, 5));
  CHECK_FALSE(quarantine.MustWait(kRequest, 5));
  CHECK_FALSE(quarantine.OnQuarantine({kRequest, minutes(1), minutes(1)}));
  const std::vector<ClearedRequest> cleared = quarantine.TakeCleared();
  CHECK_EQUAL(1U, cleared.size());
  CHECK_TRUE(cleared.front().request == kRequest);
}

// The same at an instance that has not seen it end well.
TEST(RequestQuarantine, APeersWordThatItEndsWellClearsIt) {
  CrashInSeries(CrashOnset::kBegun, 3);
  CHECK_TRUE(IsRefused());
  quarantine.OnCleared({kRequest, milliseconds(0)});
  CHECK_FALSE(IsRefused());
  CHECK_TRUE(quarantine.TakeCleared().empty());  // The peer has told everybody.
  CHECK_FALSE(quarantine.OnQuarantine({kRequest, seconds(50), minutes(1)}));
  CHECK_EQUAL(1U, quarantine.TakeCleared().size());  // But for one that still refuses it.
}

// Guards against a request that became harmful and is let through for what it was before.
TEST(RequestQuarantine, ThatItEndedWellLongAgoDoesNotCount) {
  quarantine.OnEndedWell(kRequest);
  time.AdvanceBy(minutes(1));
  CrashInSeries(CrashOnset::kBegun, 3);
  CHECK_TRUE(IsRefused());
}

// Guards against counting a crash against a request of which another copy had run there for longer.
TEST(RequestQuarantine, TheCopyThatRanLongestAtAServerCounts) {
  CrashInSeries(CrashOnset::kBegun, 2);
  time.AdvanceBy(milliseconds(400));
  CrashReport running = Crash(CrashOnset::kRunning);
  running.ran = milliseconds(900);
  CrashReport begun = running;
  begun.onset = CrashOnset::kBegun;
  begun.ran = milliseconds(50);
  quarantine.OnCrash(running);
  quarantine.OnCrash(begun);
  CHECK_FALSE(IsRefused());
}

// Guards against memory that grows with the requests lost in many crashes; what is refused stays.
TEST(RequestQuarantine, TheNumberOfRememberedRequestsIsBounded) {
  CrashInSeries(CrashOnset::kBegun, 3);
  for (std::uint64_t request = 0; request < 20'000; ++request) {
    CrashReport crash = Crash(CrashOnset::kQueued);
    crash.request = {9, request};
    quarantine.OnCrash(crash);
  }
  CHECK_TRUE(quarantine.CountRemembered() <= RequestQuarantineSettings().max_requests);
  CHECK_TRUE(IsRefused());
}

// Guards against instances that vouch for a request without end, since each says anew at every
// crash that it ended well once.
TEST(RequestQuarantine, PeersThatRepeatAnOldGoodEndDoNotProlongIt) {
  RequestQuarantine peer(time, {});
  quarantine.OnCrash(Crash(CrashOnset::kUnknown));
  quarantine.OnEndedWell(kRequest);
  for (int crash = 0; crash < 12; ++crash) {
    RequestQuarantine& teller = crash % 2 == 0 ? quarantine : peer;
    RequestQuarantine& hearer = crash % 2 == 0 ? peer : quarantine;
    for (const ClearedRequest& cleared : teller.TakeCleared()) {
      hearer.OnCleared(cleared);
    }
    time.AdvanceBy(seconds(3));
    hearer.OnCrash(Crash(CrashOnset::kUnknown));
  }
  CHECK_TRUE(peer.TimeUntilRelease(kRequest).has_value());
}

}  // namespace zinnia
