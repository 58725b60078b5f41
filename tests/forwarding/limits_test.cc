#include "zinnia_decisions/forwarding/limits/limits.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <set>
#include <vector>

#include "tests/forwarding/forwarding_fakes.h"
#include "zinnia_base/random/random_source.h"
#include "zinnia_decisions/forwarding/observed_state/forwarding_view.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Simulates instances in three failure domains that send to one server. They learn its limit from
    its answers and from each other's reports. */
struct LimitedFleet {
  static constexpr Duration kStep = milliseconds(10);
  static constexpr Duration kAnswerDelay = milliseconds(60);
  static constexpr Duration kReportDelay = milliseconds(80);
  static constexpr Duration kWindow = seconds(4);

  struct Member {
    Instance instance;
    std::unique_ptr<ServerLimits> limits;
    double requests_per_second = 0.0;
    bool is_partitioned = false;
  };
  struct PendingAnswer {
    TimePoint due{};
    Member* member = nullptr;
    TimePoint sent_at{};
  };
  struct PendingReport {
    TimePoint due{};
    ServerLimitReport limit_report;
  };

  LimitedFleet(const LimitDivision& chosen_division, std::size_t count, double demand)
      : division(chosen_division) {
    for (std::size_t index = 0; index < count; ++index) {
      AddMember(demand / static_cast<double>(count));
    }
    ShareView();
  }

  Member& AddMember(double requests_per_second) {
    auto member = std::make_unique<Member>();
    const std::size_t index = members.size();
    member->instance.name = fmt::format("instance-{}", index);
    member->instance.failure_domain = fmt::format("domain-{}", index % 3);
    member->limits = std::make_unique<ServerLimits>(time, division, member->instance.name);
    // Uneven traffic: a third of the instances get 1.5 times the mean.
    member->requests_per_second = requests_per_second * (index % 3 == 0 ? 1.5 : 0.75);
    members.push_back(std::move(member));
    return *members.back();
  }

  std::shared_ptr<ForwardingView> ViewOf(const std::vector<Instance>& instances) const {
    auto view = std::make_shared<ForwardingView>();
    view->servers["server"] = EngineServer("server", "fast", "domain-0", {0, 40});
    view->instances = std::make_shared<const std::vector<Instance>>(instances);
    return view;
  }

  void ShareView() {
    std::vector<Instance> instances;
    for (const auto& member : members) {
      instances.push_back(member->instance);
    }
    const auto view = ViewOf(instances);
    for (const auto& member : members) {
      member->limits->SetView(view);
    }
  }

  void Run(Duration duration) {
    for (const TimePoint end = time.Now() + duration; time.Now() < end;) {
      time.AdvanceBy(kStep);
      Deliver();
      for (const auto& member : members) {
        SendFrom(*member);
      }
    }
  }

  void SendFrom(Member& member) {
    const double chance = member.requests_per_second * std::chrono::duration<double>(kStep).count();
    if (RandomUnit(random) >= chance || !member.limits->MaySend("server")) {
      return;
    }
    member.limits->OnSent("server");
    sends.push_back(time.Now());
    answers.push_back({time.Now() + kAnswerDelay, &member, time.Now()});
  }

  void Deliver() {
    while (!answers.empty() && answers.front().due <= time.Now()) {
      const PendingAnswer answer = answers.front();
      answers.pop_front();
      if (answer.member->limits->OnAnswer("server", limit, answer.sent_at)) {
        reports_in_flight.push_back(
            {time.Now() + kReportDelay, answer.member->limits->TakeReports().front()});
      }
    }
    while (!reports_in_flight.empty() && reports_in_flight.front().due <= time.Now()) {
      for (const auto& member : members) {
        if (!member->is_partitioned) {
          member->limits->OnReport(reports_in_flight.front().limit_report);
        }
      }
      reports_in_flight.pop_front();
    }
  }

  /** Maximum number of requests in any window of kWindow that ends after `from`. */
  std::size_t MaxInWindow(TimePoint from) const {
    std::size_t most = 0;
    for (auto last = sends.begin(); last != sends.end(); ++last) {
      const auto first = std::upper_bound(sends.begin(), last, *last - kWindow);
      if (*last >= from) {
        most = std::max<std::size_t>(most, last - first + 1);
      }
    }
    return most;
  }

  double SentPerSecond(TimePoint from) const {
    const auto first = std::upper_bound(sends.begin(), sends.end(), from);
    return static_cast<double>(sends.end() - first) /
           std::chrono::duration<double>(time.Now() - from).count();
  }

  double MaxAllowedInWindow() const { return *limit * 1.5 * 4.0 + 5.0; }

  const LimitDivision& division;
  VirtualTime time;
  RandomSource random{7};
  std::vector<std::unique_ptr<Member>> members;
  std::optional<double> limit;
  std::vector<TimePoint> sends;
  std::deque<PendingAnswer> answers;
  std::deque<PendingReport> reports_in_flight;
};

TEST_GROUP(Limits) {
  RendezvousLimitDivision division;

  static std::shared_ptr<ForwardingView> ViewOf(const std::vector<std::string>& servers) {
    auto view = std::make_shared<ForwardingView>();
    for (const std::string& name : servers) {
      view->servers[name] = EngineServer(name, "fast", "domain-0", {0, 40});
    }
    return view;
  }

  /** Sends whenever `limits` permits it and returns the number of requests sent. */
  static int CountPermittedSends(ServerLimits & limits, VirtualTime & time, Duration duration) {
    int sent = 0;
    for (const TimePoint end = time.Now() + duration; time.Now() < end;) {
      time.AdvanceBy(milliseconds(10));
      if (limits.MaySend("server")) {
        limits.OnSent("server");
        ++sent;
      }
    }
    return sent;
  }
};

// Guards against instances that ignore the limit or each use it in full.
TEST(Limits, FleetTogetherStaysWithinTheLimitAndUsesIt) {
  for (const std::size_t instances : {9, 65, 300}) {
    for (const double limit : {2.0, 12.0, 60.0}) {
      LimitedFleet fleet(division, instances, 2.5 * limit);
      fleet.Run(seconds(5));
      fleet.limit = limit;
      const TimePoint limit_set_at = fleet.time.Now();
      fleet.Run(seconds(10));
      for (const auto& member : fleet.members) {
        member->requests_per_second = std::max(3.0, 2.5 * limit / instances);
      }
      fleet.Run(seconds(30));
      CHECK_TRUE(fleet.MaxInWindow(limit_set_at + seconds(3)) <= fleet.MaxAllowedInWindow());
      CHECK_TRUE(fleet.SentPerSecond(limit_set_at + seconds(10)) >= 0.9 * limit);
    }
  }
}

// Guards against a combined burst of all instances after an idle period.
TEST(Limits, BurstAfterAnIdlePeriodStaysWithinTheLimit) {
  for (const std::size_t instances : {9, 65, 300}) {
    for (const double limit : {0.0, 0.5, 2.0, 12.0, 60.0}) {
      LimitedFleet fleet(division, instances, limit);
      fleet.limit = limit;
      for (const auto& member : fleet.members) {
        member->limits->OnReport({"server", limit, milliseconds(0)});
      }
      fleet.Run(seconds(20));
      for (const auto& member : fleet.members) {
        member->requests_per_second = 100.0;
      }
      const TimePoint burst_started_at = fleet.time.Now();
      fleet.Run(seconds(10));
      CHECK_TRUE(fleet.MaxInWindow(burst_started_at) <= fleet.MaxAllowedInWindow());
    }
  }
}

// Guards against new instances that use their shares before the old ones have reduced theirs.
TEST(Limits, JoiningInstancesUseTheirSharesAfterTheOthersReducedTheirs) {
  LimitedFleet fleet(division, 9, 30.0);
  fleet.limit = 12.0;
  fleet.Run(seconds(20));
  const TimePoint joined_at = fleet.time.Now();
  std::vector<Instance> instances;
  for (int number = 0; number < 30; ++number) {
    fleet.AddMember(10.0);
  }
  for (const auto& member : fleet.members) {
    instances.push_back(member->instance);
  }
  const auto view = fleet.ViewOf(instances);
  for (std::size_t index = 9; index < fleet.members.size(); ++index) {
    fleet.members[index]->limits->SetView(view);
    fleet.members[index]->limits->OnReport({"server", fleet.limit, milliseconds(100)});
  }
  fleet.Run(seconds(1));  // The old instances learn of the new ones later.
  fleet.ShareView();
  fleet.Run(seconds(10));
  CHECK_TRUE(fleet.MaxInWindow(joined_at) <= fleet.MaxAllowedInWindow());
}

// Guards against the old and the new holder using the same share at the same time.
TEST(Limits, NewHolderWaitsUntilThePreviousOneKnowsOfTheChange) {
  VirtualTime time;
  std::vector<Instance> instances(9);
  for (std::size_t index = 0; index < instances.size(); ++index) {
    instances[index].name = fmt::format("instance-{}", index);
  }
  const auto view_of = [](const std::vector<Instance>& known) {
    auto view = ViewOf({"server"});
    view->instances = std::make_shared<const std::vector<Instance>>(known);
    return view;
  };
  for (const Instance& instance : instances) {
    ServerLimits limits(time, division, instance.name);
    limits.SetView(view_of(instances));
    time.AdvanceBy(seconds(10));
    limits.OnReport({"server", 1.0, milliseconds(0)});
    if (limits.TimeUntilPermit("server")) {
      continue;  // It holds a share from the beginning.
    }
    time.AdvanceBy(seconds(10));
    limits.SetView(view_of({instance}));
    CHECK_EQUAL(0, CountPermittedSends(limits, time, milliseconds(1'900)));
    CHECK_TRUE(CountPermittedSends(limits, time, seconds(3)) > 0);
  }
}

// Guards against a new instance that uses the whole limit because it knows no peers yet.
TEST(Limits, NewInstanceWaitsUntilItKnowsTheFleet) {
  VirtualTime time;
  ServerLimits limits(time, division, "self");
  limits.SetView(ViewOf({"server"}));
  limits.OnReport({"server", 20.0, milliseconds(0)});
  CHECK_EQUAL(0, CountPermittedSends(limits, time, milliseconds(1'900)));
  CHECK_TRUE(CountPermittedSends(limits, time, seconds(4)) >= 60);
}

// Guards against a server that gets its limit on top of the requests sent just before.
TEST(Limits, RequestsSentBeforeTheLimitWasReceivedAreCharged) {
  VirtualTime time;
  ServerLimits limits(time, division, "self");
  limits.SetView(ViewOf({"server"}));
  time.AdvanceBy(seconds(10));
  for (int sent = 0; sent < 30; ++sent) {
    limits.OnSent("server");
    time.AdvanceBy(milliseconds(33));
  }
  limits.OnAnswer("server", 10.0, time.Now());
  CHECK_EQUAL(0, CountPermittedSends(limits, time, milliseconds(1'400)));
  CHECK_TRUE(CountPermittedSends(limits, time, seconds(3)) > 20);
}

// Guards against sending to a server that is still working off ten times its limit.
TEST(Limits, ServerFarAboveItsLimitGetsNothingUntilTheExcessIsOver) {
  LimitedFleet fleet(division, 9, 500.0);
  fleet.Run(seconds(10));
  fleet.limit = 50.0;
  const TimePoint limit_set_at = fleet.time.Now();
  fleet.Run(seconds(12));
  // No instance sends until the pause is over.
  CHECK_TRUE(fleet.MaxInWindow(limit_set_at + seconds(1)) <= fleet.MaxAllowedInWindow());
}

// Guards against a limit that is never lifted, and against one lifted by an outdated answer.
TEST(Limits, MostRecentLimitApplies) {
  VirtualTime time;
  ServerLimits limits(time, division, "self");
  limits.SetView(ViewOf({"server"}));
  time.AdvanceBy(seconds(10));
  const TimePoint before = time.Now();
  time.AdvanceBy(milliseconds(50));
  CHECK_TRUE(limits.OnAnswer("server", 2.0, before));
  CHECK_FALSE(limits.MaySend("server"));
  CHECK_FALSE(limits.OnAnswer("server", std::nullopt, before));  // Sent before the limit was known.
  CHECK_EQUAL(1U, limits.CountInForce());
  time.AdvanceBy(milliseconds(50));
  CHECK_FALSE(
      limits.OnReport({"server", std::nullopt, milliseconds(60)}));  // Older than the known limit.
  CHECK_EQUAL(1U, limits.CountInForce());
  CHECK_TRUE(limits.OnAnswer("server", std::nullopt, time.Now()));
  CHECK_EQUAL(0U, limits.CountInForce());
  CHECK_TRUE(limits.MaySend("server"));
  CHECK_FALSE(limits.OnReport({"server", 2.0, milliseconds(50)}));
  CHECK_TRUE(limits.MaySend("server"));
}

// Guards against a server that never gets requests again after it set a limit of 0.
TEST(Limits, ServerWithLimitZeroGetsOccasionalRequests) {
  VirtualTime time;
  ServerLimits limits(time, division, "self");
  limits.SetView(ViewOf({"server"}));
  time.AdvanceBy(seconds(10));
  limits.OnAnswer("server", 0.0, time.Now());
  const int sent = CountPermittedSends(limits, time, seconds(60));
  CHECK_TRUE(sent >= 6 && sent <= 15);
}

TEST(Limits, RestartOfTheServerEndsItsLimit) {
  VirtualTime time;
  ServerLimits limits(time, division, "self");
  limits.SetView(ViewOf({"server"}));
  limits.OnAnswer("server", 2.0, time.Now());
  limits.SetView(ViewOf({"server again"}));
  CHECK_EQUAL(0U, limits.CountInForce());
}

// Guards against reports of unbounded size, and against bounded ones that always omit some servers.
TEST(Limits, ReportsAreBoundedAndCoverAllServersInTurn) {
  VirtualTime time;
  ServerLimits limits(time, division, "self");
  constexpr std::size_t kServers = 40;
  std::vector<std::string> servers;
  servers.reserve(kServers);
  for (std::size_t number = 0; number < kServers; ++number) {
    servers.push_back(fmt::format("server-{}", number));
  }
  limits.SetView(ViewOf(servers));
  for (const std::string& server : servers) {
    limits.OnAnswer(server, 2.0, time.Now());
  }
  time.AdvanceBy(seconds(5));
  std::set<std::string> reported_servers;
  for (int report = 0; report < 3; ++report) {
    const auto reports = limits.TakeReports();
    CHECK_TRUE(reports.size() <= ServerLimits::kMaxReports);
    for (const ServerLimitReport& row : reports) {
      reported_servers.insert(row.server);
    }
  }
  CHECK_EQUAL(servers.size(), reported_servers.size());
}

// Guards against an instance without a share that never learns of the end of a limit because it was
// unreachable at the time.
TEST(Limits, EndOfALimitIsStillReportedMinutesLater) {
  VirtualTime time;
  ServerLimits limits(time, division, "self");
  limits.SetView(ViewOf({"a", "b", "c"}));
  for (const char* server : {"a", "b", "c"}) {
    limits.OnAnswer(server, 2.0, time.Now());
    time.AdvanceBy(milliseconds(10));
    limits.OnAnswer(server, std::nullopt, time.Now());
  }
  time.AdvanceBy(std::chrono::minutes(5));
  std::set<std::string> reported_servers;
  for (int report = 0; report < 3; ++report) {
    const auto reports = limits.TakeReports();
    CHECK_EQUAL(1U, reports.size());
    CHECK_FALSE(reports.front().requests_per_second.has_value());
    reported_servers.insert(reports.front().server);
  }
  CHECK_EQUAL(3U, reported_servers.size());
}

TEST(Limits, AvailabilityGivesTheNextPermitAndWhetherAllServersAreAtTheirLimits) {
  VirtualTime time;
  ServerLimits limits(time, division, "self");
  const auto view = ViewOf({"a", "b", "c"});
  view->servers["middle"] = EngineServer("middle", "fast", "domain-0", {40, 80});
  limits.SetView(view);
  time.AdvanceBy(seconds(10));
  limits.OnAnswer("a", 2.0, time.Now());
  LimitAvailability availability = FindLimitAvailability(*view, "pool", {}, limits);
  CHECK_FALSE(availability.all_at_limit);
  CHECK_EQUAL(1U, availability.at_limit.size());
  limits.OnAnswer("b", 4.0, time.Now());
  limits.OnAnswer("c", 1.0, time.Now());
  availability = FindLimitAvailability(*view, "pool", {}, limits);
  CHECK_TRUE(availability.all_at_limit);
  CHECK_TRUE(availability.next_permit_in == milliseconds(250));
  availability = FindLimitAvailability(*view, "pool", {"b"}, limits);
  CHECK_TRUE(availability.next_permit_in == milliseconds(500));
  time.AdvanceBy(milliseconds(300));
  CHECK_FALSE(FindLimitAvailability(*view, "pool", {}, limits).all_at_limit);
}

// Guards against requests that wait for a permit that comes too late for them.
TEST(Limits, RequestsDoNotWaitForAPermitThatComesTooLate) {
  LimitAvailability availability;
  CHECK_TRUE(MayWait(availability, true, milliseconds(500)));
  CHECK_FALSE(MayWait(availability, false, milliseconds(150)));
  availability.all_at_limit = true;
  CHECK_FALSE(MayWait(availability, true, milliseconds(500)));
  availability.next_permit_in = milliseconds(60);
  CHECK_TRUE(MayWait(availability, false, milliseconds(150)));
  CHECK_FALSE(MayWait(availability, false, milliseconds(100)));
  availability.next_permit_in = milliseconds(310);
  CHECK_FALSE(MayWait(availability, true, milliseconds(1'000)));
}

// Guards against shares that grow while an instance restarts or is unreachable.
TEST(Limits, InstancesCountForSomeSecondsAfterTheyWereLastSeen) {
  VirtualTime time;
  RecentInstances recent(time);
  const Instance one{"one"};
  const Instance other{"other"};
  const auto both = recent.Update({one, other});
  CHECK_EQUAL(2U, both->size());
  time.AdvanceBy(seconds(9));
  CHECK_TRUE(recent.Update({one}) == both);
  time.AdvanceBy(seconds(2));
  CHECK_EQUAL(1U, recent.Update({one})->size());
}

}  // namespace zinnia
