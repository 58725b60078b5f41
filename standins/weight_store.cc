#include "platform_standins.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace zinnia::standins {

namespace {

class WeightStore : public Standin {
 public:
  WeightStore(boost::asio::io_context& context,
              std::uint64_t bytes_per_second,
              std::uint64_t bytes_per_layer)
      : m_context(context),
        m_bytes_per_second(std::max<std::uint64_t>(bytes_per_second, 1)),
        m_bytes_per_layer(bytes_per_layer) {}

  void Handle(Call call, Reply reply) override {
    const std::size_t dash = call.path.rfind('-');
    const std::size_t slash = call.path.rfind('/');
    if (!call.path.starts_with("/weights/") || dash == std::string::npos || dash < slash) {
      reply(404, ErrorBody("unknown_path", call.path));
      return;
    }
    const std::uint64_t first_layer = std::stoull(call.path.substr(slash + 1));
    const std::uint64_t end_layer = std::stoull(call.path.substr(dash + 1));
    const std::uint64_t bytes = (end_layer - first_layer) * m_bytes_per_layer;
    m_busy_until = std::max(m_busy_until, std::chrono::steady_clock::now()) +
                   std::chrono::microseconds(bytes * 1'000'000 / m_bytes_per_second);
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, m_busy_until);
    timer->async_wait([timer, reply, bytes](boost::system::error_code) {
      reply(200, boost::json::serialize(boost::json::object{{"bytes", bytes}}));
    });
  }

  void Control(const boost::json::object& settings) override {
    ReadNumber(settings, "bytes_per_second", m_bytes_per_second);
  }

 private:
  boost::asio::io_context& m_context;
  std::uint64_t m_bytes_per_second;
  std::uint64_t m_bytes_per_layer;
  std::chrono::steady_clock::time_point m_busy_until;
};

}  // namespace

std::unique_ptr<Standin> MakeWeightStore(boost::asio::io_context& context,
                                         std::uint64_t bytes_per_second,
                                         std::uint64_t bytes_per_layer) {
  return std::make_unique<WeightStore>(context, bytes_per_second, bytes_per_layer);
}

}  // namespace zinnia::standins
