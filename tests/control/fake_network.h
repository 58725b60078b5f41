#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

#include "tests/control/process_scheduler.h"
#include "zinnia_base/random/random_source.h"
#include "zinnia_decisions/membership/message_size.h"
#include "zinnia_decisions/ports/peer_transport.h"

namespace zinnia {

/** A simulated network with delays, loss, duplicates, partitions and traffic counters. */
class FakeNetwork {
 public:
  struct Endpoint {
    PeerListener* listener = nullptr;
    ProcessScheduler* scheduler = nullptr;
  };

  explicit FakeNetwork(std::uint64_t seed) : m_random(seed) {}

  void Attach(const NetworkAddress& address, Endpoint endpoint) {
    m_endpoints[address.ToString()] = endpoint;
  }
  void Detach(const NetworkAddress& address) { m_endpoints.erase(address.ToString()); }

  /** The endpoint, or null if it is missing or unreachable from `from`. */
  Endpoint* Reach(const NetworkAddress& from, const NetworkAddress& to) {
    const auto found = m_endpoints.find(to.ToString());
    return found == m_endpoints.end() || is_cut(from, to) ? nullptr : &found->second;
  }

  void Datagram(const NetworkAddress& from, const NetworkAddress& to, const ProbeMessage& message) {
    ++datagrams;
    const std::size_t size = EstimateSize(message) + kHeaders;
    bytes += size;
    largest = std::max(largest, size);
    const int copies = RandomUnit(m_random) < drop ? 0 : RandomUnit(m_random) < doubled ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      if (Endpoint* endpoint = Reach(from, to)) {
        endpoint->scheduler->Post(Delay(), [this, from, to, message] {
          if (Endpoint* now = Reach(from, to)) {
            now->listener->OnProbe(message);
          }
        });
      }
    }
  }

  Duration Delay() {
    const auto spread = static_cast<std::uint64_t>((max_delay - min_delay).count()) + 1;
    return min_delay + Duration(RandomBelow(m_random, spread));
  }

  std::function<bool(const NetworkAddress&, const NetworkAddress&)> is_cut = [](auto&, auto&) {
    return false;
  };
  double drop = 0.0;
  double doubled = 0.0;
  Duration min_delay = std::chrono::microseconds(200);
  Duration max_delay = std::chrono::milliseconds(2);
  std::uint64_t datagrams = 0;
  std::uint64_t bytes = 0;
  std::uint64_t fetches = 0;
  std::uint64_t fetched_bytes = 0;
  std::size_t largest = 0;

 private:
  static constexpr std::size_t kHeaders = 28;

  RandomSource m_random;
  std::unordered_map<std::string, Endpoint> m_endpoints;
};

/** One instance's transport over FakeNetwork. */
class FakeTransport final : public PeerTransport {
 public:
  FakeTransport(FakeNetwork& network, ProcessScheduler& scheduler, NetworkAddress own)
      : m_network(network), m_scheduler(scheduler), m_own(std::move(own)) {}

  void SendProbe(const NetworkAddress& to, const ProbeMessage& message) override {
    m_network.Datagram(m_own, to, message);
  }

  void FetchConfiguration(const NetworkAddress& from,
                          ConfigurationRevision after,
                          std::function<void(Result<ConfigurationDelta>)> callback) override {
    ++m_network.fetches;
    FakeNetwork::Endpoint* peer = m_network.Reach(m_own, from);
    if (peer == nullptr || peer->scheduler->IsPaused()) {
      m_scheduler.Post(std::chrono::seconds(1), [callback = std::move(callback)] {
        callback(MakeError(ErrorKind::kPeerUnavailable, "cut"));
      });
      return;
    }
    ConfigurationDelta delta = peer->listener->OnFetchConfiguration(after);
    m_network.fetched_bytes += EstimateSize(delta) + kCallBytes;
    m_scheduler.Post(m_network.Delay() * 2, [callback = std::move(callback),
                                             delta = std::move(delta)] { callback(delta); });
  }

  void BeginIntent(const NetworkAddress&,
                   IntentRequest,
                   std::function<void(Result<IntentReply>)>) override {}
  void ReportOutcome(const NetworkAddress&,
                     IntentOutcome,
                     std::function<void(Result<void>)>) override {}

 private:
  static constexpr std::size_t kCallBytes = 400;

  FakeNetwork& m_network;
  ProcessScheduler& m_scheduler;
  const NetworkAddress m_own;
};

}  // namespace zinnia
