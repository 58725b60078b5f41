#include "zinnia_adapters/http/http_connection_pool.h"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace zinnia {
namespace {

/** A server closes idle connections whenever it likes. A request written to such a connection is
    lost, and for a write the caller is then left not knowing its outcome. Looking for the close
    first catches nearly all of these; bytes that nobody asked for spoil a connection as well. */
bool IsQuietAndOpen(HttpConnectionPool::Stream& stream) {
  char byte = 0;
  const auto count =
      recv(stream.socket().native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

std::unique_ptr<HttpConnectionPool::Stream> HttpConnectionPool::Take(
    const NetworkAddress& address) {
  DropExpired();
  const auto found = m_idle.find(address);
  if (found == m_idle.end()) {
    return nullptr;
  }
  while (!found->second.empty()) {
    auto stream = std::move(found->second.back().stream);
    found->second.pop_back();
    if (IsQuietAndOpen(*stream)) {
      return stream;
    }
  }
  m_idle.erase(found);
  return nullptr;
}

void HttpConnectionPool::Keep(const NetworkAddress& address, std::unique_ptr<Stream> stream) {
  auto& idle = m_idle[address];
  idle.push_back({std::move(stream), m_clock.Now()});
  if (idle.size() > m_most_idle) {
    idle.pop_front();
  }
}

void HttpConnectionPool::DropExpired() {
  const TimePoint oldest = m_clock.Now() - m_idle_limit;
  for (auto row = m_idle.begin(); row != m_idle.end();) {
    auto& idle = row->second;
    while (!idle.empty() && idle.front().since < oldest) {
      idle.pop_front();
    }
    row = idle.empty() ? m_idle.erase(row) : std::next(row);
  }
}

}  // namespace zinnia
