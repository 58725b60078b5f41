#pragma once

#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "platform/soak/http_server.h"
#include "platform/soak/store_standin.h"
#include "tests/processes/child_process.h"

namespace zinnia::review {

using Clock = std::chrono::steady_clock;

/** What was sent, answered and run, one line an event with the milliseconds since the start. */
class Record {
 public:
  explicit Record(const std::string& file);

  void Write(const std::string& line);
  std::int64_t Milliseconds() const;

 private:
  const Clock::time_point m_start = Clock::now();
  std::mutex m_mutex;
  std::ofstream m_file;
};

/** A client's request and what came back. */
struct ClientCall {
  std::string method = "GET";
  std::string path;
  std::string id;
  std::string key;
  std::string body;
  std::chrono::milliseconds deadline{1'500};
};

struct ClientAnswer {
  /** Nothing if the connection ended without a whole answer. */
  std::optional<unsigned> status;
  bool is_signed = false;
};

/** Sends one request on a new connection and reads the answer. */
ClientAnswer SendCall(std::uint16_t port, const ClientCall& call);

/** The platform and the instances: a store, and zinniad processes with the settings of a small
    deployment. */
class World {
 public:
  /** `program` is the one that the deploy file names, `folder` holds settings and logs. */
  World(std::string program, std::string folder, int instances);

  World(const World&) = delete;
  World& operator=(const World&) = delete;

  /** Writes a record into the store, as the operator or a backend server does. */
  void Put(const std::string& key, const boost::json::object& value);
  void Remove(const std::string& key);

  /** Starts all instances and waits until they say that they are ready. */
  bool Start();

  /** Starts one instance again, which has ended. */
  void StartAgain(std::size_t instance);

  std::size_t InstanceCount() const { return m_instances.size(); }
  std::uint16_t CallersPort(std::size_t instance) const;
  pid_t ProcessId(std::size_t instance) const;

  /** The wait status of an instance that has ended. */
  std::optional<int> EndOf(std::size_t instance);
  void Kill(std::size_t instance);

 private:
  struct Instance {
    std::string name;
    std::uint16_t callers_port = 0;
    std::uint16_t readiness_port = 0;
    std::uint16_t peer_port = 0;
    std::uint16_t peer_requests_port = 0;
    std::uint16_t metrics_port = 0;
    std::unique_ptr<testing::ChildProcess> process;
  };

  void WriteSettings(const Instance& instance) const;
  void Launch(Instance& instance) const;

  /** Hands a call on to the store without the header that the pages do not describe. */
  bool Relay(const platform::soak::Request& request, platform::soak::Socket& socket) const;

  const std::string m_program;
  const std::string m_folder;
  platform::soak::StoreStandin m_store;
  platform::soak::HttpServer m_store_entrance;
  std::vector<Instance> m_instances;
};

}  // namespace zinnia::review
