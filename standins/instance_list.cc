#include "instance_list.h"

#include <chrono>
#include <memory>
#include <utility>

namespace zinnia::standins {

InstanceList::InstanceList(boost::asio::io_context& context, std::string first_list)
    : m_context(context), m_list(std::move(first_list)) {}

void InstanceList::Handle(Call call, Reply reply) {
  if (call.path == "/instances") {
    reply(200, m_list);
  } else {
    reply(404, ErrorBody("unknown_path", call.path));
  }
}

void InstanceList::Control(const boost::json::object& settings) {
  ReadNumber(settings, "list_lag_ms", m_lag_ms);
  const boost::json::value* list = settings.if_contains("list");
  if (list == nullptr) {
    return;
  }
  if (m_lag_ms == 0) {
    m_list = boost::json::serialize(*list);
    return;
  }
  auto timer =
      std::make_shared<boost::asio::steady_timer>(m_context, std::chrono::milliseconds(m_lag_ms));
  timer->async_wait([this, timer, text = boost::json::serialize(*list)](boost::system::error_code) {
    m_list = text;
  });
}

}  // namespace zinnia::standins
