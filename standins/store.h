#pragma once

#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "standin.h"

namespace zinnia::standins {

/** The platform's key-value service: compare-and-swap, leases, watches as long polls. Leases go on
    running out during an outage, which is the hardest case for their holders. */
class Store : public Standin {
 public:
  explicit Store(boost::asio::io_context& context);

  void Handle(Call call, Reply reply) override;
  void Control(const boost::json::object& settings) override;

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

  void Get(const boost::json::object& body, const Reply& reply);
  void Write(const boost::json::object& body, std::optional<std::string> value, const Reply& reply);
  void ChangeLease(const std::string& path, const boost::json::object& body, const Reply& reply);
  void Watch(const boost::json::object& body, const Reply& reply);

  /** Puts a new version in place and answers the watches that wait for it. */
  void Put(const std::string& key, std::optional<std::string> value, std::uint64_t lease);
  void EndLease(std::uint64_t lease);
  void EndOverdueLeases();

  /** Records under `prefix` newer than `after`; deleted ones only if `with_deleted`. */
  std::string Batch(const std::string& prefix, std::uint64_t after, bool with_deleted) const;
  bool HasNewer(const std::string& prefix, std::uint64_t after) const;

  boost::asio::io_context& m_context;
  boost::asio::steady_timer m_lease_timer;
  std::map<std::string, Record> m_records;
  std::map<std::uint64_t, Lease> m_leases;
  std::list<std::shared_ptr<Watcher>> m_watchers;
  std::uint64_t m_version = 0;
  std::uint64_t m_last_lease = 0;
};

}  // namespace zinnia::standins
