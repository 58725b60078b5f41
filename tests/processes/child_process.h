#pragma once

#include <sys/types.h>

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace zinnia::testing {

/** A program that a test started. Its destructor kills it, and the kernel does if the test program
    dies first, so nothing stays behind. Start it through ProcessHarness. */
class ChildProcess {
 public:
  /** Throws std::system_error if the program can't be started. */
  ChildProcess(const std::string& program, const std::vector<std::string>& arguments);
  ~ChildProcess();

  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t Id() const { return m_id; }

  /** The value of a `key=value` line on standard output; throws std::runtime_error, with what the
      program said on standard error, if none comes within `bound`. */
  std::string WaitForValue(const std::string& key,
                           std::chrono::milliseconds bound = std::chrono::seconds(10));

  /** Sends a signal: SIGSTOP freezes the program, SIGCONT lets it go on. */
  void Signal(int signal) const;

  /** The wait status (see WIFEXITED, WIFSIGNALED), or nothing if the program still runs. */
  std::optional<int> WaitForEnd(std::chrono::milliseconds bound);

  /** The last kLargestError bytes of standard error so far. */
  std::string StandardError() const;

  static constexpr std::size_t kLargestError = 64 << 10;

 private:
  /** Empties both pipes until the program ends: a full pipe would block it. */
  void ReadOutput();
  void TakeOutput(const std::string& bytes);
  void TakeError(const std::string& bytes);

  pid_t m_id = -1;
  int m_output = -1;
  int m_error = -1;
  std::optional<int> m_wait_status;
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::string m_unfinished_line;
  std::map<std::string, std::string> m_values;
  std::string m_error_text;
  std::thread m_reader;
};

}  // namespace zinnia::testing
