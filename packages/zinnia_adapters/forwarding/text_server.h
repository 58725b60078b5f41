#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

#include "zinnia_base/errors/result.h"
#include "zinnia_world/fleet/network_address.h"

namespace zinnia {

/** Minimal HTTP server for short texts such as readiness and metrics. Create, use and destroy it on
    the thread of the loop. */
class TextServer {
 public:
  struct Answer {
    unsigned status = 200;
    std::string body;
  };
  using Handler = std::function<Answer(const std::string& path)>;

  /** Fails with kInvalidSettings if it cannot listen on the address. */
  static Result<std::unique_ptr<TextServer>> Create(boost::asio::io_context& loop,
                                                    const NetworkAddress& address,
                                                    Handler handler);
  ~TextServer();

 private:
  class Session;

  TextServer(boost::asio::ip::tcp::acceptor acceptor, Handler handler);
  void Accept();

  boost::asio::ip::tcp::acceptor m_acceptor;
  const std::shared_ptr<const Handler> m_handler;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace zinnia
