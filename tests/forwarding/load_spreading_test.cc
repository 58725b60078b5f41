#include "tests/forwarding/forwarding_fakes.h"
#include "zinnia_decisions/forwarding/limits/rendezvous_limit_division.h"
#include "zinnia_decisions/forwarding/limits/server_limits.h"
#include "zinnia_decisions/forwarding/observed_state/inter_domain_link_meter.h"
#include "zinnia_decisions/forwarding/observed_state/load_tracker.h"
#include "zinnia_decisions/forwarding/observed_state/server_health.h"
#include "zinnia_decisions/forwarding/paths/first_server_sampler.h"
#include "zinnia_decisions/forwarding/paths/path_finder.h"

#include <algorithm>
#include <deque>

#include <CppUTest/TestHarness.h>

namespace zinnia {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kInstances = 100;
constexpr int kDomains = 4;
constexpr int kChainsPerDomain = 4;

// Load of a large deployment: each instance gets 25 requests in ten seconds.
constexpr Duration kRequestInterval = milliseconds(4);
constexpr Duration kRequestDuration = seconds(2);
constexpr Duration kReportInterval = milliseconds(400);

std::string DomainOf(int number) {
  return "domain" + std::to_string(number % kDomains);
}

}  // namespace

/** Simulates 100 instances that choose paths through 16 equal chains of three engines and exchange
    load reports every 400 ms. */
TEST_GROUP(LoadSpreading) {
  struct Chooser {
    Chooser(VirtualTime& time, int number)
        : loads(time),
          health(time),
          limits(time, division, "self"),
          link_meter(time),
          random(number + 1) {
      loads.SetPeerCount(kInstances - 1);
    }
    LoadTracker loads;
    ServerHealth health;
    RendezvousLimitDivision division;
    ServerLimits limits;
    InterDomainLinkMeter link_meter;
    RandomSource random;
    FakeIdleConnections connections;
    PathFinder finder{loads, health, limits, link_meter, connections, random};
  };
  struct RunningRequest {
    TimePoint ends_at;
    int chooser;
    LayerPath path;
  };

  VirtualTime time;
  std::vector<std::unique_ptr<Chooser>> choosers;
  std::deque<RunningRequest> running;
  std::map<BackendServerName, int> begun;
  ForwardingView view;
  const GenerationSize size{760, 200};

  void setup() override {
    std::vector<ServerEntry> servers;
    for (int chain = 0; chain < kDomains * kChainsPerDomain; ++chain) {
      const std::string name = "c" + std::to_string(chain);
      servers.push_back(EngineServer(name + "-0", "fast", DomainOf(chain), {0, 27}));
      servers.push_back(EngineServer(name + "-1", "fast", DomainOf(chain), {27, 54}));
      servers.push_back(EngineServer(name + "-2", "fast", DomainOf(chain), {54, 80}));
    }
    view = ViewOf(servers);
    view.live_instances = kInstances;
    for (int number = 0; number < kInstances; ++number) {
      choosers.push_back(std::make_unique<Chooser>(time, number));
    }
  }

  void ExchangeLoadReports() {
    LoadTracker::Uses sum;
    for (const auto& chooser : choosers) {
      for (const auto& [server, use] : chooser->loads.Own()) {
        sum[server].requests += use.requests;
        sum[server].token_layers += use.token_layers;
        sum[server].first_stage_requests += use.first_stage_requests;
      }
    }
    for (const auto& chooser : choosers) {
      LoadTracker::Uses others = sum;
      for (const auto& [server, use] : chooser->loads.Own()) {
        others[server].requests -= use.requests;
        others[server].token_layers -= use.token_layers;
        others[server].first_stage_requests -= use.first_stage_requests;
      }
      chooser->loads.SetDomainUses("all", others);
    }
  }

  void Begin(int number) {
    Chooser& chooser = *choosers[number];
    const auto found = chooser.finder.Find(view, "pool", size, DomainOf(number), {});
    CHECK_TRUE(found.has_value());
    for (const PathPart& part : found->path) {
      chooser.loads.Add(part.server, 960.0 * part.layers.Count(), part.layers.first == 0);
    }
    ++begun[found->path.front().server];
    running.push_back({time.Now() + kRequestDuration, number, found->path});
  }

  void EndFinishedRequests() {
    while (!running.empty() && running.front().ends_at <= time.Now()) {
      for (const PathPart& part : running.front().path) {
        choosers[running.front().chooser]->loads.Remove(part.server, 960.0 * part.layers.Count(),
                                                        part.layers.first == 0);
      }
      running.pop_front();
    }
  }

  /** Maximum number of requests that one first server gets between two reports, relative to the
      mean, over the last five of eight seconds. */
  double BusiestOverMean() {
    RandomSource random(7);
    double worst = 0.0;
    const int reports = static_cast<int>(seconds(8) / kReportInterval);
    for (int report = 0; report < reports; ++report) {
      ExchangeLoadReports();
      begun.clear();
      const int requests = static_cast<int>(kReportInterval / kRequestInterval);
      for (int request = 0; request < requests; ++request) {
        EndFinishedRequests();
        Begin(static_cast<int>(RandomBelow(random, kInstances)));
        time.AdvanceBy(kRequestInterval);
      }
      const auto busiest = std::max_element(
          begun.begin(), begun.end(),
          [](const auto& one, const auto& other) { return one.second < other.second; });
      const double mean = static_cast<double>(requests) / (kDomains * kChainsPerDomain);
      if (report * kReportInterval >= seconds(3)) {
        worst = std::max(worst, busiest->second / mean);
      }
    }
    return worst;
  }
};

// Guards against herding: all instances see the same loads and send to the least loaded chain until
// the next report.
TEST(LoadSpreading, NoChainGetsMostRequestsBetweenTwoReports) {
  CHECK_TRUE(BusiestOverMean() < 4.0);
}

TEST(LoadSpreading, SampledFirstServersAreMostlyNear) {
  RandomSource random(3);
  FirstServerSampler sampler(random);
  std::vector<bool> is_same_domain(20, false);
  std::fill_n(is_same_domain.begin(), 5, true);
  std::vector<int> counts(20, 0);
  for (int draw = 0; draw < 500; ++draw) {
    const std::vector<bool> drawn = sampler.Draw(is_same_domain, std::vector<bool>(20, false));
    CHECK_EQUAL(2, std::count(drawn.begin(), drawn.begin() + 5, true));
    CHECK_EQUAL(1, std::count(drawn.begin() + 5, drawn.end(), true));
    for (std::size_t server = 0; server < drawn.size(); ++server) {
      counts[server] += drawn[server] ? 1 : 0;
    }
  }
  CHECK_TRUE(*std::min_element(counts.begin(), counts.end()) > 10);
}

TEST(LoadSpreading, WithoutNearFirstServersRemoteOnesAreSampled) {
  RandomSource random(3);
  const std::vector<bool> drawn =
      FirstServerSampler(random).Draw(std::vector<bool>(12, false), std::vector<bool>(12, false));
  CHECK_EQUAL(3, std::count(drawn.begin(), drawn.end(), true));
}

// Guards against idle connections that expire because the samples rarely include their servers.
TEST(LoadSpreading, NearFirstServerWithAnUnusedConnectionIsAlwaysSampled) {
  RandomSource random(3);
  FirstServerSampler sampler(random);
  std::vector<bool> is_same_domain(20, false);
  std::fill_n(is_same_domain.begin(), 10, true);
  std::vector<bool> has_connection(20, false);
  has_connection[4] = true;
  has_connection[15] = true;
  int far_samples = 0;
  for (int draw = 0; draw < 50; ++draw) {
    const std::vector<bool> drawn = sampler.Draw(is_same_domain, has_connection);
    CHECK_TRUE(drawn[4]);
    far_samples += drawn[15] ? 1 : 0;
  }
  CHECK_TRUE(far_samples < 25);
}

TEST(LoadSpreading, FewFirstServersAreAllSampled) {
  RandomSource random(3);
  const std::vector<bool> drawn =
      FirstServerSampler(random).Draw({true, false, false, true}, {true, false, false, false});
  CHECK_EQUAL(4, std::count(drawn.begin(), drawn.end(), true));
}

// Guards against overloading one chain after a restart of all instances, when none of them has yet
// received the others' loads.
TEST(LoadSpreading, WithoutReportsPeersAreAssumedToChooseAlike) {
  constexpr int kMiddleChains = 6;
  constexpr std::uint32_t kStages = 5;
  std::vector<ServerEntry> servers = {EngineServer("fast-0", "fast", "domain0", {0, 27}),
                                      EngineServer("fast-1", "fast", "domain0", {27, 54}),
                                      EngineServer("fast-2", "fast", "domain0", {54, 80})};
  for (int chain = 0; chain < kMiddleChains; ++chain) {
    for (std::uint32_t stage = 0; stage < kStages; ++stage) {
      const std::string name = "c" + std::to_string(chain) + "-" + std::to_string(stage);
      servers.push_back(EngineServer(name, "middle", "domain0", {16 * stage, 16 * stage + 16}));
    }
  }
  view = ViewOf(servers);
  view.live_instances = kInstances;
  constexpr int kRequestsPerInstance = 5;
  std::map<BackendServerName, double> used;
  for (int request = 0; request < kRequestsPerInstance; ++request) {
    for (int number = 0; number < kInstances; ++number) {
      Begin(number);
      for (const PathPart& part : running.back().path) {
        used[part.server] += (size.prompt_tokens + size.answer_tokens) * part.layers.Count();
      }
    }
  }
  const EngineProfile engine = MixedEngine();
  for (const auto& [server, token_layers] : used) {
    const double capacity = TokenLayerCapacity(engine, view.servers.at(server));
    CHECK_TEXT(token_layers < 2.5 * capacity,
               server.c_str());  // 3.4 without the estimate of peers' loads.
  }
}

// Guards against refusing requests because idle peers are permanently estimated to be busy.
TEST(LoadSpreading, PeersLoadsAreEstimatedOnlyShortlyAfterTheStart) {
  LoadTracker& loads = choosers[0]->loads;
  loads.Add("s", 100);
  CHECK_TRUE(loads.UseOf("s").token_layers > 1'000);
  time.AdvanceBy(seconds(4));
  DOUBLES_EQUAL(100, loads.UseOf("s").token_layers, 1e-9);
}

}  // namespace zinnia
