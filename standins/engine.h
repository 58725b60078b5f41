#pragma once

#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "model_loader.h"
#include "standin.h"
#include "step_runner.h"

namespace zinnia::standins {

/** Settings of an engine. */
struct EngineSettings {
  std::optional<Loaded> loaded;
  StepSettings steps;
  LoaderSettings loader;
  std::chrono::microseconds batch_time{0};
  std::chrono::microseconds position_time{0};
  std::size_t longest_queue = 8192;
};

/** A model engine with one accelerator: each POST of steps is one batch, and batches run one after
    another, the highest priority first. */
class Engine : public Standin {
 public:
  Engine(boost::asio::io_context& context, EngineSettings settings);

  void Handle(Call call, Reply reply) override;
  void Control(const boost::json::object& settings) override;

 private:
  using TimePoint = std::chrono::steady_clock::time_point;

  struct Batch {
    std::unique_ptr<boost::json::monotonic_resource> memory;
    boost::json::value body;
    std::size_t steps = 0;
    Reply reply;
  };

  struct LoadReport {
    TimePoint at;
    std::size_t running = 0;
    std::size_t queued = 0;
  };

  void TakeBatch(const std::string& body, Reply reply);
  void StartNext(TimePoint start);
  void RefuseAll(const Batch& batch, std::string_view status) const;
  void HandleSessions(const Call& call, const Reply& reply);
  std::string State() const;

  /** Notes what the load is now; Load gives what it was `m_load_lag` ago. */
  void NoteLoad();
  std::string Load() const;

  EngineSettings m_settings;
  StepRunner m_runner;
  ModelLoader m_loader;
  boost::asio::steady_timer m_timer;
  std::multimap<std::uint32_t, Batch, std::greater<>> m_queue;  // by priority
  std::optional<Batch> m_running;
  std::size_t m_queued_steps = 0;
  std::deque<LoadReport> m_load_reports;
  std::chrono::milliseconds m_load_lag{0};
  bool m_truncate_next_export = false;
  std::uint64_t m_incarnation;
};

}  // namespace zinnia::standins
