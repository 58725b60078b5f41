#include <string>

#include <CppUTest/TestHarness.h>

#include "zinnia_adapters/language/command_parser.h"

using namespace zinnia;  // NOLINT(google-build-using-namespace)

namespace {

template <typename SpecificCommand>
SpecificCommand Parsed(const std::string& text) {
  const auto command = ParseCommand(text);
  if (!command) {
    FAIL((text + " -> " + command.error().message).c_str());
  }
  CHECK_TEXT(std::holds_alternative<SpecificCommand>(*command), text.c_str());
  return std::get<SpecificCommand>(*command);
}

}  // namespace

TEST_GROUP(CommandParser){};

TEST(CommandParser, ShowTakesAllClauses) {
  const auto show = Parsed<ShowCommand>(
      "SHOW sessions where age_ms >= 1000 and organisation = \"a b\" or state = leaving "
      "order by age_ms desc limit 3 as json");
  const ShowCommand expected{TableKind::kSessions,
                             {{{"age_ms", ComparisonOperator::kGreaterOrEqual, std::int64_t{1000}},
                               {"organisation", ComparisonOperator::kEqual, std::string("a b")}},
                              {{"state", ComparisonOperator::kEqual, std::string("leaving")}}},
                             "age_ms",
                             true,
                             3,
                             OutputFormat::kJson};
  CHECK(show == expected);
}

TEST(CommandParser, ShowNeedsOnlyATable) {
  CHECK(Parsed<ShowCommand>("show backend_servers") ==
        ShowCommand{.table = TableKind::kBackendServers});
  CHECK(Parsed<ShowCommand>("  show models order by name asc ").order_by == "name");
}

TEST(CommandParser, ValuesKeepTheirType) {
  const auto show = Parsed<ShowCommand>(
      "show backend_servers where a=true and b=1.5 and c=10.0.0.1:80 and d contains \"x\\\"y\"");
  const AllOf& all = show.any_of.at(0);
  CHECK(all.at(0).value == TableCell(true));
  CHECK(all.at(1).value == TableCell(1.5));
  CHECK(all.at(2).value == TableCell("10.0.0.1:80"));
  CHECK(all.at(3).value == TableCell("x\"y"));
}

TEST(CommandParser, ChangesBecomeAssignments) {
  CHECK(Parsed<ChangeCommand>(
            R"(change organisation "x" set weight = 2, priority=1, note = {"a":[1]} against 41)") ==
        (ChangeCommand{"organisation/x",
                       {{"weight", "2"}, {"priority", "1"}, {"note", R"({"a":[1]})"}},
                       true,
                       41}));
  CHECK(Parsed<ChangeCommand>("change model m set version = v2") ==
        (ChangeCommand{"model/m", {{"version", "\"v2\""}}, true, std::nullopt}));
}

TEST(CommandParser, OrdersToBackendServersAreChangesOfTheirEntry) {
  CHECK(Parsed<ChangeCommand>("drain backend_server \"b\" against 41") ==
        (ChangeCommand{"server/b", {{"drain", "true"}}, false, 41}));
  CHECK(Parsed<ChangeCommand>("undrain backend_server b") ==
        (ChangeCommand{"server/b", {{"drain", "false"}}, false, std::nullopt}));
  CHECK(Parsed<ChangeCommand>("set weight of backend_server b = 0.5 against 1") ==
        (ChangeCommand{"server/b", {{"weight", "0.5"}}, false, 1}));
  CHECK(Parsed<ChangeCommand>(
            "load model \"m\" version v layers 0..12 on backend_server b against 7") ==
        (ChangeCommand{"server/b",
                       {{"desired_model", "\"m\""},
                        {"desired_version", "\"v\""},
                        {"desired_first_layer", "0"},
                        {"desired_end_layer", "12"}},
                       false,
                       7}));
}

TEST(CommandParser, WholeEntries) {
  CHECK(Parsed<PutCommand>(R"(create pipeline "p" = {"model": "m"} against 41)") ==
        (PutCommand{"pipeline/p", R"({"model":"m"})", true, 41}));
  CHECK(Parsed<PutCommand>(R"(put link/a/b = {"one_way_us":3})") ==
        (PutCommand{"link/a/b", R"({"one_way_us":3})", false, std::nullopt}));
  CHECK(Parsed<RemoveCommand>("remove service ledger against 2") ==
        (RemoveCommand{"service/ledger", 2}));
}

TEST(CommandParser, TheRest) {
  CHECK(Parsed<MoveRoleCommand>("move role \"once/3\" to instance i-2") ==
        (MoveRoleCommand{"once/3", "i-2"}));
  CHECK(Parsed<ExplainCommand>("explain session s-1") ==
        (ExplainCommand{ExplainKind::kSession, "s-1"}));
  CHECK(Parsed<ExplainCommand>("explain request \"r 1\"") ==
        (ExplainCommand{ExplainKind::kRequest, "r 1"}));
  Parsed<HelpCommand>("help");
}

TEST(CommandParser, ErrorsPointAtThePositionAndSayWhatWasExpected) {
  struct Case {
    const char* text;
    const char* message;
  };
  const Case cases[] = {
      {"", "at column 1: expected a command (show, create"},
      {"shwo sessions", "at column 1: expected a command (show, create"},
      {"show", "at column 5: expected a table (instances, backend_servers"},
      {"show sesions", "at column 6: expected a table (instances, backend_servers"},
      {"show sessions wher a=1", "at column 15: expected 'and', 'or', 'where', 'order by'"},
      {"show sessions where",
       "at column 20: expected a condition (FIELD OPERATOR VALUE), found the end"},
      {"show sessions where a ~ 1", "at column 23: expected a comparison (=, !="},
      {"show sessions where a = ", "at column 25: expected a value (number"},
      {"show sessions where a = 1 and",
       "at column 30: expected a condition (FIELD OPERATOR VALUE), found the end"},
      {"show sessions order age", "at column 21: expected 'by', found 'age'"},
      {"show sessions limit -1", "at column 21: expected a count, found '-1'"},
      {"show sessions limit 99999999999999999999", "at column 21: expected a count"},
      {"show sessions as xml", "at column 18: expected 'table' or 'json', found 'xml'"},
      {"change organisation x", "at column 22: expected 'set', found the end"},
      {"change organisation x set weight 2", "at column 34: expected '=', found '2'"},
      {"change organisation x set weight =", "at column 35: expected a value (JSON"},
      {"change organisation x set a = 1,", "at column 33: expected an assignment"},
      {"change organisation x set a = 1 against", "at column 40: expected a revision number"},
      {"change tenant x set a = 1", "at column 8: expected a kind (pipeline, organisation"},
      {"create pipeline p = [1]", "at column 21: expected a JSON object, found '['"},
      {"create pipeline p = {\"a\":}", "at column 21: expected a JSON object, found '{'"},
      {"drain b", "at column 7: expected 'backend_server', found 'b'"},
      {"load model m version v layers 0-12 on backend_server b",
       "at column 32: expected '..', found '-12'"},
      {"move role r to i", "at column 16: expected 'instance', found 'i'"},
      {"explain token t", "at column 9: expected 'session' or 'request', found 'token'"},
      {"explain session \"open", "at column 17: expected an id"},
      {"help me", "at column 6: expected the end of the command, found 'me'"},
      {"drain backend_server b against 4 5", "at column 34: expected"},
  };
  for (const Case& test : cases) {
    const auto command = ParseCommand(test.text);
    CHECK_TEXT(command.has_error(), test.text);
    CHECK(command.error().kind == ErrorKind::kInvalidCommand);
    STRCMP_CONTAINS(test.message, command.error().message.c_str());
  }
}
