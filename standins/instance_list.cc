#include "platform_standins.h"

#include <boost/asio.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <utility>

namespace zinnia::standins {

namespace {

class InstanceList : public Standin {
 public:
  InstanceList(boost::asio::io_context& context, std::string first_list)
      : m_context(context), m_list(std::move(first_list)) {}

  void Handle(Call call, Reply reply) override {
    if (call.path == "/instances") {
      reply(200, m_list);
    } else {
      reply(404, ErrorBody("unknown_path", call.path));
    }
  }

  void Control(const boost::json::object& settings) override {
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
    timer->async_wait([this, timer, text = boost::json::serialize(*list)](
                          boost::system::error_code) { m_list = text; });
  }

 private:
  boost::asio::io_context& m_context;
  std::string m_list;
  std::int64_t m_lag_ms = 0;
};

}  // namespace

std::unique_ptr<Standin> MakeInstanceList(boost::asio::io_context& context,
                                          std::string first_list) {
  return std::make_unique<InstanceList>(context, std::move(first_list));
}

}  // namespace zinnia::standins
