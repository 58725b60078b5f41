#include "zinnia_adapters/threads/traffic_scheduler.h"

#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace zinnia {
namespace {

struct PendingCall {
  explicit PendingCall(boost::asio::io_context& loop) : timer(loop) {}
  boost::asio::steady_timer timer;
  std::function<void()> call;
};

/** Cancelling the timer is not enough: a timer that expired already has its handler queued. Without
    the emptied `call`, that handler would run after its owner was destroyed. */
class AsioScheduledCall final : public ScheduledCall {
 public:
  explicit AsioScheduledCall(std::shared_ptr<PendingCall> pending)
      : m_pending(std::move(pending)) {}
  ~AsioScheduledCall() override {
    m_pending->call = nullptr;
    m_pending->timer.cancel();
  }

 private:
  std::shared_ptr<PendingCall> m_pending;
};

}  // namespace

std::unique_ptr<ScheduledCall> AsioScheduler::ScheduleAfter(Duration delay,
                                                            std::function<void()> call) {
  auto pending = std::make_shared<PendingCall>(m_loop);
  pending->call = std::move(call);
  pending->timer.expires_after(delay);
  pending->timer.async_wait([pending](const boost::system::error_code& error) {
    auto due = std::exchange(pending->call, nullptr);
    if (!error && due) {
      due();
    }
  });
  return std::make_unique<AsioScheduledCall>(std::move(pending));
}

}  // namespace zinnia
