#include "zinnia_adapters/callers/caller_acceptor.h"

#include <utility>

#include "zinnia_decisions/ports/metrics.h"

namespace zinnia {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr Duration kAcceptAgainAfter = std::chrono::milliseconds(100);

}  // namespace

CallerAcceptor::CallerAcceptor(tcp::acceptor acceptor,
                               Scheduler& scheduler,
                               Metrics& metrics,
                               OnConnection on_connection)
    : m_acceptor(std::move(acceptor)),
      m_scheduler(scheduler),
      m_metrics(metrics),
      m_on_connection(std::move(on_connection)) {}

std::uint16_t CallerAcceptor::Port() const {
  boost::system::error_code error;
  return m_acceptor.local_endpoint(error).port();
}

void CallerAcceptor::Close() {
  boost::system::error_code ignored;
  m_acceptor.close(ignored);
  m_again.reset();
}

void CallerAcceptor::Accept() {
  m_acceptor.async_accept([this, alive = std::weak_ptr<bool>(m_alive)](
                              const boost::system::error_code& error, tcp::socket socket) {
    if (!alive.expired()) {
      OnAccepted(error, std::move(socket));
    }
  });
}

void CallerAcceptor::OnAccepted(const boost::system::error_code& error, tcp::socket socket) {
  if (error == asio::error::operation_aborted || !m_acceptor.is_open()) {
    return;
  }
  if (error) {
    m_metrics.Count("caller_accepts_failed");
    m_again = m_scheduler.ScheduleAfter(kAcceptAgainAfter, [this] { Accept(); });
    return;
  }
  m_on_connection(std::move(socket));
  Accept();
}

}  // namespace zinnia
