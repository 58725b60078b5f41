#include "zinnia_adapters/threads/traffic_thread.h"

#include <boost/asio/post.hpp>
#include <cassert>
#include <exception>
#include <future>
#include <utility>

namespace zinnia {

TrafficThread::TrafficThread(OnFailure on_failure)
    : m_on_failure(std::move(on_failure)), m_work(m_loop.get_executor()) {}

TrafficThread::~TrafficThread() {
  Stop();
}

void TrafficThread::Start() {
  assert(!m_thread.joinable() && "a traffic thread is started once");
  m_thread = std::thread([this] { RunLoop(); });
}

void TrafficThread::RunLoop() {
  while (!m_loop.stopped()) {
    try {
      m_loop.run();
    } catch (const std::exception& failure) {
      if (!m_on_failure) {
        throw;
      }
      m_on_failure(failure.what());
    }
  }
}

void TrafficThread::Stop() {
  m_work.reset();
  m_loop.stop();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void TrafficThread::Post(std::function<void()> call) {
  boost::asio::post(m_loop, std::move(call));
}

void TrafficThread::RunAndWait(const std::function<void()>& call) {
  assert(std::this_thread::get_id() != m_thread.get_id() && "it would wait for itself");
  std::promise<void> done;
  Post([&] {
    try {
      call();
      done.set_value();
    } catch (...) {
      done.set_exception(std::current_exception());
    }
  });
  done.get_future().get();
}

}  // namespace zinnia
