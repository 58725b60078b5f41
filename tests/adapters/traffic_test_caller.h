#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace zinnia {

/** A caller's raw connection on the test's own loop: sends bytes, gathers what comes back. */
class TestCaller {
 public:
  TestCaller(boost::asio::io_context& loop, std::uint16_t port)
      : m_state(std::make_shared<State>(loop)) {
    m_state->socket.connect({boost::asio::ip::address_v4::loopback(), port});
    Read(m_state);
  }

  void Send(std::string bytes) {
    m_state->sent.push_back(std::make_unique<std::string>(std::move(bytes)));
    boost::asio::async_write(m_state->socket, boost::asio::buffer(*m_state->sent.back()),
                             [state = m_state](boost::system::error_code, std::size_t) {});
  }

  void Close() { m_state->socket.close(); }
  const std::string& Received() const { return m_state->received; }
  bool Has(const std::string& text) const { return Received().find(text) != std::string::npos; }
  bool IsClosed() const { return m_state->closed; }

 private:
  struct State {
    explicit State(boost::asio::io_context& loop) : socket(loop) {}
    boost::asio::ip::tcp::socket socket;
    std::vector<std::unique_ptr<std::string>> sent;
    std::array<char, 4096> buffer{};
    std::string received;
    bool closed = false;
  };

  static void Read(const std::shared_ptr<State>& state) {
    state->socket.async_read_some(boost::asio::buffer(state->buffer),
                                  [state](boost::system::error_code error, std::size_t bytes) {
                                    state->received.append(state->buffer.data(), bytes);
                                    state->closed = static_cast<bool>(error);
                                    if (!error) {
                                      Read(state);
                                    }
                                  });
  }

  std::shared_ptr<State> m_state;
};

}  // namespace zinnia
