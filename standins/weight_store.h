#pragma once

#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>

#include "standin.h"

namespace zinnia::standins {

/** The rate-limited weight store: transfers share one rate and run one after another. */
class WeightStore : public Standin {
 public:
  WeightStore(boost::asio::io_context& context,
              std::uint64_t bytes_per_second,
              std::uint64_t bytes_per_layer);

  void Handle(Call call, Reply reply) override;
  void Control(const boost::json::object& settings) override;

 private:
  boost::asio::io_context& m_context;
  std::uint64_t m_bytes_per_second;
  std::uint64_t m_bytes_per_layer;
  std::chrono::steady_clock::time_point m_busy_until;
};

}  // namespace zinnia::standins
