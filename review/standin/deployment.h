// The platform, the operator and the backend servers of a small deployment, for the review cases.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "platform/soak/http_server.h"
#include "platform/soak/store_standin.h"

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using zinnia::platform::soak::Request;
using zinnia::platform::soak::Socket;

inline constexpr int kExitHeld = 0;
inline constexpr int kExitBroken = 1;
inline constexpr int kExitCouldNotRun = 2;

inline constexpr std::string_view kHost = "ficu95.example";
inline constexpr std::string_view kKey = "n2ctnfzs989anu6wsjnb";

/** Writes record.txt: one line for each event, with the milliseconds since the start. */
class Record {
 public:
  explicit Record(const std::string& file);
  ~Record();
  void Line(const std::string& text);

 private:
  const Clock::time_point m_start = Clock::now();
  std::mutex m_mutex;
  std::FILE* m_file;
};

/** A port of the loopback address that nobody uses at the moment. */
std::uint16_t FreePort();

std::string Loopback(std::uint16_t port);

/** One route of the configuration. */
struct Route {
  std::string name;
  std::string type;  // idempotent, non_idempotent or streaming
  std::string service;
  bool resumable = false;
  int timeout_ms = 20'000;
  int max_attempts = 2;
};

/** The configuration that the operator writes, as PROTOCOL.md shows it. */
std::string Configuration(std::uint64_t version,
                          const std::vector<Route>& routes,
                          const std::vector<std::string>& services);

/** The same with a model of 80 layers at the service `model_service`. */
std::string ConfigurationWithModel(std::uint64_t version,
                                   const std::vector<Route>& routes,
                                   const std::vector<std::string>& services,
                                   const std::string& model_service);

/** The entry that a backend server writes for itself. */
std::string ServerEntry(const std::string& service, std::uint16_t port, int slots, bool draining);

/** The same for a model server that holds all 80 layers. */
std::string ModelServerEntry(const std::string& service,
                             std::uint16_t port,
                             const std::string& zone);

/** Answers what instances ask a model server besides requests; nothing for a request. */
std::optional<bool> AnswerModelCall(const Request& request, Socket& socket);

/** One process of the system, started as the deploy file says. */
class Instance {
 public:
  Instance(std::string name,
           std::string folder,
           std::uint16_t store_port,
           std::vector<std::uint16_t> seeds,
           std::uint16_t peer_port,
           std::string zone = "kariakoo");
  ~Instance();

  void Start();
  void Signal(int signal) const;

  /** Kills it and waits for its end. */
  void Kill();

  /** Whether the process has ended; collects it. */
  bool HasEnded();

  /** Resident memory in MB. */
  double MemoryMb() const;

  /** Asks GET /-/readyz, as the platform does. */
  bool IsReady() const;
  bool WaitUntilReady(milliseconds limit) const;

  std::uint16_t CallersPort() const { return m_callers_port; }
  const std::string& Name() const { return m_name; }
  const std::string& Zone() const { return m_zone; }

 private:
  void WriteSettings() const;

  const std::string m_name;
  const std::string m_folder;
  const std::uint16_t m_store_port;
  const std::vector<std::uint16_t> m_seeds;
  const std::uint16_t m_peer_port;
  const std::string m_zone;
  const std::uint16_t m_callers_port = FreePort();
  const std::uint16_t m_readiness_port = FreePort();
  const std::uint16_t m_requests_port = FreePort();
  const std::uint16_t m_metrics_port = FreePort();
  pid_t m_process = -1;
};

/** What a client got for one request. */
struct Outcome {
  bool connected = false;
  bool sent = false;
  int status = 0;         // Zero: no answer.
  bool is_whole = false;  // The answer has arrived to its end.
  std::string head;
  std::string body;  // As it came, with the framing of chunks.
  bool timed_out = false;
};

/** A client's connection, which it keeps for several requests. */
class Client {
 public:
  explicit Client(std::uint16_t port) : m_port(port) {}
  ~Client() { Close(); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  bool Connect();
  void Close();
  bool IsConnected() const { return m_socket >= 0; }

  /** Sends one request, with a pause after each 64 KiB, and reads its answer to the end. */
  Outcome Call(const std::string& bytes,
               milliseconds limit,
               milliseconds pause_between_pieces = milliseconds(0));

 private:
  const std::uint16_t m_port;
  int m_socket = -1;
};

/** The bytes of a request as a client of the users sends it. */
std::string RequestBytes(const std::string& method,
                         const std::string& path,
                         const std::string& id,
                         int deadline_ms,
                         const std::string& body,
                         const std::string& more_headers = "");

/** A new id of an attempt. */
std::string NewId();

}  // namespace review
