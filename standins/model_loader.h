#pragma once

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "standin.h"
#include "step_runner.h"

namespace zinnia::standins {

/** Settings of how an engine takes orders. */
struct LoaderSettings {
  bool checks_fencing = false;
  std::string weights;  // address of the weight store; empty: loading takes load_ms
  std::chrono::milliseconds load_time{0};
};

/** Takes load orders and carries them out one after another.

    What was held is gone as soon as a load starts: an accelerator has no room for both. An order
    that couldn't start within its `valid_for_ms` is dropped; a repeated order id does nothing. */
class ModelLoader {
 public:
  ModelLoader(boost::asio::io_context& context, LoaderSettings settings, StepRunner& runner);

  void Order(const boost::json::object& body, const Reply& reply);

  bool ChecksFencing() const { return m_settings.checks_fencing; }
  std::uint64_t HighestEpoch() const { return m_highest_epoch; }
  const std::optional<Loaded>& Loading() const { return m_loading; }

 private:
  struct WaitingOrder {
    Loaded target;
    std::string order_id;
    std::chrono::steady_clock::time_point start_before;
  };

  void StartNext();
  void Finish(bool loaded);

  /** Reads the weights from the store on a connection of its own. */
  boost::asio::awaitable<bool> Fetch(std::string target) const;

  boost::asio::io_context& m_context;
  LoaderSettings m_settings;
  StepRunner& m_runner;
  boost::asio::steady_timer m_timer;
  std::deque<WaitingOrder> m_waiting;
  std::optional<Loaded> m_loading;
  std::string m_last_order_id;
  std::uint64_t m_highest_epoch = 0;
};

}  // namespace zinnia::standins
