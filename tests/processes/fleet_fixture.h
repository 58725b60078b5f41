#pragma once

#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "http_client.h"
#include "process_harness.h"
#include "streamed_answer.h"

namespace zinnia::testing {

/** What a test's fleet consists of. */
struct FleetOptions {
  std::size_t stages = 3;
  std::size_t replicas = 2;
  std::size_t instances = 3;
  int step_us = 4'000;
  int answer_tokens = 40;
  std::string crash_on;  // text of a prompt that ends an engine
  std::vector<std::string> organisations = {"kitanda", "mkahawa"};
};

/** A draft that a test asks for. */
struct ChatCall {
  std::string prompt = "Je, kuna vitanda viwili kwa usiku wa Ijumaa?";
  int seed = 7;
  std::string last_event_id;
  std::string organisation = "kitanda";
  std::optional<int> deadline_ms;
  std::optional<int> max_tokens;
  std::string model = "msaidizi";

  /** Sees the answer so far whenever more of it came; ends the call by returning false. */
  std::function<bool(const StreamedAnswer&)> on_progress;
};

/** The whole system in processes on loopback: store, list, a service, engines for one pipeline of
    four layers a stage, and instances that are configured through their operators' server.

    The constructor returns when every instance serves; it throws std::runtime_error, with what a
    program said on standard error, if that takes too long. The model is "msaidizi";
    the service "/bookings" needs an Idempotency-Key.

    The const calls may be made from several threads at once.
*/
class Fleet {
 public:
  explicit Fleet(FleetOptions options = {});
  ~Fleet();

  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  struct Engine {
    std::string name;
    std::size_t stage;
    ChildProcess* process;
    std::string address;
    std::uint64_t incarnation = 0;  // the list gives the number that the engine itself gives
  };
  struct Entry {
    std::string name;
    std::string callers;
    std::string operators;
    std::string peers;
    std::string settings_file;
    ChildProcess* process;
  };

  std::vector<Engine>& Engines() { return m_engines; }
  const Entry& Instance(std::size_t number) const { return m_entries.at(number); }
  const std::string& Store() const { return m_store; }
  const std::string& Service() const { return m_service; }

  /** A client with the organisation's key. */
  std::unique_ptr<HttpClient> Caller(std::size_t instance,
                                     const std::string& organisation = "kitanda") const;

  StreamedAnswer Chat(std::size_t instance, const ChatCall& call = {}) const;
  HttpAnswer Book(std::size_t instance,
                  const std::string& key,
                  const std::string& body = R"({"bed":12})",
                  const std::string& organisation = "kitanda") const;

  /** How many bookings the service ran. */
  int Bookings() const;

  /** How many of them with this body. */
  int BookingsWith(const std::string& body) const;

  /** How many calls of /bookings reached the service; not delayed by its faults. */
  int BookingCalls() const { return CallsOf(m_service, "/bookings"); }

  /** How often instances read the platform's list so far. */
  int ListReads() const { return CallsOf(m_list, "/instances"); }

  /** How many calls of a path reached a stand-in, faulty ones included. */
  static int CallsOf(const std::string& address, const std::string& path);

  /** Runs an operators' command at an instance, against its newest revision if it is a change. */
  HttpAnswer Command(std::size_t instance, const std::string& command) const;
  HttpAnswer Change(std::size_t instance, const std::string& command) const;
  std::int64_t Revision(std::size_t instance) const;

  /** The cells of one column. */
  std::vector<std::string> Column(std::size_t instance,
                                  const std::string& table,
                                  const std::string& column) const;

  /** Sets faults of a stand-in. */
  static void Control(const std::string& address, const std::string& settings);

  /** The engines that ran steps of a session, lowest stage first; dead and frozen ones are left
      out. */
  std::vector<Engine*> EnginesOf(const std::string& session);

  /** Steps (stage, attempt, position) that ran more than once in all living engines together, and
      positions below `length` that no attempt ran at a stage of which no engine is missing: empty
      if every layer ran each position once. */
  std::string LedgerFaults(const std::string& session, std::size_t length);

  /** All rows of all living engines' ledgers, as one text to be compared. */
  std::string WholeLedger() const;

  /** Starts an engine that has ended anew, at its old address. */
  void RestartEngine(Engine& engine);

  /** Starts the instance's program (again), with the same settings. */
  void StartInstance(std::size_t number);
  bool WaitUntilReady(std::size_t number) const;

  /** Gives the platform's list with `leaving` servers marked. */
  void PublishList(const std::set<std::string>& leaving = {}) const;

  /** Adds an instance to the fleet and starts it. */
  std::size_t AddInstance();

 private:
  void StartStandins();
  ChildProcess& StartEngine(std::size_t stage, const std::string& port);
  void WriteSecrets();
  void WriteSettings(std::size_t number);
  void Configure();
  std::string WriteFile(const std::string& name, const std::string& text) const;

  const FleetOptions m_options;
  std::filesystem::path m_folder;
  ProcessHarness m_harness;
  std::vector<Engine> m_engines;
  std::vector<Entry> m_entries;
  std::string m_store;
  std::string m_list;
  std::string m_service;
};

}  // namespace zinnia::testing
