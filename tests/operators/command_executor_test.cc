#include <string>

#include <CppUTest/TestHarness.h>

#include "operators/fake_desk.h"
#include "operators/golden_file.h"
#include "zinnia_adapters/language/command_parser.h"
#include "zinnia_adapters/operators/command_executor.h"

using namespace zinnia;  // NOLINT(google-build-using-namespace)

TEST_GROUP(CommandExecutor) {
  FakeDesk desk;
  CommandExecutor executor{desk};

  void setup() override {
    desk.table = {{"name", "state", "queued", "weight", "drains"},
                  {{"b-2", "live", std::int64_t{12}, 0.5, false},
                   {"b-1", "leaving", std::int64_t{3}, 1.0, true},
                   {"b-10\x1b[31m", "live", std::int64_t{7}, 1.0, false}}};
  }

  Result<CommandReply> Run(const std::string& text) {
    Result<CommandReply> answer = MakeError(ErrorKind::kInternal, "no answer");
    executor.Execute(ParseCommand(text).value(), {OutputFormat::kTable, "tester", "change-1"},
                     [&answer](const Result<CommandReply>& reply) { answer = reply; });
    return answer;
  }

  void CheckShows(const char* command, const char* golden) {
    CheckGolden(golden, Run(command).value().text);
  }

  void CheckRefused(const char* command, ErrorKind kind, const char* message) {
    const auto answer = Run(command);
    CHECK_TEXT(answer.has_error(), command);
    STRCMP_EQUAL(std::string(NameOf(kind)).c_str(),
                 std::string(NameOf(answer.error().kind)).c_str());
    STRCMP_CONTAINS(message, answer.error().message.c_str());
    LONGS_EQUAL(desk.change_error ? 1 : 0, desk.changes.size());
  }
};

TEST(CommandExecutor, ShowsAlignedTables) {
  CheckShows("show backend_servers", "show_all.txt");
  CHECK(desk.asked_table == TableKind::kBackendServers);
}

TEST(CommandExecutor, FiltersSortsAndLimits) {
  CheckShows(
      "show backend_servers where queued > 3 and state = live or drains = true "
      "order by queued desc limit 2",
      "show_filtered.txt");
  CheckShows("show backend_servers where state = gone", "show_none.txt");
  CheckShows("show backend_servers where name contains b-1 order by name as json", "show_json.txt");
}

TEST(CommandExecutor, AMisspeltFieldIsRefusedAlsoOnAnEmptyTable) {
  // Symptom: an operator reads "0 rows" and believes that nothing is wrong.
  // Sequence: a condition names a field that does not exist; no row meets it.
  // Cause: fields looked up only while rows are compared.
  desk.table.rows.clear();
  CheckRefused("show backend_servers where quued > 3", ErrorKind::kInvalidCommand,
               "backend_servers has no field 'quued'; it has name, state, queued");
  CheckRefused("show backend_servers order by quued", ErrorKind::kInvalidCommand, "no field");
}

TEST(CommandExecutor, ChangeKeepsTheOtherFields) {
  const auto answer = Run("change organisation x set weight = 2 against 41");
  STRCMP_EQUAL("organisation/x accepted as revision 42\n", answer.value().text.c_str());
  LONGS_EQUAL(1, desk.changes.size());
  const ConfigurationChangeRequest& change = desk.changes.front();
  LONGS_EQUAL(41, change.against_revision);
  STRCMP_EQUAL("change-1", change.change_id.c_str());
  STRCMP_EQUAL("tester", change.who.c_str());
  CHECK(change.edits ==
        (std::vector<ConfigurationEdit>{{"organisation/x", R"({"weight":2,"priority":3})"}}));
}

TEST(CommandExecutor, OrdersMakeTheEntryIfThereIsNone) {
  desk.entry.value.reset();
  Run("drain backend_server b against 41").value();
  STRCMP_EQUAL(R"({"drain":true})", desk.changes.front().edits.front().json->c_str());
}

TEST(CommandExecutor, RemoveHasNoValue) {
  Run("remove organisation x against 41").value();
  CHECK(!desk.changes.front().edits.front().json.has_value());
}

TEST(CommandExecutor, RefusesWhatCannotBe) {
  CheckRefused("change organisation x set weight = 2", ErrorKind::kInvalidCommand,
               "does not say which revision");
  CheckRefused("change organisation x set wieght = 2 against 41", ErrorKind::kInvalidRequest,
               "organisation/x.wieght is not a known field");
  CheckRefused("create organisation x = {} against 41", ErrorKind::kInvalidRequest,
               "organisation/x exists already");
  desk.entry.value.reset();
  CheckRefused("change organisation x set weight = 2 against 41", ErrorKind::kNotFound,
               "there is no organisation/x");
  CheckRefused("remove organisation x against 41", ErrorKind::kNotFound, "there is no");
}

TEST(CommandExecutor, AChangeAgainstAnEntryThatMovedIsRefused) {
  // Symptom: one operator's change undoes another's.
  // Sequence: both read revision 41; one writes the entry at 43; the other's change, against 41,
  // is merged into the newer value or replaces it.
  // Cause: the revision that the operator saw is not compared with that of the entry.
  desk.entry = {43, 43, R"({"weight":5})"};
  CheckRefused("change organisation x set weight = 2 against 41", ErrorKind::kRevisionConflict,
               "changed at revision 43, after revision 41; the newest revision is 43");
}

TEST(CommandExecutor, AChangeThroughAnInstanceThatLagsIsRefused) {
  // Symptom: fields that were set a moment ago revert.
  // Sequence: revision 42 sets a field; a change of another field against 42 reaches an instance
  // that still has 41, is merged into the old entry and passes the store's compare-and-swap.
  // Cause: merged into a copy that is older than the revision the change is ordered against.
  CheckRefused("change organisation x set weight = 2 against 42", ErrorKind::kRevisionConflict,
               "this instance has revision 41, the change is against revision 42");
}

TEST(CommandExecutor, AConflictFromTheDeskPassesThrough) {
  desk.change_error = MakeError(ErrorKind::kRevisionConflict, "the newest revision is 44");
  CheckRefused("change organisation x set weight = 2 against 41", ErrorKind::kRevisionConflict,
               "the newest revision is 44");
}

TEST(CommandExecutor, ExplainsAndMoves) {
  CheckShows("explain session s-1", "explain.txt");
  CheckRefused("explain request r-9", ErrorKind::kNotFound, "nothing is known of request r-9");
  Run("move role once/3 to instance i-2").value();
  STRCMP_EQUAL("i-2", desk.moves.front().to.c_str());
  CheckShows("help", "help.txt");
}
