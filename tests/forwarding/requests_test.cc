#include <fmt/format.h>

#include <ctime>
#include <string>

#include "tests/forwarding/forwarding_fakes.h"
#include "zinnia_decisions/forwarding/event_splitter.h"
#include "zinnia_decisions/forwarding/limits/recent_instances.h"
#include "zinnia_decisions/forwarding/limits/rendezvous_limit_division.h"
#include "zinnia_decisions/forwarding/limits/server_limits.h"
#include "zinnia_decisions/forwarding/observed_state/load_tracker.h"
#include "zinnia_decisions/forwarding/observed_state/server_health.h"
#include "zinnia_decisions/forwarding/paths/plain_server_chooser.h"
#include "zinnia_decisions/forwarding/paths/route_table.h"
#include "zinnia_decisions/forwarding/retries/retry_policy.h"
#include "zinnia_decisions/forwarding/retries/shared_retry_budget.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(ForwardRoutes) {
  ForwardingRules rules;

  void Add(const std::string& name, const std::string& host, const std::string& prefix) {
    ForwardRoute route;
    route.name = name;
    route.host = host;
    route.path_prefix = prefix;
    rules.routes.push_back(route);
  }

  std::string Find(const std::string& host, const std::string& path) {
    const auto route = RouteTable(rules).Find(host, path);
    return route ? route->name : "none";
  }
};

TEST(ForwardRoutes, LongestPrefixOfTheHostWins) {
  Add("short", "a.example", "/x/");
  Add("long", "a.example", "/x/y/");
  Add("other", "b.example", "/x/y/z/");
  STRCMP_EQUAL("long", Find("a.example", "/x/y/z/1").c_str());
  STRCMP_EQUAL("short", Find("a.example", "/x/yz").c_str());
  STRCMP_EQUAL("none", Find("a.example", "/x").c_str());
  STRCMP_EQUAL("none", Find("c.example", "/x/").c_str());
}

TEST(ForwardRoutes, HostsCompareWithoutCaseAndPort) {
  Add("route", "a.example", "/x/");
  STRCMP_EQUAL("route", Find("A.Example:8080", "/x/?q=/y/").c_str());
}

TEST_GROUP(EventSplitting) {
  EventSplitter splitter;
};

TEST(EventSplitting, GivesOnlyWholeEvents) {
  STRCMP_EQUAL("", splitter.Take("id: 1\nda").c_str());
  STRCMP_EQUAL("id: 1\ndata: a\n\n", splitter.Take("ta: a\n\nid: 2\n").c_str());
  CHECK_TRUE(splitter.HasPartialEvent());
  CHECK_EQUAL(1, *splitter.LastEventId());
  STRCMP_EQUAL("id: 2\ndata: b\n\n", splitter.Take("data: b\n\n").c_str());
  CHECK_EQUAL(2, *splitter.LastEventId());
  CHECK_FALSE(splitter.HasPartialEvent());
}

// Guards against joining a partial event to the event with which another server resumes the stream.
TEST(EventSplitting, DroppedPartialEventIsNotJoinedToTheNextServersEvent) {
  splitter.Take("id: 2\ndata: b\n\nid: 3\ndata: br");
  splitter.DropPartialEvent();
  STRCMP_EQUAL("id: 3\ndata: whole\n\n", splitter.Take("id: 3\ndata: whole\n\n").c_str());
}

// Guards against a delimiter that is missed since a read ended within it.
TEST(EventSplitting, EventsAreFoundWhereverTheBytesAreCut) {
  for (const std::string end : {"\n\n", "\r\n\r\n"}) {
    const std::string line = end.substr(0, end.size() / 2);
    const std::string first = fmt::format("id: 1{}data: a{}", line, end);
    const std::string second = fmt::format("id: 2{}data: b{}", line, end);
    const std::string all = fmt::format("{}{}id: 3{}", first, second, line);
    for (std::size_t one = 0; one <= all.size(); ++one) {
      for (std::size_t two = one; two <= all.size(); ++two) {
        EventSplitter cut;
        std::string events;
        std::size_t from = 0;
        for (const std::size_t to : {one, two, all.size()}) {
          events += cut.Take(std::string_view(all).substr(from, to - from));
          const std::size_t whole = to >= first.size() + second.size()
                                        ? first.size() + second.size()
                                    : to >= first.size() ? first.size()
                                                         : 0;
          CHECK_EQUAL(whole, events.size());
          CHECK_EQUAL(to - whole, cut.PartialEventBytes());
          from = to;
        }
        STRCMP_EQUAL((first + second).c_str(), events.c_str());
        CHECK_EQUAL(2, *cut.LastEventId());
      }
    }
  }
}

// Guards against a server that takes the whole thread with an event that has no end.
TEST(EventSplitting, AnEventWithoutAnEndIsSearchedOnce) {
  constexpr std::size_t kPieces = 320;
  constexpr std::size_t kPieceBytes = 16'384;
  const std::string piece(kPieceBytes, 'x');
  const auto began = std::clock();
  for (std::size_t count = 0; count < kPieces; ++count) {
    STRCMP_EQUAL("", splitter.Take(piece).c_str());
  }
  const double seconds = static_cast<double>(std::clock() - began) / CLOCKS_PER_SEC;
  CHECK_EQUAL(kPieces * kPieceBytes, splitter.PartialEventBytes());
  CHECK_TRUE_TEXT(seconds < 0.5, std::to_string(seconds).c_str());
  CHECK_EQUAL(kPieces * kPieceBytes + 2, splitter.Take("\n\n").size());
}

TEST_GROUP(RetryDecision) {
  ForwardRoute route;
  SendHistory history;

  void setup() override {
    route.most_servers = 2;
    history.servers_reached = 1;
  }

  NextStep Decide(SendOutcome outcome) {
    return DecideNextStep(route, outcome, history);
  }
};

// Guards against running a request twice because its answer was lost.
TEST(RetryDecision, UnknownOutcomeOfANonIdempotentRequestIsNeverSentAgain) {
  route.repeatability = Repeatability::kNonIdempotent;
  CHECK_TRUE(NextStep::kFail == Decide(SendOutcome::kUnknown));
  CHECK_TRUE(NextStep::kForwardFailure == Decide(SendOutcome::kServerFailed));
  CHECK_TRUE(NextStep::kSendAgain == Decide(SendOutcome::kNotRun));
  CHECK_TRUE(NextStep::kSendAgain == Decide(SendOutcome::kNotSent));
}

// Guards against reporting "not run" when one server's answer was lost and a second one refused.
TEST(RetryDecision, RefusalAfterAnUnknownOutcomeIsNotReportedAsNotRun) {
  route.repeatability = Repeatability::kIdempotent;
  history.servers_reached = 2;
  history.may_have_run = true;
  CHECK_TRUE(NextStep::kFail == Decide(SendOutcome::kNotRun));
  history.may_have_run = false;
  CHECK_TRUE(NextStep::kRefuse == Decide(SendOutcome::kNotRun));
}

TEST(RetryDecision, ObeysTheRoutesLimitsOfServersAndTime) {
  route.repeatability = Repeatability::kIdempotent;
  CHECK_TRUE(NextStep::kSendAgain == Decide(SendOutcome::kUnknown));
  history.servers_reached = 2;
  CHECK_TRUE(NextStep::kFail == Decide(SendOutcome::kUnknown));
  history.servers_reached = 1;
  history.time_left = false;
  CHECK_TRUE(NextStep::kFail == Decide(SendOutcome::kUnknown));
}

TEST(RetryDecision, OnlyResumableStreamsAreRetried) {
  route.repeatability = Repeatability::kStream;
  CHECK_TRUE(NextStep::kFail == Decide(SendOutcome::kUnknown));
  route.resumable = true;
  CHECK_TRUE(NextStep::kSendAgain == Decide(SendOutcome::kUnknown));
}

TEST_GROUP(RetryBudget) {
  /** A new process begins without retries; in this time it saves as many as it may. */
  static constexpr seconds kSavingTime{20};

  VirtualTime time;
  SharedRetryBudget budget{time, {0.2, 100.0, seconds(10)}};

  void setup() override {
    time.AdvanceBy(kSavingTime);
  }

  int SpendAll(std::size_t instances) {
    ForwardingView view;
    view.live_instances = instances;
    return SpendAll(budget, view);
  }

  static int SpendAll(SharedRetryBudget & budget, const ForwardingView& view) {
    int spent = 0;
    while (budget.TrySpend("plain", view)) {
      ++spent;
    }
    return spent;
  }
};

// Guards against a budget that is spent twice: by the survivors, and by restarted instances.
TEST(RetryBudget, IsKeptWhileMostInstancesRestart) {
  constexpr std::size_t kInstances = 9;
  constexpr std::size_t kSurvivors = 4;
  std::vector<Instance> all(kInstances);
  for (std::size_t index = 0; index < kInstances; ++index) {
    all[index].name = std::to_string(index);
  }
  RecentInstances recent(time);
  std::vector<std::unique_ptr<SharedRetryBudget>> budgets(kInstances);
  const auto start = [&](std::size_t first) {
    for (std::size_t index = first; index < kInstances; ++index) {
      budgets[index] = std::make_unique<SharedRetryBudget>(
          time, SharedRetryBudgetSettings{0.2, 100.0, seconds(10)});
    }
  };
  start(0);
  time.AdvanceBy(kSavingTime);
  const auto spend = [&](std::size_t first, std::size_t end, const std::vector<Instance>& live) {
    ForwardingView view;
    view.live_instances = live.size();
    view.instances = recent.Update(live);
    int spent = 0;
    for (std::size_t index = first; index < end; ++index) {
      spent += SpendAll(*budgets[index], view);
    }
    return spent;
  };
  int spent = spend(0, kInstances, all);
  CHECK_TRUE(spent >= 40);
  time.AdvanceBy(seconds(1));
  spent += spend(0, kSurvivors, {all.begin(), all.begin() + kSurvivors});
  time.AdvanceBy(seconds(1));
  start(kSurvivors);
  spent += spend(kSurvivors, kInstances, all);
  CHECK_TRUE(spent <= 100);
}

// Guards against each instance spending the whole budget.
TEST(RetryBudget, NineInstancesTogetherStayWithinTheBudget) {
  const int spent = SpendAll(9);
  CHECK_TRUE(spent > 0);
  CHECK_TRUE(spent * 9 <= 100);
  CHECK_TRUE(SpendAll(9) == 0);
}

TEST(RetryBudget, GrowsWithRequestsAndRecoversAfterTheWindow) {
  const int without = SpendAll(10);
  CHECK_TRUE(without > 0);
  for (int request = 0; request < 100; ++request) {
    budget.OnRequest("plain");
  }
  const int more = SpendAll(10);
  CHECK_TRUE(more > 10);
  CHECK_TRUE(more <= 20);
  time.AdvanceBy(seconds(11));
  CHECK_EQUAL(without, SpendAll(10));
}

TEST(RetryBudget, NewProcessBeginsWithoutRetries) {
  SharedRetryBudget fresh{time, {0.2, 100.0, seconds(10)}};
  ForwardingView view;
  CHECK_EQUAL(0, SpendAll(fresh, view));
  time.AdvanceBy(seconds(1));
  CHECK_EQUAL(0, SpendAll(fresh, view));
  time.AdvanceBy(seconds(4));
  CHECK_TRUE(SpendAll(fresh, view) > 0);
}

TEST_GROUP(ServerChoice) {
  VirtualTime time;
  LoadTracker loads{time};
  ServerHealth health{time};
  RendezvousLimitDivision division;
  ServerLimits limits{time, division, "self"};
  RandomSource random{1};
  PlainServerChooser chooser{loads, health, limits, random};
  ForwardingView view;

  void setup() override {
    std::vector<ServerEntry> servers;
    for (const char* name : {"a", "b", "c"}) {
      ServerEntry server;
      server.name = name;
      server.service = "plain";
      server.most_requests = 6;
      servers.push_back(server);
    }
    view = ViewOf(servers);
  }

  std::string Choose(const std::set<BackendServerName>& avoided = {}) {
    return chooser.Choose(view, "plain", avoided).value_or("none");
  }
};

// Guards against all waiting requests trying a dead server at once when its exclusion ends.
TEST(ServerChoice, SuspectIsTriedByOneRequestAtATimeUntilOneSucceeds) {
  health.MarkSuspect("a", seconds(3));
  CHECK_TRUE(health.IsExcluded("a"));
  time.AdvanceBy(milliseconds(3'100));
  CHECK_TRUE(health.IsExcluded("a"));
  health.OnProbeAnswered("a");
  CHECK_FALSE(health.IsExcluded("a"));
  health.OnAttempt("a");
  CHECK_TRUE(health.IsExcluded("a"));
  time.AdvanceBy(milliseconds(600));
  CHECK_FALSE(health.IsExcluded("a"));
  health.OnAttempt("a");
  health.OnProgress("a");
  CHECK_FALSE(health.IsExcluded("a"));
  health.OnAttempt("a");
  CHECK_FALSE(health.IsExcluded("a"));
}

// Guards against using callers' requests to check whether a dead server has recovered.
TEST(ServerChoice, SuspectIsProbedBeforeARequestTriesIt) {
  health.MarkSuspect("a", seconds(3));
  CHECK_TRUE(health.TakeSuspectsToProbe().empty());
  time.AdvanceBy(milliseconds(3'100));
  CHECK_EQUAL(1U, health.TakeSuspectsToProbe().size());
  CHECK_TRUE(health.TakeSuspectsToProbe().empty());  // Probes are rate-limited.
  time.AdvanceBy(seconds(60));
  CHECK_TRUE(health.IsExcluded("a"));
  CHECK_EQUAL(1U, health.TakeSuspectsToProbe().size());
  health.OnProbeAnswered("a");
  time.AdvanceBy(seconds(2));
  CHECK_TRUE(health.TakeSuspectsToProbe().empty());
  CHECK_FALSE(health.IsExcluded("a"));
  health.MarkSuspect("a", seconds(3));  // It stopped responding again.
  time.AdvanceBy(seconds(4));
  CHECK_TRUE(health.IsExcluded("a"));
}

// Guards against sending on through servers that have become several times slower.
TEST(ServerChoice, SlowdownReportExpiresAndIsRequestedRarely) {
  CHECK_TRUE(health.TryBeginSlowdownQuery("a"));
  CHECK_FALSE(health.TryBeginSlowdownQuery("a"));
  health.OnSlowdownReport({"a", 8.0, {}});
  DOUBLES_EQUAL(8.0, health.SlowdownFactor("a"), 1e-9);
  CHECK_EQUAL(1U, health.SlowServers().size());
  health.OnSlowdownReport({"a", 2.0, seconds(1)});
  DOUBLES_EQUAL(8.0, health.SlowdownFactor("a"), 1e-9);
  time.AdvanceBy(milliseconds(600));
  CHECK_TRUE(health.TryBeginSlowdownQuery("a"));
  time.AdvanceBy(seconds(3));
  DOUBLES_EQUAL(1.0, health.SlowdownFactor("a"), 1e-9);
  CHECK_TRUE(health.SlowServers().empty());
}

TEST(ServerChoice, RepeatedRefusalsExtendTheExclusion) {
  health.ExcludeWithBackoff("a", milliseconds(200), milliseconds(1'600));
  health.ExcludeWithBackoff("a", milliseconds(200), milliseconds(1'600));
  time.AdvanceBy(milliseconds(250));
  CHECK_FALSE(health.IsExcluded("a"));
  health.ExcludeWithBackoff("a", milliseconds(200), milliseconds(1'600));
  time.AdvanceBy(milliseconds(250));
  CHECK_TRUE(health.IsExcluded("a"));
  time.AdvanceBy(milliseconds(250));
  health.OnProgress("a");
  health.ExcludeWithBackoff("a", milliseconds(200), milliseconds(1'600));
  time.AdvanceBy(milliseconds(250));
  CHECK_FALSE(health.IsExcluded("a"));
}

TEST(ServerChoice, ServerThatIsNotSuspectIsTriedByAllRequests) {
  health.Exclude("a", milliseconds(200));
  time.AdvanceBy(milliseconds(300));
  health.OnAttempt("a");
  CHECK_FALSE(health.IsExcluded("a"));
}

TEST(ServerChoice, ChoosesTheLeastLoadedServerOverAllInstances) {
  loads.Add("a", 0);
  loads.SetDomainUses("peer", {{"b", {3, 0}}});
  STRCMP_EQUAL("c", Choose().c_str());
  loads.Add("c", 0);
  loads.Add("c", 0);
  STRCMP_EQUAL("a", Choose().c_str());
}

// Guards against refusing requests because the concurrent load of idle peers is overestimated.
TEST(ServerChoice, EstimatedLoadOfPeersFollowsTheirReportedShare) {
  time.AdvanceBy(seconds(2));  // LoadSpreading covers the time just after the start.
  loads.SetPeerCount(8);
  for (int request = 0; request < 10; ++request) {
    loads.Add("a", 100);
  }
  loads.SetDomainUses("peer", {{"b", {20, 0, 20}}});
  const double reserved = loads.UseOf("a").token_layers;
  CHECK_TRUE(reserved > 1'000);
  CHECK_TRUE(reserved <= 1'000 + 0.6 * 2 * 1'000 + 1);
  loads.SetDomainUses("peer", {{"b", {400, 0, 400}}});
  CHECK_TRUE(loads.UseOf("a").token_layers > 5'000);  // Estimated at no more than the own rate.
  CHECK_TRUE(loads.UseOf("a").token_layers < 6'000);
}

// Guards against counting the last reported load of a failed instance forever.
TEST(ServerChoice, ReportsOfUnresponsivePeersExpire) {
  loads.SetDomainUses("dead", {{"a", {60, 0}}, {"b", {60, 0}}, {"c", {60, 0}}});
  time.AdvanceBy(seconds(4));
  CHECK_EQUAL(0, loads.UseOf("a").requests);
}

TEST(ServerChoice, AvoidsFailingServersWithLowLoad) {
  for (int outcome = 0; outcome < 5; ++outcome) {
    health.OnOutcome("a", false);
    health.OnOutcome("b", true);
    health.OnOutcome("c", true);
  }
  loads.Add("b", 0);
  loads.Add("c", 0);
  CHECK_TRUE(Choose() != "a");
  time.AdvanceBy(seconds(30));
  STRCMP_EQUAL("a", Choose().c_str());
}

TEST(ServerChoice, DrainingAndAvoidedServersAreNotChosen) {
  view.servers["a"].draining = true;
  STRCMP_EQUAL("none", Choose({"b", "c"}).c_str());
}

TEST(ServerChoice, AnExcludedServerIsUsedOnlyWhenNoOtherIsLeft) {
  health.Exclude("a", seconds(1));
  STRCMP_EQUAL("a", Choose({"b", "c"}).c_str());
  CHECK_TRUE(Choose({"b"}) == "c");
}

}  // namespace zinnia
