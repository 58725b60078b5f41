#include <csignal>

#include "fleet_fixture.h"
#include "polling.h"

// The macros of CppUTest come after the standard headers.
#include <CppUTest/TestHarness.h>

namespace zinnia::testing {

namespace {

/** Words of the usual prompt. */
constexpr std::size_t kPromptTokens = 8;
constexpr std::size_t kTokensBeforeTheFailure = 8;

}  // namespace

/** Promise 1: a stage that fails costs the caller nothing but a short wait. */
TEST_GROUP(SystemRecovery) {
  Fleet m_fleet;
  const std::string m_text = m_fleet.Chat(1).Text();  // of the same request, undisturbed

  /** Asks for an answer and lets `fail` happen after the first tokens, with the engines that run
      the session. */
  StreamedAnswer AnswerWithFailure(
      const std::function<void(const std::vector<Fleet::Engine*>&)>& fail) {
    bool failed = false;
    ChatCall call;
    call.on_progress = [&](const StreamedAnswer& so_far) {
      if (!failed && so_far.tokens.size() >= kTokensBeforeTheFailure) {
        failed = true;
        fail(m_fleet.EnginesOf(so_far.session));
      }
      return true;
    };
    return m_fleet.Chat(0, call);
  }

  void CheckWhole(const StreamedAnswer& answer) {
    STRCMP_EQUAL("", (answer.error_kind + answer.detail).c_str());
    CHECK_TRUE(answer.done);
    STRCMP_EQUAL(m_text.c_str(), answer.Text().c_str());
    // The last token is never fed back.
    const std::size_t length = kPromptTokens + answer.tokens.size() - 1;
    STRCMP_EQUAL("", m_fleet.LedgerFaults(answer.session, length).c_str());
  }
};

TEST(SystemRecovery, AKilledStageCostsNoTokenAndDoublesNone) {
  // Symptom: the answer stops in the middle, or goes on with other words.
  // Events: the middle stage's process is killed while the session has a step in it.
  // Cause: the session's cache is gone with the process, and nobody rebuilds it elsewhere.
  const StreamedAnswer answer =
      AnswerWithFailure([](const auto& engines) { engines.at(1)->process->Signal(SIGKILL); });
  CheckWhole(answer);
  CHECK_TRUE(answer.recoveries >= 1);
}

TEST(SystemRecovery, AFrozenStageThatWakesLateDoesNoHarm) {
  // Symptom: a token is doubled or wrong long after a stage was replaced.
  // Events: the middle stage freezes with a step in it, another replica takes its place and the
  // answer goes on; then the first wakes and answers the step that it held.
  // Cause: the late answer is taken for the current one, since both name the same position.
  Fleet::Engine* frozen = nullptr;
  bool woken = false;
  std::size_t tokens_at_failure = 0;
  ChatCall call;
  call.on_progress = [&](const StreamedAnswer& so_far) {
    if (frozen == nullptr && so_far.tokens.size() >= kTokensBeforeTheFailure) {
      frozen = m_fleet.EnginesOf(so_far.session).at(1);
      frozen->process->Signal(SIGSTOP);
      tokens_at_failure = so_far.tokens.size();
    } else if (!woken && frozen != nullptr && so_far.tokens.size() >= tokens_at_failure + 8) {
      woken = true;
      frozen->process->Signal(SIGCONT);
    }
    return true;
  };
  const StreamedAnswer answer = m_fleet.Chat(0, call);
  CHECK_TRUE(woken);
  CheckWhole(answer);
  CHECK_TRUE(answer.recoveries >= 1);
}

TEST(SystemRecovery, TwoStagesKilledAtOnceAreBothReplaced) {
  // Symptom: the answer ends with recovery_failed although every stage has a living replica.
  // Events: the first and the last stage die in the same moment.
  // Cause: the second failure is met while the first is being mended, and the rebuilt chain still
  // names the other dead server.
  const StreamedAnswer answer = AnswerWithFailure([](const auto& engines) {
    engines.front()->process->Signal(SIGKILL);
    engines.back()->process->Signal(SIGKILL);
  });
  CheckWhole(answer);
  CHECK_TRUE(answer.recoveries >= 1);
}

}  // namespace zinnia::testing
