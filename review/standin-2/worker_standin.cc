#include "review/standin-2/worker_standin.h"

#include <utility>

#include "platform/platform_names.h"

namespace zinnia::review {
namespace {

namespace names = platform::names;
using platform::soak::MakeResponse;
using platform::soak::Request;
using platform::soak::Response;
using platform::soak::Socket;
using platform::soak::ToBytes;
using std::chrono::milliseconds;

/** The work of a request, as the sheet has it. */
constexpr milliseconds kWork{30};

/** From a crash until the worker is back, and until its old entry has lapsed: three heartbeats. */
constexpr milliseconds kBackAfter{2'000};
constexpr milliseconds kLapsesAfter{3'600};
constexpr milliseconds kPoll{20};

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusMisdirected = 421;
constexpr unsigned kStatusFailed = 500;
constexpr const char* kInstanceId = "Zinniastage-Instance-Id";

std::int64_t UnixMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(now).count();
}

}  // namespace

WorkerStandin::WorkerStandin(World& world, Record& record, std::string name, OnRequest on_request)
    : m_world(world),
      m_record(record),
      m_name(std::move(name)),
      m_on_request(std::move(on_request)),
      m_server([this](const Request& request, Socket& socket) { return Handle(request, socket); }),
      m_link(m_server.Port()),
      m_life([this] { Live(); }) {}

WorkerStandin::~WorkerStandin() {
  m_stopping = true;
  m_life.join();
}

/** One turn is one start of the worker, until it crashes. */
void WorkerStandin::Live() {
  for (int start = 1; !m_stopping; ++start) {
    const std::string id = m_name + "-" + std::to_string(start);
    {
      const std::lock_guard lock(m_mutex);
      m_id = id;
    }
    m_has_crashed = false;
    m_link.SetTargetGone(false);
    Register(id);
    while (!m_has_crashed && !m_stopping) {
      std::this_thread::sleep_for(kPoll);
    }
    const auto crashed_at = Clock::now();
    if (m_stopping) {
      return;
    }
    m_record.Write("crash " + id);
    WaitUntil(crashed_at + kBackAfter);
    std::thread([this, id, crashed_at, &world = m_world] {
      std::this_thread::sleep_until(crashed_at + kLapsesAfter);
      world.Remove(std::string(names::kServerKeys) + id);
    }).detach();
  }
}

void WorkerStandin::WaitUntil(Clock::time_point time) const {
  while (!m_stopping && Clock::now() < time) {
    std::this_thread::sleep_for(kPoll);
  }
}

void WorkerStandin::Register(const std::string& id) const {
  m_world.Put(std::string(names::kServerKeys) + id,
              {{"service", "booking"},
               {"address", "127.0.0.1:" + std::to_string(m_link.Port())},
               {"zone", "east"},
               {"version", "v1"},
               {"max_batch_size", 6},
               {"phase", "ready"},
               {"cold_remaining_ms", 0},
               {"sequence", 0},
               {"born", UnixMilliseconds()}});
}

bool WorkerStandin::Draws(double share) {
  const std::lock_guard lock(m_mutex);
  return std::uniform_real_distribution<double>(0.0, 1.0)(m_random) < share;
}

bool WorkerStandin::Answer(const Request& request, Socket& socket, unsigned status) const {
  Response response = MakeResponse(status, "{}");
  response.set(names::kRequestId, request[names::kRequestId]);
  response.set(names::kSignature, "signed-by-" + m_name);
  return socket.Write(ToBytes(std::move(response)));
}

bool WorkerStandin::Handle(const Request& request, Socket& socket) {
  const std::string path(request.target());
  std::string id;
  {
    const std::lock_guard lock(m_mutex);
    id = m_id;
  }
  if (m_has_crashed) {
    return false;
  }
  if (path == "/healthz") {
    Response healthy = MakeResponse(kStatusOk, "{}");
    healthy.set(kInstanceId, id);
    return socket.Write(ToBytes(std::move(healthy)));
  }
  if (request[names::kExpectedServer] != id) {
    Response other = MakeResponse(kStatusMisdirected, "{}");
    other.set(kInstanceId, id);
    return socket.Write(ToBytes(std::move(other)));
  }
  const bool is_failing = Draws(m_failing_share);
  const bool is_harmful = path.find(kHarmfulMark) != std::string::npos;
  const Meeting meeting = is_failing   ? Meeting::kFailed
                          : is_harmful ? Meeting::kCrashed
                                       : Meeting::kRan;
  m_on_request(path, meeting);
  if (meeting == Meeting::kCrashed) {
    m_link.SetTargetGone(true);
    m_has_crashed = true;
    return false;
  }
  std::this_thread::sleep_for(kWork);
  return Answer(request, socket, is_failing ? kStatusFailed : kStatusOk);
}

}  // namespace zinnia::review
