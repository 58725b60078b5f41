#pragma once

#include <boost/asio.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "standin.h"

namespace zinnia::standins {

/** HTTP/1.1 keep-alive server on the loopback address for one stand-in: one thread, many
    connections, one call at a time on each. Plays the faults that every stand-in has. */
class HttpServer {
 public:
  /** Port 0 picks a free one. Throws boost::system::system_error if the port is taken. */
  HttpServer(boost::asio::io_context& context, std::uint16_t port, Standin& standin);

  std::uint16_t Port() const { return m_acceptor.local_endpoint().port(); }

  /** Starts taking connections. */
  void Start();

 private:
  class Connection;

  /** Faults set through `POST /control`. */
  struct Faults {
    std::uint64_t delay_ms = 0;
    std::uint64_t drop_next = 0;
    std::uint64_t lose_answers_next = 0;
    bool outage = false;
    std::string only;  // limits drop_next and lose_answers_next to this path; empty: all paths
  };

  void Accept();
  void Serve(Call call, const std::shared_ptr<Connection>& connection);
  void ServeControl(const Call& call, const Reply& reply);
  void ApplyControl(const boost::json::object& settings);

  /** Takes one off `remaining` if the fault is due for a call of this path. */
  bool TakeFault(std::uint64_t& remaining, const std::string& path) const;

  boost::asio::io_context& m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  Standin& m_standin;
  Faults m_faults;
  std::map<std::string, std::uint64_t> m_counts;
};

}  // namespace zinnia::standins
