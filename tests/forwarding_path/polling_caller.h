#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <string>

namespace zinnia {

/** How a caller ends its connection. */
enum class Departure { kInOrder, kReset };

/** A caller that reads only when it is told to and tells an orderly end from a reset. */
class PollingCaller {
 public:
  explicit PollingCaller(std::uint16_t port, int receive_buffer = 0) : m_socket(m_loop) {
    m_socket.open(boost::asio::ip::tcp::v4());
    if (receive_buffer > 0) {
      m_socket.set_option(boost::asio::socket_base::receive_buffer_size(receive_buffer));
    }
    m_socket.connect({boost::asio::ip::address_v4::loopback(), port});
    m_socket.non_blocking(true);
  }

  void Send(const std::string& bytes) {
    boost::system::error_code ignored;
    boost::asio::write(m_socket, boost::asio::buffer(bytes), ignored);
  }

  /** Closes the connection: in order, or by a reset. */
  void Leave(Departure departure) {
    if (departure == Departure::kReset) {
      m_socket.set_option(boost::asio::socket_base::linger(true, 0));
    }
    m_socket.close();
  }

  /** Reads what has arrived. */
  void Poll() {
    std::array<char, 65'536> buffer{};
    while (!m_end) {
      boost::system::error_code error;
      const std::size_t bytes = m_socket.read_some(boost::asio::buffer(buffer), error);
      received.append(buffer.data(), bytes);
      if (error == boost::asio::error::would_block) {
        return;
      }
      m_end = error;
    }
  }

  bool HasEnded() const { return static_cast<bool>(m_end); }

  /** The instance had read all that was sent when it closed the connection; else it is a reset. */
  bool HasEndedInOrder() const { return m_end == boost::asio::error::eof; }

  std::size_t Answers() const {
    std::size_t answers = 0;
    for (auto at = received.find("HTTP/1.1 "); at != std::string::npos;
         at = received.find("HTTP/1.1 ", at + 1)) {
      ++answers;
    }
    return answers;
  }

  std::string received;

 private:
  boost::asio::io_context m_loop;
  boost::asio::ip::tcp::socket m_socket;
  boost::system::error_code m_end;
};

}  // namespace zinnia
