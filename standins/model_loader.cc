#include "model_loader.h"

#include <fmt/format.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <utility>

namespace zinnia::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

ModelLoader::ModelLoader(asio::io_context& context, LoaderSettings settings, StepRunner& runner)
    : m_context(context), m_settings(std::move(settings)), m_runner(runner), m_timer(context) {}

void ModelLoader::Order(const boost::json::object& body, const Reply& reply) {
  if (body.at("order").as_string() != "load") {
    reply(400, ErrorBody("unknown_order"));
    return;
  }
  const auto epoch = body.at("epoch").to_number<std::uint64_t>();
  if (m_settings.checks_fencing && epoch < m_highest_epoch) {
    reply(409, ErrorBody("stale_epoch", std::to_string(m_highest_epoch)));
    return;
  }
  WaitingOrder order{
      .target = {std::string(body.at("model").as_string()),
                 std::string(body.at("version").as_string()),
                 {body.at("first_layer").to_number<std::uint32_t>(),
                  body.at("end_layer").to_number<std::uint32_t>()}},
      .order_id = std::string(body.at("order_id").as_string()),
      .start_before = std::chrono::steady_clock::now() +
                      std::chrono::milliseconds(body.at("valid_for_ms").to_number<std::int64_t>())};
  if (order.target.layers.first >= order.target.layers.end) {
    reply(400, ErrorBody("empty_layer_range"));
    return;
  }
  m_highest_epoch = std::max(m_highest_epoch, epoch);
  if (order.order_id != m_last_order_id) {
    m_last_order_id = order.order_id;
    m_waiting.push_back(std::move(order));
    StartNext();
  }
  reply(202, "{}");
}

void ModelLoader::StartNext() {
  if (m_loading || m_waiting.empty()) {
    return;
  }
  const WaitingOrder order = std::move(m_waiting.front());
  m_waiting.pop_front();
  if (order.start_before < std::chrono::steady_clock::now() || m_runner.Held() == order.target) {
    StartNext();
    return;
  }
  m_runner.Load(std::nullopt);
  m_loading = order.target;
  if (m_settings.weights.empty()) {
    m_timer.expires_after(m_settings.load_time);
    m_timer.async_wait([this](boost::system::error_code) { Finish(true); });
    return;
  }
  const std::string target =
      fmt::format("/weights/{}/{}/{}-{}?order={}", order.target.model, order.target.version,
                  order.target.layers.first, order.target.layers.end, order.order_id);
  asio::co_spawn(m_context, Fetch(target), [this](const std::exception_ptr& error, bool loaded) {
    Finish(!error && loaded);
  });
}

void ModelLoader::Finish(bool loaded) {
  if (loaded) {
    m_runner.Load(m_loading);
  }
  m_loading.reset();
  StartNext();
}

asio::awaitable<bool> ModelLoader::Fetch(std::string target) const {
  const std::size_t colon = m_settings.weights.rfind(':');
  const auto address = asio::ip::make_address(m_settings.weights.substr(0, colon));
  const auto port = static_cast<std::uint16_t>(std::stoul(m_settings.weights.substr(colon + 1)));
  tcp::socket socket(m_context);
  co_await socket.async_connect({address, port}, asio::use_awaitable);
  http::request<http::empty_body> request(http::verb::get, target, 11);
  request.set(http::field::host, m_settings.weights);
  co_await http::async_write(socket, request, asio::use_awaitable);
  boost::beast::flat_buffer buffer;
  http::response<http::string_body> response;
  co_await http::async_read(socket, buffer, response, asio::use_awaitable);
  co_return response.result() == http::status::ok;
}

}  // namespace zinnia::standins
