#include "child_process.h"

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <stdexcept>
#include <system_error>

namespace zinnia::testing {

namespace {

void Check(int error, const char* what) {
  if (error != 0) {
    throw std::system_error(error, std::generic_category(), what);
  }
}

std::array<int, 2> MakePipe() {
  std::array<int, 2> ends{};
  Check(pipe2(ends.data(), O_CLOEXEC) == 0 ? 0 : errno, "pipe2");
  return ends;
}

/** Gives the bytes that are there; nothing at the end of the pipe. */
std::string ReadSome(int pipe) {
  std::array<char, 4096> bytes{};
  const ssize_t count = read(pipe, bytes.data(), bytes.size());
  return {bytes.data(), count > 0 ? static_cast<std::size_t>(count) : 0};
}

}  // namespace

ChildProcess::ChildProcess(const std::string& program, const std::vector<std::string>& arguments) {
  // Without the death signal, a test that crashes or times out leaves its children behind.
  std::vector<std::string> words = {"setpriv", "--pdeathsig", "KILL", "--", program};
  words.insert(words.end(), arguments.begin(), arguments.end());
  std::vector<char*> pointers;
  pointers.reserve(words.size() + 1);
  for (std::string& word : words) {
    pointers.push_back(word.data());
  }
  pointers.push_back(nullptr);
  const std::array<int, 2> output = MakePipe();
  const std::array<int, 2> error = MakePipe();
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_adddup2(&actions, output[1], STDOUT_FILENO);
  posix_spawn_file_actions_adddup2(&actions, error[1], STDERR_FILENO);
  const int failure = posix_spawnp(&m_id, pointers[0], &actions, nullptr, pointers.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  close(output[1]);
  close(error[1]);
  m_output = output[0];
  m_error = error[0];
  Check(failure, program.c_str());
  m_reader = std::thread([this] { ReadOutput(); });
}

ChildProcess::~ChildProcess() {
  if (!m_wait_status) {
    kill(m_id, SIGKILL);
    waitpid(m_id, nullptr, 0);
  }
  m_reader.join();
  close(m_output);
  close(m_error);
}

std::string ChildProcess::WaitForValue(const std::string& key, std::chrono::milliseconds bound) {
  std::unique_lock lock(m_mutex);
  if (!m_changed.wait_for(lock, bound, [&] { return m_values.contains(key); })) {
    throw std::runtime_error("no line " + key +
                             "=... on standard output; standard error: " + m_error_text);
  }
  return m_values[key];
}

void ChildProcess::Signal(int signal) const {
  if (!m_wait_status) {
    kill(m_id, signal);
  }
}

std::optional<int> ChildProcess::WaitForEnd(std::chrono::milliseconds bound) {
  if (m_wait_status) {
    return m_wait_status;
  }
  pollfd ended{
      .fd = static_cast<int>(syscall(SYS_pidfd_open, m_id, 0)), .events = POLLIN, .revents = 0};
  Check(ended.fd >= 0 ? 0 : errno, "pidfd_open");
  const int count = poll(&ended, 1, static_cast<int>(bound.count()));
  close(ended.fd);
  if (count == 1) {
    int status = 0;
    waitpid(m_id, &status, 0);
    m_wait_status = status;
  }
  return m_wait_status;
}

std::string ChildProcess::StandardError() const {
  const std::lock_guard lock(m_mutex);
  return m_error_text;
}

void ChildProcess::ReadOutput() {
  std::array<pollfd, 2> pipes = {pollfd{m_output, POLLIN, 0}, pollfd{m_error, POLLIN, 0}};
  while (pipes[0].fd >= 0 || pipes[1].fd >= 0) {
    poll(pipes.data(), pipes.size(), -1);
    for (pollfd& pipe : pipes) {
      if (pipe.fd < 0 || pipe.revents == 0) {
        continue;
      }
      const std::string bytes = ReadSome(pipe.fd);
      const std::lock_guard lock(m_mutex);
      pipe.fd == m_output ? TakeOutput(bytes) : TakeError(bytes);
      pipe.fd = bytes.empty() ? -1 : pipe.fd;
    }
  }
}

void ChildProcess::TakeOutput(const std::string& bytes) {
  m_unfinished_line += bytes;
  for (std::size_t end = m_unfinished_line.find('\n'); end != std::string::npos;
       end = m_unfinished_line.find('\n')) {
    const std::string line = m_unfinished_line.substr(0, end);
    m_unfinished_line.erase(0, end + 1);
    const std::size_t equals = line.find('=');
    if (equals != std::string::npos) {
      m_values[line.substr(0, equals)] = line.substr(equals + 1);
    }
  }
  m_changed.notify_all();
}

void ChildProcess::TakeError(const std::string& bytes) {
  m_error_text += bytes;
  if (m_error_text.size() > kLargestError) {
    m_error_text.erase(0, m_error_text.size() - kLargestError);
  }
}

}  // namespace zinnia::testing
