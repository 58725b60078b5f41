#include "process_harness.h"

#include <sys/wait.h>

#include <csignal>
#include <stdexcept>

#include "http_client.h"

// The macros of CppUTest come after the standard headers.
#include <CppUTest/TestHarness.h>

namespace zinnia::testing {

using namespace std::chrono_literals;

TEST_GROUP(ProcessHarness) {
  ProcessHarness m_harness;
};

TEST(ProcessHarness, TellsHowAProgramEnded) {
  const auto killed = m_harness.StartStandin("service");
  CHECK(!killed.process.WaitForEnd(0ms));
  killed.process.Signal(SIGKILL);
  const auto status = killed.process.WaitForEnd(10s);
  CHECK(status && WIFSIGNALED(*status));
  LONGS_EQUAL(SIGKILL, WTERMSIG(*status));
  LONGS_EQUAL(0, HttpClient(killed.address).Get("/hello").status);
}

TEST(ProcessHarness, KeepsWhatAFailedProgramSaid) {
  ChildProcess& process = m_harness.Start("standins/zinnia_standin", {"nonsense"});
  const auto status = process.WaitForEnd(10s);
  CHECK(status && WIFEXITED(*status));
  LONGS_EQUAL(1, WEXITSTATUS(*status));
  CHECK_THROWS(std::runtime_error, process.WaitForValue("listening", 1ms));
}

TEST(ProcessHarness, AFrozenProgramAnswersOnlyAfterItGoesOn) {
  const auto frozen = m_harness.StartStandin("service");
  frozen.process.Signal(SIGSTOP);
  HttpClient client(frozen.address);
  client.SetTimeout(50ms);
  LONGS_EQUAL(0, client.Get("/hello").status);
  frozen.process.Signal(SIGCONT);
  client.SetTimeout(10s);
  LONGS_EQUAL(200, client.Get("/hello").status);
}

TEST(ProcessHarness, EndsItsChildren) {
  pid_t id = 0;
  {
    ProcessHarness harness;
    id = harness.StartStandin("service").process.Id();
    LONGS_EQUAL(0, kill(id, 0));
  }
  LONGS_EQUAL(-1, kill(id, 0));
}

}  // namespace zinnia::testing
