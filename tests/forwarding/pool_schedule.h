#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "tests/forwarding/forwarding_fakes.h"
#include "zinnia_base/decisions/decision_record.h"
#include "zinnia_decisions/forwarding/observed_state/instance_directory.h"
#include "zinnia_decisions/forwarding/placement/layer_placer.h"

namespace zinnia {

/** A pool of random cards in virtual time. Its servers are lost, return empty, perhaps with another
    card, and stall; the configuration changes the sizes of cards and layers; another instance takes
    over the orders. Counts the orders beyond the memory of their server, judged apart from the
    placer. A server with such an order crashes and returns empty. */
class PoolSchedule {
 public:
  explicit PoolSchedule(std::uint64_t seed) : m_random(seed), m_orders(*this) {
    DrawCards();
    const int servers = Draw(5, 16);
    for (int index = 0; index < servers; ++index) {
      Add("s" + std::to_string(index));
    }
    MakePlacer();
  }

  void Run() {
    Pass(kFirstPlan);
    const int events = Draw(3, 9);
    for (int event = 0; event < events; ++event) {
      Disturb();
      Pass(std::chrono::milliseconds(Draw(200, 6'000)));
    }
    Pass(kLastRepairs);
  }

  int Orders() const { return m_orders.count; }
  int OrdersBeyondMemory() const { return m_orders.beyond_memory; }

 private:
  static constexpr Duration kFirstPlan = std::chrono::seconds(2);
  static constexpr Duration kLastRepairs = std::chrono::seconds(12);
  static constexpr Duration kTick = std::chrono::milliseconds(100);
  static constexpr int kTicksOfLoad = 8;
  static constexpr int kTicksUntilReturn = 20;

  struct Recorder final : DecisionRecorder {
    void Record(DecisionRecord) override {}
  };

  struct JudgedOrders final : LayerOrders {
    explicit JudgedOrders(PoolSchedule& owner) : pool(owner) {}
    void Place(const ServerEntry& server,
               LayerRange layers,
               std::uint64_t,
               std::function<void(Result<void>)> callback) override {
      ++count;
      pool.OnOrder(server, layers);
      callback({});
    }
    PoolSchedule& pool;
    int count = 0;
    int beyond_memory = 0;
  };

  struct Load {
    LayerRange layers;
    int ticks = kTicksOfLoad;
  };

  struct Return {
    ServerEntry server;
    int ticks = kTicksUntilReturn;
  };

  int Draw(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(m_random);
  }

  void DrawCards() {
    m_profile.accelerators.clear();
    const int cards = Draw(2, 4);
    for (int card = 0; card < cards; ++card) {
      m_profile.accelerators["card" + std::to_string(card)] = {Draw(4, 80) * 1'000.0,
                                                               Draw(10, 160) / 10.0, 3.0};
    }
  }

  std::string AnyCard() {
    auto card = m_profile.accelerators.begin();
    std::advance(card, Draw(0, static_cast<int>(m_profile.accelerators.size()) - 1));
    return card->first;
  }

  void Add(const std::string& name) {
    m_servers.push_back(EngineServer(name, AnyCard(), Draw(0, 3) > 0 ? "k" : "m"));
  }

  void MakePlacer() {
    m_placer = std::make_unique<LayerPlacer>(
        OrderRoleParts{m_time, m_time, m_store, m_instances, m_recorder}, m_settings, m_orders,
        m_logger, "pool");
  }

  ForwardingView View() const {
    ForwardingView view = ViewOf(m_servers);
    auto rules = std::make_shared<ForwardingRules>(*view.rules);
    rules->services["pool"].engine = m_profile;
    view.rules = rules;
    return view;
  }

  void Pass(Duration duration) {
    for (Duration passed{}; passed < duration; passed += kTick) {
      m_placer->TickRole(true);
      m_placer->Tick(View());
      Advance();
      m_time.AdvanceBy(kTick);
    }
  }

  /** Ends loads and brings servers back. */
  void Advance() {
    for (ServerEntry& server : m_servers) {
      const auto load = m_loads.find(server.name);
      if (load != m_loads.end() && --load->second.ticks <= 0) {
        server.layers = load->second.layers;
        m_loads.erase(load);
      }
    }
    for (Return& back : m_returns) {
      if (--back.ticks <= 0) {
        m_servers.push_back(back.server);
      }
    }
    std::erase_if(m_returns, [](const Return& back) { return back.ticks <= 0; });
    for (const std::string& name : std::exchange(m_crashed, {})) {
      Lose(name, true);
    }
  }

  void OnOrder(const ServerEntry& server, const LayerRange& layers) {
    const auto card = m_profile.accelerators.find(server.accelerator);
    const double memory = card == m_profile.accelerators.end() ? 0 : card->second.memory_mb;
    if (layers.Count() * m_profile.layer_mb > memory) {
      ++m_orders.beyond_memory;
      m_crashed.push_back(server.name);
      return;
    }
    m_loads[server.name] = {layers};
  }

  void Lose(const std::string& name, bool returns) {
    const auto lost = std::find_if(m_servers.begin(), m_servers.end(),
                                   [&](const ServerEntry& server) { return server.name == name; });
    if (lost == m_servers.end()) {
      return;
    }
    if (returns) {
      m_returns.push_back({*lost});
      ServerEntry& back = m_returns.back().server;
      back.name = back.registration + "@" + std::to_string(++m_starts);
      back.layers = {};
      back.accelerator = Draw(0, 4) == 0 ? AnyCard() : back.accelerator;
    }
    m_loads.erase(name);
    m_servers.erase(lost);
  }

  std::string AnyServer() {
    return m_servers.empty() ? std::string()
                             : m_servers[static_cast<std::size_t>(
                                             Draw(0, static_cast<int>(m_servers.size()) - 1))]
                                   .name;
  }

  void Disturb() {
    switch (Draw(0, 7)) {
      case 0:
      case 1:
      case 2:
        Lose(AnyServer(), Draw(0, 1) == 0);
        break;
      case 3:
        m_placer->OnEngineStalled(AnyServer());
        break;
      case 4:
        Add("n" + std::to_string(++m_starts));
        break;
      case 5:
        m_store.records.clear();
        MakePlacer();
        break;
      case 6:
        m_profile.accelerators[AnyCard()].memory_mb *= Draw(5, 12) / 10.0;
        break;
      default:
        EmptyOne();
        break;
    }
  }

  /** Only the server's own report shows that it started again. */
  void EmptyOne() {
    const std::string name = AnyServer();
    for (ServerEntry& server : m_servers) {
      if (server.name == name) {
        server.layers = {};
        m_loads.erase(name);
      }
    }
  }

  std::mt19937_64 m_random;
  VirtualTime m_time;
  FakeStore m_store{m_time};
  RecordingLogger m_logger;
  Recorder m_recorder;
  InstanceDirectory m_instances{m_time, Instance{"self", {}, "k", "r", 1}};
  OrderSettings m_settings;
  JudgedOrders m_orders;
  EngineProfile m_profile = MixedEngine();
  std::vector<ServerEntry> m_servers;
  std::map<std::string, Load> m_loads;
  std::vector<Return> m_returns;
  std::vector<std::string> m_crashed;
  int m_starts = 0;
  std::unique_ptr<LayerPlacer> m_placer;
};

}  // namespace zinnia
