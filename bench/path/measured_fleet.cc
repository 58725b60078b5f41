#include "bench/path/measured_fleet.h"

#include <fmt/format.h>
#include <openssl/sha.h>
#include <stdlib.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace zinnia::bench {
namespace {

namespace asio = boost::asio;

constexpr std::string_view kKey = "key-of-the-bench-organisation";
constexpr std::string_view kQuestion = "are there two beds for friday night";
constexpr auto kStartBound = std::chrono::seconds(15);

/** Nominal capacities are far below what stand-ins take; the weight lets admission step aside. */
constexpr int kServerWeight = 100;

std::uint16_t FreePort() {
  asio::io_context context;
  const asio::ip::tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
  return acceptor.local_endpoint().port();
}

std::string Sha256Hex(std::string_view text) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest);
  std::string hex;
  for (const unsigned char byte : digest) {
    hex += fmt::format("{:02x}", byte);
  }
  return hex;
}

/** Sends a request that asks to close the connection, and returns all that comes back. */
std::string CallOnce(std::uint16_t port, const std::string& request) {
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  boost::system::error_code error;
  socket.connect({asio::ip::address_v4::loopback(), port}, error);
  std::string answer;
  if (!error) {
    asio::write(socket, asio::buffer(request), error);
    asio::read(socket, asio::dynamic_buffer(answer), error);
  }
  return answer;
}

}  // namespace

MeasuredFleet::MeasuredFleet(const EngineKind& kind) {
  std::string folder = (std::filesystem::temp_directory_path() / "bench_path.XXXXXX").string();
  if (mkdtemp(folder.data()) == nullptr) {
    throw std::runtime_error("no folder for the settings: set TMPDIR to a writable one");
  }
  m_folder = folder;
  m_store = m_harness.StartStandin("store").address;
  StartEngines(kind);
  const std::string list =
      WriteFile("list.json", fmt::format(R"({{"servers":[{}],"instances":[]}})", m_servers));
  m_list = m_harness.StartStandin("list", {"--file", list}).address;
  StartInstance();
  Configure(kind.answer_tokens);
  WaitUntilServing();
}

MeasuredFleet::~MeasuredFleet() {
  std::error_code ignored;
  std::filesystem::remove_all(m_folder, ignored);
}

void MeasuredFleet::StartEngines(const EngineKind& kind) {
  constexpr std::uint32_t kLayersPerStage = kLayers / kStages;
  for (std::uint32_t stage = 0; stage < kStages; ++stage) {
    std::string names;
    for (std::size_t replica = 0; replica < kind.replicas; ++replica) {
      const std::string name = fmt::format("stage{}-{}", stage, replica);
      const std::string address =
          m_harness
              .StartStandin("engine", {"--model", "lugha", "--first-layer",
                                       std::to_string(stage * kLayersPerStage), "--end-layer",
                                       std::to_string((stage + 1) * kLayersPerStage), "--step-us",
                                       std::to_string(kind.step_microseconds), "--state-bytes",
                                       std::to_string(kind.state_bytes), "--answer-tokens",
                                       std::to_string(kind.answer_tokens)})
              .address;
      m_servers += fmt::format(
          R"({}{{"name":"{}","address":"{}","failure_domain":"ubungo","accelerator":"large",)"
          R"("pool":"lugha","incarnation":1,"checks_fencing":false,"leaving":false}})",
          m_servers.empty() ? "" : ",", name, address);
      names += fmt::format(R"({}"{}")", names.empty() ? "" : ",", name);
      m_server_names.push_back(name);
      if (replica == 0) {
        m_stage_addresses.push_back(address);
      }
    }
    m_stage_names.push_back(fmt::format(R"({{"first_layer":{},"end_layer":{},"replicas":[{}]}})",
                                        stage * kLayersPerStage, (stage + 1) * kLayersPerStage,
                                        names));
  }
}

void MeasuredFleet::StartInstance() {
  const std::string secret(64, 'a');
  const std::string secret_file = WriteFile("secret", secret);
  m_callers_port = FreePort();
  m_operators_port = FreePort();
  const std::string settings = WriteFile(
      "settings.json",
      fmt::format(
          R"({{"instance":"entry","region":"dar-pwani","failure_domain":"ubungo",)"
          R"("callers_address":"127.0.0.1:{}","operators_address":"127.0.0.1:{}",)"
          R"("peer_address":"127.0.0.1:{}","store_addresses":["{}"],)"
          R"("instance_list_address":"{}","seeds":[],"traffic_threads":1,"log_level":"warning",)"
          R"("cluster_secret_file":"{}","resume_secret_file":"{}","operator_key_file":"{}"}})",
          m_callers_port, m_operators_port, FreePort(), m_store, m_list, secret_file, secret_file,
          secret_file));
  m_instance_id = m_harness.Start("packages/zinnia_apps/zinniad", {"--settings", settings}).Id();
}

void MeasuredFleet::Order(const std::string& command) {
  const auto deadline = std::chrono::steady_clock::now() + kStartBound;
  for (;;) {
    testing::ChildProcess& order =
        m_harness.Start("packages/zinnia_apps/zinnia",
                        {"--operators", fmt::format("http://127.0.0.1:{}", m_operators_port),
                         "--key-file", (m_folder / "secret").string(), command});
    if (order.WaitForEnd(kStartBound) == 0) {
      return;
    }
    if (std::chrono::steady_clock::now() > deadline) {
      throw std::runtime_error("refused: " + command + ": " + order.StandardError());
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
}

void MeasuredFleet::Configure(std::uint32_t answer_tokens) {
  Order(fmt::format(R"(put organisation/bench = {{"key_digests":["{}"]}})", Sha256Hex(kKey)));
  Order(fmt::format(R"(put model/lugha = {{"version":"1","layers":{},"max_tokens":{}}})", kLayers,
                    answer_tokens));
  Order(fmt::format(R"(put pipeline/njia = {{"model":"lugha","version":"1","stages":[{},{},{}]}})",
                    m_stage_names[0], m_stage_names[1], m_stage_names[2]));
  for (const std::string& server : m_server_names) {
    Order(fmt::format("set weight of backend_server {} = {}", server, kServerWeight));
  }
}

void MeasuredFleet::WaitUntilServing() const {
  std::string request = ChatRequest();
  request.replace(request.find("keep-alive"), std::string_view("keep-alive").size(), "close");
  const auto deadline = std::chrono::steady_clock::now() + kStartBound;
  std::string answer;
  while (std::chrono::steady_clock::now() < deadline) {
    answer = CallOnce(m_callers_port, request);
    if (answer.find("[DONE]") != std::string::npos) {
      return;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  throw std::runtime_error("the instance does not serve: " + answer);
}

std::string MeasuredFleet::ChatRequest() const {
  const std::string body = fmt::format(
      R"({{"model":"lugha","stream":true,"seed":7,"messages":[{{"role":"user","content":"{}"}}]}})",
      kQuestion);
  return fmt::format(
      "POST /v1/chat/completions HTTP/1.1\r\nHost: 127.0.0.1:{}\r\nAuthorization: Bearer {}\r\n"
      "Connection: keep-alive\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
      m_callers_port, kKey, body.size(), body);
}

std::string MeasuredFleet::EnginePrompt() {
  return fmt::format("user: {}\\nassistant:", kQuestion);
}

std::string MeasuredFleet::WriteFile(const std::string& name, const std::string& text) const {
  const std::filesystem::path path = m_folder / name;
  std::ofstream(path) << text;
  return path.string();
}

}  // namespace zinnia::bench
