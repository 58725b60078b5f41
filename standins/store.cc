#include "platform_standins.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace zinnia::standins {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

std::string VersionBody(std::uint64_t version) {
  return json::serialize(json::object{{"version", version}});
}

class Store : public Standin {
 public:
  explicit Store(asio::io_context& context) : m_context(context), m_lease_timer(context) {}

  void Handle(Call call, Reply reply) override {
    EndOverdueLeases();
    const json::value parsed = json::parse(call.body);
    const json::object& body = parsed.as_object();
    if (call.path == "/kv/get") {
      Get(body, reply);
    } else if (call.path == "/kv/list") {
      reply(200, Batch(std::string(body.at("prefix").as_string()), 0, false));
    } else if (call.path == "/kv/cas") {
      Write(body, std::string(body.at("value").as_string()), reply);
    } else if (call.path == "/kv/delete") {
      Write(body, std::nullopt, reply);
    } else if (call.path == "/kv/watch") {
      Watch(body, reply);
    } else if (call.path.starts_with("/kv/lease/")) {
      ChangeLease(call.path, body, reply);
    } else {
      reply(404, ErrorBody("unknown_path", call.path));
    }
  }

  void Control(const json::object& settings) override {
    const json::value* outage = settings.if_contains("outage");
    if (outage == nullptr || !outage->as_bool()) {
      return;
    }
    for (const auto& watcher : std::exchange(m_watchers, {})) {
      watcher->timer.cancel();
      watcher->reply(503, ErrorBody("unavailable", "outage set through /control"));
    }
  }

 private:
  using TimePoint = std::chrono::steady_clock::time_point;

  struct Record {
    std::uint64_t version = 0;
    std::optional<std::string> value;
    std::uint64_t lease = 0;
  };

  struct Lease {
    std::chrono::milliseconds time_to_live{};
    TimePoint ends;
  };

  struct Watcher {
    std::string prefix;
    std::uint64_t after = 0;
    Reply reply;
    boost::asio::steady_timer timer;
  };

  void Get(const json::object& body, const Reply& reply) {
    json::value record;
    const std::string key(body.at("key").as_string());
    const auto found = m_records.find(key);
    if (found != m_records.end() && found->second.value) {
      record = {{"key", key}, {"version", found->second.version}, {"value", *found->second.value}};
    }
    reply(200, json::serialize(json::object{{"record", record}, {"version", m_version}}));
  }

  void Write(const json::object& body, std::optional<std::string> value, const Reply& reply) {
    const std::string key(body.at("key").as_string());
    const auto found = m_records.find(key);
    const bool exists = found != m_records.end() && found->second.value;
    const std::uint64_t actual = exists ? found->second.version : 0;
    if (body.at("expected").to_number<std::uint64_t>() != actual || (!value && !exists)) {
      reply(409, json::serialize(json::object{{"error", "conflict"}, {"version", actual}}));
      return;
    }
    std::uint64_t lease = 0;
    if (const json::value* given = body.if_contains("lease");
        given != nullptr && !given->is_null()) {
      lease = given->to_number<std::uint64_t>();
      if (!m_leases.contains(lease)) {
        reply(404, ErrorBody("lease_ended"));
        return;
      }
    }
    Put(key, std::move(value), lease);
    reply(200, VersionBody(m_version));
  }

  void ChangeLease(const std::string& path, const json::object& body, const Reply& reply) {
    const auto now = std::chrono::steady_clock::now();
    if (path == "/kv/lease/grant") {
      const std::chrono::milliseconds time_to_live(body.at("ttl_ms").to_number<std::int64_t>());
      m_leases[++m_last_lease] = {time_to_live, now + time_to_live};
      EndOverdueLeases();
      reply(200, json::serialize(json::object{{"lease", m_last_lease}}));
      return;
    }
    const auto lease = m_leases.find(body.at("lease").to_number<std::uint64_t>());
    if (lease == m_leases.end()) {
      reply(404, ErrorBody("lease_ended"));
      return;
    }
    if (path == "/kv/lease/keepalive") {
      lease->second.ends = now + lease->second.time_to_live;
    } else {
      EndLease(lease->first);
    }
    EndOverdueLeases();
    reply(200, "{}");
  }

  void Watch(const json::object& body, const Reply& reply) {
    auto watcher = std::make_shared<Watcher>(Watcher{std::string(body.at("prefix").as_string()),
                                                     body.at("after").to_number<std::uint64_t>(),
                                                     reply, asio::steady_timer(m_context)});
    if (HasNewer(watcher->prefix, watcher->after)) {
      reply(200, Batch(watcher->prefix, watcher->after, true));
      return;
    }
    m_watchers.push_back(watcher);
    watcher->timer.expires_after(
        std::chrono::milliseconds(body.at("wait_ms").to_number<std::int64_t>()));
    watcher->timer.async_wait([this, watcher](boost::system::error_code) {
      if (std::erase(m_watchers, watcher) > 0) {
        watcher->reply(200, Batch(watcher->prefix, watcher->after, true));
      }
    });
  }

  /** Puts a new version in place and answers the watches that wait for it. */
  void Put(const std::string& key, std::optional<std::string> value, std::uint64_t lease) {
    m_records[key] = {++m_version, std::move(value), lease};
    for (auto next = m_watchers.begin(); next != m_watchers.end();) {
      const std::shared_ptr<Watcher> watcher = *next;
      if (!key.starts_with(watcher->prefix)) {
        ++next;
        continue;
      }
      next = m_watchers.erase(next);
      watcher->timer.cancel();
      watcher->reply(200, Batch(watcher->prefix, watcher->after, true));
    }
  }

  void EndLease(std::uint64_t lease) {
    m_leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, record] : m_records) {
      if (record.lease == lease && record.value) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      Put(key, std::nullopt, 0);
    }
  }

  void EndOverdueLeases() {
    const auto now = std::chrono::steady_clock::now();
    std::vector<std::uint64_t> overdue;
    TimePoint next = TimePoint::max();
    for (const auto& [id, lease] : m_leases) {
      if (lease.ends <= now) {
        overdue.push_back(id);
      } else {
        next = std::min(next, lease.ends);
      }
    }
    for (const std::uint64_t id : overdue) {
      EndLease(id);
    }
    if (next == TimePoint::max()) {
      return;
    }
    m_lease_timer.expires_at(next);
    m_lease_timer.async_wait([this](boost::system::error_code error) {
      if (!error) {
        EndOverdueLeases();
      }
    });
  }

  /** Records under `prefix` newer than `after`; deleted ones only if `with_deleted`. */
  std::string Batch(const std::string& prefix, std::uint64_t after, bool with_deleted) const {
    json::array records;
    for (auto next = m_records.lower_bound(prefix);
         next != m_records.end() && next->first.starts_with(prefix); ++next) {
      const Record& record = next->second;
      if (record.version > after && (record.value || with_deleted)) {
        records.push_back({{"key", next->first},
                           {"version", record.version},
                           {"value", record.value ? json::value(*record.value) : json::value()}});
      }
    }
    return json::serialize(json::object{{"records", std::move(records)}, {"version", m_version}});
  }

  bool HasNewer(const std::string& prefix, std::uint64_t after) const {
    for (auto next = m_records.lower_bound(prefix);
         next != m_records.end() && next->first.starts_with(prefix); ++next) {
      if (next->second.version > after) {
        return true;
      }
    }
    return false;
  }

  boost::asio::io_context& m_context;
  boost::asio::steady_timer m_lease_timer;
  std::map<std::string, Record> m_records;
  std::map<std::uint64_t, Lease> m_leases;
  std::list<std::shared_ptr<Watcher>> m_watchers;
  std::uint64_t m_version = 0;
  std::uint64_t m_last_lease = 0;
};

}  // namespace

std::unique_ptr<Standin> MakeStore(boost::asio::io_context& context) {
  return std::make_unique<Store>(context);
}

}  // namespace zinnia::standins
