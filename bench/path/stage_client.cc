#include "bench/path/stage_client.h"

#include <fmt/format.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/parse.hpp>
#include <stdexcept>
#include <utility>

namespace zinnia::bench {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::size_t kDecodeLanes = 2;
constexpr std::size_t kPrefillLanes = 1;
constexpr std::size_t kMostSteps = 256;
constexpr std::string_view kLength = "Content-Length: ";

asio::ip::tcp::endpoint EndpointOf(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

}  // namespace

struct StageClient::Lane {
  explicit Lane(asio::io_context& loop) : socket(loop) {}
  asio::ip::tcp::socket socket;
  std::string request;
  std::string response;
  std::array<char, 32768> buffer;
  std::vector<Step> steps;
};

StageClient::StageClient(asio::io_context& loop, const std::string& address) : m_loop(loop) {
  const auto open = [&](Queue& queue, std::size_t lanes) {
    for (std::size_t lane = 0; lane < lanes; ++lane) {
      queue.lanes.push_back(std::make_unique<Lane>(loop));
      queue.lanes.back()->socket.connect(EndpointOf(address));
      queue.lanes.back()->socket.set_option(asio::ip::tcp::no_delay(true));
    }
  };
  open(m_decode, kDecodeLanes);
  open(m_prefill, kPrefillLanes);
}

StageClient::~StageClient() = default;

void StageClient::Send(bool prefill, std::string step, OnAnswer on_answer) {
  (prefill ? m_prefill : m_decode).steps.push_back({std::move(step), std::move(on_answer)});
  if (!std::exchange(m_flush_posted, true)) {
    asio::post(m_loop, [this] { Flush(); });
  }
}

void StageClient::Flush() {
  m_flush_posted = false;
  FlushQueue(m_decode);
  FlushQueue(m_prefill);
}

void StageClient::FlushQueue(Queue& queue) {
  for (const auto& lane : queue.lanes) {
    if (lane->steps.empty() && !queue.steps.empty()) {
      SendBatch(queue, *lane);
    }
  }
}

void StageClient::SendBatch(Queue& queue, Lane& lane) {
  std::string body = "{\"steps\":[";
  while (!queue.steps.empty() && lane.steps.size() < kMostSteps) {
    body += queue.steps.front().text;
    body += ',';
    lane.steps.push_back(std::move(queue.steps.front()));
    queue.steps.pop_front();
  }
  body.back() = ']';
  body += '}';
  lane.request = fmt::format(
      "POST /v1/steps HTTP/1.1\r\nHost: engine\r\nContent-Type: application/json\r\n"
      "Content-Length: {}\r\n\r\n{}",
      body.size(), body);
  lane.response.clear();
  asio::async_write(lane.socket, asio::buffer(lane.request),
                    [this, &lane](const boost::system::error_code& error, std::size_t) {
                      if (error) {
                        throw std::runtime_error("an engine ended: " + error.message());
                      }
                      ReadAnswer(lane);
                    });
}

void StageClient::ReadAnswer(Lane& lane) {
  lane.socket.async_read_some(
      asio::buffer(lane.buffer),
      [this, &lane](const boost::system::error_code& error, std::size_t bytes) {
        if (error) {
          throw std::runtime_error("an engine ended: " + error.message());
        }
        lane.response.append(lane.buffer.data(), bytes);
        if (!TakeAnswer(lane)) {
          ReadAnswer(lane);
        }
      });
}

bool StageClient::TakeAnswer(Lane& lane) {
  const std::size_t head_end = lane.response.find("\r\n\r\n");
  if (head_end == std::string::npos) {
    return false;
  }
  const std::size_t body_at = head_end + 4;
  const std::size_t length_at = lane.response.find(kLength);
  if (length_at == std::string::npos) {
    throw std::runtime_error("an engine's answer has no length: " + lane.response);
  }
  const std::size_t length = std::stoul(lane.response.substr(length_at + kLength.size(), 20));
  if (lane.response.size() < body_at + length) {
    return false;
  }
  const json::value document = json::parse(std::string_view(lane.response).substr(body_at));
  const json::array& answers = document.at("answers").as_array();
  const std::vector<Step> steps = std::exchange(lane.steps, {});
  for (std::size_t index = 0; index < steps.size(); ++index) {
    steps[index].on_answer(answers[index].as_object());
  }
  Flush();
  return true;
}

}  // namespace zinnia::bench
