#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include "platform/soak/http_server.h"
#include "platform/soak/proxy.h"
#include "review/standin-2/world.h"

namespace zinnia::review {

/** A type of worker, as the sheets have them. */
struct CardType {
  std::string name;
  double megabytes = 0.0;
  double pace = 1.0;
  double read_factor = 1.0;
};

/** The model that the workers hold in parts. */
inline constexpr int kModelLayers = 80;
inline constexpr double kLayerMegabytes = 1'750.0;
inline constexpr double kLoadSeconds = 14.0;

/** A worker that holds layers of the model and takes `place` orders. One that is ordered to hold
    more than its memory crashes, and starts again empty. */
class LayerServer {
 public:
  /** Called with the layers of an order that is beyond the worker's memory. */
  using OnExcess = std::function<void(const LayerServer& server, int layers)>;

  LayerServer(World& world, Record& record, std::string name, CardType type, OnExcess on_excess);
  ~LayerServer();

  LayerServer(const LayerServer&) = delete;
  LayerServer& operator=(const LayerServer&) = delete;

  const std::string& Name() const { return m_name; }
  const CardType& Type() const { return m_type; }

  /** The range as "first-end"; "none" if it holds no layers. */
  std::string Layers() const;
  bool HoldsAny() const;

  /** The worker ends and does not come back. */
  void LoseForGood();

 private:
  struct Range {
    int first = 0;
    int end = 0;
  };

  void Live();
  void WaitUntil(Clock::time_point time) const;
  void Register();
  bool Handle(const platform::soak::Request& request, platform::soak::Socket& socket);
  bool Report(platform::soak::Socket& socket);
  bool TakeOrder(const platform::soak::Request& request, platform::soak::Socket& socket);
  void FinishLoad();

  World& m_world;
  Record& m_record;
  const std::string m_name;
  const CardType m_type;
  const OnExcess m_on_excess;
  std::atomic<bool> m_has_crashed = false;
  std::atomic<bool> m_is_lost = false;
  std::atomic<bool> m_stopping = false;
  mutable std::mutex m_mutex;
  std::string m_id;
  Range m_held;
  Range m_ordered;
  bool m_is_loading = false;
  Clock::time_point m_loaded_at;
  std::int64_t m_born = 0;
  int m_sequence = 0;
  std::uint64_t m_highest_fencing = 0;
  platform::soak::HttpServer m_server;
  platform::soak::Proxy m_link;
  std::thread m_life;
};

}  // namespace zinnia::review
