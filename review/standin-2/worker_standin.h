#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>

#include "platform/soak/http_server.h"
#include "platform/soak/proxy.h"
#include "review/standin-2/world.h"

namespace zinnia::review {

/** Paths with this text belong to a request that ends each server that begins to run it. */
inline constexpr const char* kHarmfulMark = "harmful";

/** What a request met at a server. */
enum class Meeting { kRan, kFailed, kCrashed };

/** A worker of a plain service, which registers itself in the store. A request that is harmful ends
    it; it comes back after some seconds with a new id, and its old entry lapses. */
class WorkerStandin {
 public:
  using OnRequest = std::function<void(const std::string& path, Meeting meeting)>;

  WorkerStandin(World& world, Record& record, std::string name, OnRequest on_request);
  ~WorkerStandin();

  WorkerStandin(const WorkerStandin&) = delete;
  WorkerStandin& operator=(const WorkerStandin&) = delete;

  /** The share of requests that it answers with a 500 of its own. */
  void SetFailingShare(double share) { m_failing_share = share; }

 private:
  void Live();
  void WaitUntil(Clock::time_point time) const;
  void Register(const std::string& id) const;
  bool Handle(const platform::soak::Request& request, platform::soak::Socket& socket);
  bool Answer(const platform::soak::Request& request,
              platform::soak::Socket& socket,
              unsigned status) const;
  bool Draws(double share);

  World& m_world;
  Record& m_record;
  const std::string m_name;
  const OnRequest m_on_request;
  std::atomic<double> m_failing_share = 0.0;
  std::atomic<bool> m_has_crashed = false;
  std::atomic<bool> m_stopping = false;
  std::mutex m_mutex;
  std::string m_id;
  std::mt19937 m_random{std::random_device{}()};
  platform::soak::HttpServer m_server;

  /** Its port is the worker's: it refuses connections while the worker is down. */
  platform::soak::Proxy m_link;
  std::thread m_life;
};

}  // namespace zinnia::review
