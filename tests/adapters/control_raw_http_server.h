#pragma once

#include <boost/asio.hpp>

#include <sys/socket.h>

#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "zinnia_world/fleet/network_address.h"

namespace zinnia {

/** An HTTP server on loopback that reads each request whole and answers it with the next line of
   its script, whatever bytes that is. An empty line closes the connection without an answer; after
   the last line it stops listening. Serves one connection at a time. It pauses within an answer
   where kPause stands, and closes the connection after one that ends with kEnd. */
class RawHttpServer {
 public:
  static constexpr std::string_view kPause = "<pause>";
  static constexpr std::string_view kEnd = "<end>";

  explicit RawHttpServer(std::vector<std::string> script)
      : m_acceptor(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        m_address{"127.0.0.1", m_acceptor.local_endpoint().port()},
        m_thread([this, script = std::move(script)] { Run(script); }) {}

  /** Ends the script where it is, so that a failed test does not wait for the rest of it. */
  ~RawHttpServer() {
    ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
    ::shutdown(m_connection, SHUT_RDWR);
    m_thread.join();
  }

  static std::string Json(const std::string& body, const std::string& status = "200 OK") {
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }

  const NetworkAddress& address() const { return m_address; }

  std::vector<std::string> Requests() {
    const std::lock_guard lock(m_mutex);
    return m_requests;
  }

  /** Waits until so many answers have been written, and their bytes have arrived. */
  void AwaitAnswers(int count) const {
    constexpr std::chrono::milliseconds kPollInterval{5};
    constexpr int kMostPolls = 2'000;
    for (int poll = 0; poll < kMostPolls && m_answers < count; ++poll) {
      std::this_thread::sleep_for(kPollInterval);
    }
    std::this_thread::sleep_for(kPollInterval);
  }

  /** How many connections it has accepted. */
  int Connections() const { return m_connections; }

 private:
  using Socket = boost::asio::ip::tcp::socket;

  void Run(const std::vector<std::string>& script) {
    auto line = script.begin();
    while (line != script.end()) {
      Socket socket(m_context);
      boost::system::error_code refused;
      m_acceptor.accept(socket, refused);
      if (refused) {
        return;
      }
      m_connection = socket.native_handle();
      ++m_connections;
      while (line != script.end() && ReadRequest(socket)) {
        const std::string& answer = *line++;
        if (answer.empty()) {
          break;
        }
        Write(socket, answer);
        ++m_answers;
        if (answer.ends_with(kEnd)) {
          break;
        }
      }
    }
  }

  static void Write(Socket& socket, std::string_view answer) {
    if (answer.ends_with(kEnd)) {
      answer.remove_suffix(kEnd.size());
    }
    boost::system::error_code error;
    for (auto at = answer.find(kPause); at != std::string_view::npos; at = answer.find(kPause)) {
      boost::asio::write(socket, boost::asio::buffer(answer.substr(0, at)), error);
      std::this_thread::sleep_for(std::chrono::milliseconds(30));
      answer.remove_prefix(at + kPause.size());
    }
    boost::asio::write(socket, boost::asio::buffer(answer), error);
  }

  bool ReadRequest(Socket& socket) {
    std::string text;
    boost::system::error_code error;
    const auto head =
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(text), "\r\n\r\n", error);
    if (error) {
      return false;
    }
    const auto field = text.find("Content-Length: ");
    const std::size_t body = field == std::string::npos ? 0 : std::stoul(text.substr(field + 16));
    if (text.size() < head + body) {
      boost::asio::read(socket, boost::asio::dynamic_buffer(text),
                        boost::asio::transfer_exactly(head + body - text.size()), error);
    }
    const std::lock_guard lock(m_mutex);
    m_requests.push_back(text);
    return !error;
  }

  boost::asio::io_context m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  const NetworkAddress m_address;
  std::atomic<int> m_connection{-1};
  std::atomic<int> m_connections{0};
  std::atomic<int> m_answers{0};
  std::mutex m_mutex;
  std::vector<std::string> m_requests;
  std::thread m_thread;
};

}  // namespace zinnia
