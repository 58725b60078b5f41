#include "review/standin-2/layer_server.h"

#include <utility>

#include "platform/platform_names.h"

namespace zinnia::review {
namespace {

namespace json = boost::json;
namespace names = platform::names;
using platform::soak::MakeResponse;
using platform::soak::Request;
using platform::soak::Response;
using platform::soak::Socket;
using platform::soak::ToBytes;
using std::chrono::milliseconds;

/** From a crash until the worker is back, and until its old entry has lapsed: three heartbeats. */
constexpr milliseconds kBackAfter{3'600};
constexpr milliseconds kLapsesAfter{3'600};
constexpr milliseconds kPoll{20};

/** Loads before the first request take one tenth of the time. */
constexpr double kFirstLoadShare = 0.1;

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusAccepted = 202;
constexpr unsigned kStatusUnknownOrder = 400;
constexpr unsigned kStatusStale = 412;
constexpr unsigned kStatusMisdirected = 421;
constexpr unsigned kStatusUnavailable = 503;

std::int64_t UnixMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(now).count();
}

}  // namespace

LayerServer::LayerServer(World& world,
                         Record& record,
                         std::string name,
                         CardType type,
                         OnExcess on_excess)
    : m_world(world),
      m_record(record),
      m_name(std::move(name)),
      m_type(std::move(type)),
      m_on_excess(std::move(on_excess)),
      m_server([this](const Request& request, Socket& socket) { return Handle(request, socket); }),
      m_link(m_server.Port()),
      m_life([this] { Live(); }) {}

LayerServer::~LayerServer() {
  m_stopping = true;
  m_life.join();
}

std::string LayerServer::Layers() const {
  const std::lock_guard lock(m_mutex);
  return m_held.end > m_held.first ? std::to_string(m_held.first) + "-" + std::to_string(m_held.end)
                                   : "none";
}

bool LayerServer::HoldsAny() const {
  const std::lock_guard lock(m_mutex);
  return m_held.end > m_held.first;
}

void LayerServer::LoseForGood() {
  m_is_lost = true;
  m_link.SetTargetGone(true);
  m_has_crashed = true;
}

/** One turn is one start of the worker, until it crashes. */
void LayerServer::Live() {
  for (int start = 1; !m_stopping; ++start) {
    {
      const std::lock_guard lock(m_mutex);
      m_id = m_name + "-" + std::to_string(start);
      m_born = UnixMilliseconds();
      m_held = {};
      m_is_loading = false;
      m_sequence = 0;
      m_highest_fencing = 0;
    }
    m_has_crashed = false;
    m_link.SetTargetGone(false);
    Register();
    while (!m_has_crashed && !m_stopping) {
      std::this_thread::sleep_for(kPoll);
      FinishLoad();
    }
    if (!m_has_crashed) {
      return;  // The play is over.
    }
    const auto crashed_at = Clock::now();
    m_record.Write("worker: " + m_id + (m_is_lost ? " is lost for good" : " crashes"));
    WaitUntil(crashed_at + (m_is_lost ? kLapsesAfter : kBackAfter));
    if (m_stopping) {
      return;
    }
    m_world.Remove(std::string(names::kServerKeys) + m_id);
    if (m_is_lost) {
      return;
    }
  }
}

void LayerServer::WaitUntil(Clock::time_point time) const {
  while (!m_stopping && Clock::now() < time) {
    std::this_thread::sleep_for(kPoll);
  }
}

void LayerServer::FinishLoad() {
  {
    const std::lock_guard lock(m_mutex);
    if (!m_is_loading || Clock::now() < m_loaded_at) {
      return;
    }
    m_is_loading = false;
    m_held = m_ordered;
  }
  m_record.Write("worker: " + m_id + " holds " + Layers());
  Register();
}

void LayerServer::Register() {
  const std::lock_guard lock(m_mutex);
  json::array layers;
  if (m_held.end > m_held.first) {
    layers.push_back(json::object{{"source", m_held.first}, {"to", m_held.end}, {"version", 1}});
  }
  m_world.Put(
      std::string(names::kServerKeys) + m_id,
      {{"service", "assistant"},
       {"address", "127.0.0.1:" + std::to_string(m_link.Port())},
       {"zone", "east"},
       {"version", "v1"},
       {"max_batch_size", 192},
       {"phase", "ready"},
       {"cold_remaining_ms", 0},
       {"phase_kind", "colocated"},
       {"models", json::array{json::object{{"name", "m0"}, {"version", 1}, {"adapter_ids", {}}}}},
       {"sequence", m_sequence},
       {"born", m_born},
       {"type", m_type.name},
       {"layers", std::move(layers)}});
}

bool LayerServer::Handle(const Request& request, Socket& socket) {
  if (m_has_crashed) {
    return false;
  }
  const std::string_view path = request.target();
  if (path == names::kReportCall) {
    return Report(socket);
  }
  if (path == names::kOrderCall) {
    return TakeOrder(request, socket);
  }
  if (path == "/healthz") {
    return socket.Write(ToBytes(MakeResponse(kStatusOk, "{}")));
  }
  // No client sends requests in this case.
  Response full = MakeResponse(kStatusUnavailable, "{}");
  full.set(names::kNotRun, "1");
  return socket.Write(ToBytes(std::move(full)));
}

bool LayerServer::Report(Socket& socket) {
  json::object report;
  {
    const std::lock_guard lock(m_mutex);
    json::array layers;
    if (m_held.end > m_held.first) {
      layers.push_back(json::object{{"source", m_held.first}, {"to", m_held.end}, {"version", 1}});
    }
    report = {{"phase_kind", "colocated"},
              {"busy", m_is_loading},
              {"sequence", m_sequence},
              {"queued", 0},
              {"active", 0},
              {"kv_in_use", 0},
              {"kv_cache_size", 90'000},
              {"prefix_hashes", 0},
              {"pace", 1.0},
              {"born", m_born},
              {"type", m_type.name},
              {"layers", std::move(layers)},
              {"stalled_servers", json::array{}}};
  }
  return socket.Write(ToBytes(MakeResponse(kStatusOk, json::serialize(report))));
}

bool LayerServer::TakeOrder(const Request& request, Socket& socket) {
  const json::object order = json::parse(request.body()).as_object();
  const auto answer = [&socket](unsigned status) {
    return socket.Write(ToBytes(MakeResponse(status, "{}")));
  };
  if (order.at("operation") != "place") {
    return answer(kStatusUnknownOrder);
  }
  const Range range{order.at("source").to_number<int>(), order.at("to").to_number<int>()};
  const int count = range.end - range.first;
  {
    const std::lock_guard lock(m_mutex);
    if (request[names::kExpectedServer] != m_id) {
      return answer(kStatusMisdirected);
    }
    const auto fencing = order.at("fencing_token").to_number<std::uint64_t>();
    if (fencing < m_highest_fencing) {
      return answer(kStatusStale);
    }
    m_highest_fencing = fencing;
    if (range.first == m_held.first && range.end == m_held.end) {
      return answer(kStatusOk);
    }
    m_record.Write("order: " + m_id + " (" + m_type.name + ", " +
                   std::to_string(static_cast<int>(m_type.megabytes)) + " MB) shall hold " +
                   std::to_string(range.first) + "-" + std::to_string(range.end) + ", " +
                   std::to_string(static_cast<int>(count * kLayerMegabytes)) + " MB");
  }
  if (count * kLayerMegabytes > m_type.megabytes) {
    m_on_excess(*this, count);
    m_link.SetTargetGone(true);
    m_has_crashed = true;
    return false;
  }
  const std::lock_guard lock(m_mutex);
  ++m_sequence;
  m_is_loading = true;
  m_ordered = range;
  m_loaded_at =
      Clock::now() + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(
                         kLoadSeconds * kFirstLoadShare * count / kModelLayers));
  return answer(kStatusAccepted);
}

}  // namespace zinnia::review
