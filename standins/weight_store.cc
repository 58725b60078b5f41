#include "weight_store.h"

#include <algorithm>
#include <memory>
#include <string>

namespace zinnia::standins {

WeightStore::WeightStore(boost::asio::io_context& context,
                         std::uint64_t bytes_per_second,
                         std::uint64_t bytes_per_layer)
    : m_context(context),
      m_bytes_per_second(std::max<std::uint64_t>(bytes_per_second, 1)),
      m_bytes_per_layer(bytes_per_layer) {}

void WeightStore::Handle(Call call, Reply reply) {
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

void WeightStore::Control(const boost::json::object& settings) {
  ReadNumber(settings, "bytes_per_second", m_bytes_per_second);
}

}  // namespace zinnia::standins
