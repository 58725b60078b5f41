#include <csignal>

#include "fleet_fixture.h"
#include "polling.h"

// The macros of CppUTest come after the standard headers.
#include <CppUTest/TestHarness.h>

namespace zinnia::testing {

namespace {

constexpr std::size_t kPromptTokens = 8;
constexpr std::size_t kTokensBeforeTheFailure = 8;

}  // namespace

/** Promise 2: a caller resumes at another instance, and nobody else can. */
TEST_GROUP(SystemResume) {
  Fleet m_fleet;
  const StreamedAnswer m_undisturbed = m_fleet.Chat(2);

  /** Asks instance 0, and lets `fail` happen after the first tokens. */
  StreamedAnswer Begin(const std::function<void(const StreamedAnswer&)>& fail) {
    bool failed = false;
    ChatCall call;
    call.on_progress = [&](const StreamedAnswer& so_far) {
      if (!failed && so_far.tokens.size() >= kTokensBeforeTheFailure) {
        failed = true;
        fail(so_far);
      }
      return true;
    };
    return m_fleet.Chat(0, call);
  }

  void CheckResumes(const StreamedAnswer& first) {
    CHECK_FALSE(first.done);
    ChatCall call;
    call.last_event_id = first.last_event_id;
    const StreamedAnswer rest = m_fleet.Chat(1, call);
    STRCMP_EQUAL("", (rest.error_kind + rest.detail).c_str());
    CHECK_TRUE(rest.done);
    STRCMP_EQUAL(first.session.c_str(), rest.session.c_str());
    STRCMP_EQUAL(m_undisturbed.Text().c_str(), (first.Text() + rest.Text()).c_str());
    const std::size_t tokens = first.tokens.size() + rest.tokens.size();
    LONGS_EQUAL(m_undisturbed.tokens.size(), tokens);
    STRCMP_EQUAL("", m_fleet.LedgerFaults(first.session, kPromptTokens + tokens - 1).c_str());
  }
};

TEST(SystemResume, AnAnswerOfAKilledInstanceGoesOnAtAnother) {
  // Symptom: the caller has to start again, or gets words twice.
  // Events: the instance dies in the middle of an answer; the caller sends the same request to
  // another one with the last event id that it saw.
  // Cause: what the dead instance knew of the answer was nowhere else.
  CheckResumes(Begin([this](const auto&) { m_fleet.Instance(0).process->Signal(SIGKILL); }));
}

TEST(SystemResume, AnInstanceAndAStageMayDieTogether) {
  // Symptom: the resumed answer fails or differs from the one that was begun.
  // Events: the last stage, which knows the sampled tokens, dies together with the instance.
  // Cause: only the first stage still has the tokens' ids, and a part of the answer's text is
  // known to nobody but the caller.
  CheckResumes(Begin([this](const StreamedAnswer& so_far) {
    Fleet::Engine* last = m_fleet.EnginesOf(so_far.session).back();
    m_fleet.Instance(0).process->Signal(SIGKILL);
    last->process->Signal(SIGKILL);
  }));
}

TEST(SystemResume, AnInstanceThatWakesAfterItsAnswerWasResumedDoesNoHarm) {
  // Symptom: the resumed answer has wrong or doubled words.
  // Events: the instance freezes and its caller goes to another one; while that streams the rest,
  // the first wakes and drives the same session on, at the same engines.
  // Cause: two instances extend one cache in turns, since both are at its length.
  ChatCall call;
  StreamedAnswer first;
  call.on_progress = [&](const StreamedAnswer& so_far) {
    if (so_far.tokens.size() < kTokensBeforeTheFailure) {
      return true;
    }
    m_fleet.Instance(0).process->Signal(SIGSTOP);
    first = so_far;
    return false;
  };
  m_fleet.Chat(0, call);
  bool woken = false;
  ChatCall resumed;
  resumed.last_event_id = first.last_event_id;
  resumed.on_progress = [&](const StreamedAnswer& so_far) {
    if (!woken && so_far.tokens.size() >= 4) {
      woken = true;
      m_fleet.Instance(0).process->Signal(SIGCONT);
    }
    return true;
  };
  const StreamedAnswer rest = m_fleet.Chat(1, resumed);
  CHECK_TRUE(woken);
  STRCMP_EQUAL("", (rest.error_kind + rest.detail).c_str());
  CHECK_TRUE(rest.done);
  STRCMP_EQUAL(m_undisturbed.Text().c_str(), (first.Text() + rest.Text()).c_str());
}

TEST(SystemResume, AnEventIdOfAnotherOrganisationOrAnAlteredOneIsRefused) {
  // Symptom: one organisation reads the rest of another's answer.
  // Events: an event id that leaked, or one that was altered to name another session, is sent.
  // Cause: the id is taken at its word, without a look at whose it is.
  const StreamedAnswer whole = m_fleet.Chat(0);
  ChatCall foreign;
  foreign.last_event_id = whole.last_event_id;
  foreign.organisation = "mkahawa";
  ChatCall altered;
  altered.last_event_id = whole.last_event_id;
  char& letter = altered.last_event_id[altered.last_event_id.size() / 2];
  letter = letter == 'A' ? 'B' : 'A';
  const std::string ledger = m_fleet.WholeLedger();
  for (const ChatCall& call : {foreign, altered}) {
    const StreamedAnswer refused = m_fleet.Chat(1, call);
    LONGS_EQUAL(0, refused.tokens.size());
    STRCMP_EQUAL("resume_refused", refused.error_kind.c_str());
    STRCMP_EQUAL("no", refused.was_run.c_str());
  }
  STRCMP_EQUAL(ledger.c_str(), m_fleet.WholeLedger().c_str());
}

TEST(SystemResume, TwoOrganisationsWithOneIdempotencyKeyGetTheirOwnAnswers) {
  // Symptom: an organisation is answered with another's booking.
  // Events: two organisations happen to use the same Idempotency-Key.
  // Cause: keys are looked up without the organisation.
  const HttpAnswer first = m_fleet.Book(0, "kitanda-7");
  const HttpAnswer second = m_fleet.Book(1, "kitanda-7", R"({"bed":12})", "mkahawa");
  LONGS_EQUAL(200, first.status);
  LONGS_EQUAL(200, second.status);
  CHECK_TRUE(first.body != second.body);
  LONGS_EQUAL(2, m_fleet.Bookings());
}

}  // namespace zinnia::testing
