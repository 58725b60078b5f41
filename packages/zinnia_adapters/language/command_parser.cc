#include "zinnia_adapters/language/command_parser.h"

#include <fmt/format.h>

#include <string_view>
#include <utility>

#include "zinnia_adapters/language/language_parsers.h"

namespace zinnia {
namespace {

using language::EntryKind;
using language::JsonObject;
using language::JsonText;
using language::Keyword;
using language::Scalar;
using language::TableName;
using language::Word;

namespace x3 = boost::spirit::x3;

/** Sets one member of the command that the rule builds to what was just parsed. */
template <typename Member>
auto Set(Member member) {
  return [member](auto& context) { x3::_val(context).*member = std::move(x3::_attr(context)); };
}

/** Appends what was just parsed to a list of the command. */
template <typename Member>
auto Append(Member member) {
  return [member](auto& context) {
    (x3::_val(context).*member).push_back(std::move(x3::_attr(context)));
  };
}

/** Sets one member to a fixed value. */
template <typename Member, typename Value>
auto SetTo(Member member, Value value) {
  return [member, value](auto& context) { x3::_val(context).*member = value; };
}

/** Adds an assignment of what was just parsed to a fixed field. */
auto Assign(const char* field) {
  return [field](auto& context) {
    x3::_val(context).assignments.push_back({field, fmt::format("{}", x3::_attr(context))});
  };
}

/** As Assign, for names: the JSON value is a string. */
auto AssignString(const char* field) {
  return [field](auto& context) {
    x3::_val(context).assignments.push_back(
        {field, boost::json::serialize(boost::json::string(x3::_attr(context)))});
  };
}

/** The path of the backend server whose name was just parsed. An order needs no entry before. */
auto SetServerPath() {
  return [](auto& context) {
    x3::_val(context).path = "server/" + x3::_attr(context);
    x3::_val(context).must_exist = false;
  };
}

const auto kName = Word("a name");
const auto kField = Word("a field name");
const auto kEquals = x3::rule<struct EqualsId>{"'='"} = x3::lit('=');
const auto kRange = x3::rule<struct RangeId>{"'..'"} = x3::lit("..");
const auto kRevision = x3::rule<struct RevisionId, std::uint64_t>{"a revision number"} =
    x3::uint_parser<std::uint64_t>();
const auto kCount = x3::rule<struct CountId, std::uint64_t>{"a count"} =
    x3::uint_parser<std::uint64_t>();
const auto kLayer = x3::rule<struct LayerId, std::uint32_t>{"a layer number"} =
    x3::uint_parser<std::uint32_t>();
const auto kNumber = x3::rule<struct NumberId, double>{"a number"} = x3::double_;

const x3::symbols<ComparisonOperator> kOperators({{"=", ComparisonOperator::kEqual},
                                                  {"!=", ComparisonOperator::kNotEqual},
                                                  {"<", ComparisonOperator::kLess},
                                                  {"<=", ComparisonOperator::kLessOrEqual},
                                                  {">", ComparisonOperator::kGreater},
                                                  {">=", ComparisonOperator::kGreaterOrEqual},
                                                  {"contains", ComparisonOperator::kContains}},
                                                 "a comparison (=, !=, <, <=, >, >=, contains)");

const x3::symbols<OutputFormat> kFormats({{"table", OutputFormat::kTable},
                                          {"json", OutputFormat::kJson}},
                                         "'table' or 'json'");

const x3::symbols<ExplainKind> kExplainKinds({{"session", ExplainKind::kSession},
                                              {"request", ExplainKind::kRequest}},
                                             "'session' or 'request'");

template <typename SpecificCommand>
auto Against() {
  return -(Keyword("against") > kRevision[Set(&SpecificCommand::against)]);
}

/** A kind and a name, which make the path of the command. */
template <typename SpecificCommand>
auto EntryPath() {
  const auto set_kind = [](auto& context) { x3::_val(context).path = x3::_attr(context) + "/"; };
  const auto add_name = [](auto& context) { x3::_val(context).path += x3::_attr(context); };
  return EntryKind()[set_kind] > kName[add_name];
}

const auto kComparison =
    x3::rule<struct ComparisonId, Comparison>{
        "a condition (FIELD OPERATOR VALUE)"} = kField[Set(&Comparison::field)] >
                                                kOperators[Set(&Comparison::comparison_operator)] >
                                                Scalar()[Set(&Comparison::value)];

const auto kPushBack = [](auto& context) {
  x3::_val(context).push_back(std::move(x3::_attr(context)));
};

const auto kAllOf = x3::rule<struct AllOfId, AllOf>{"a condition (FIELD OPERATOR VALUE)"} =
    kComparison[kPushBack] > *(Keyword("and") > kComparison[kPushBack]);

const auto kAnyOf =
    x3::rule<struct AnyOfId, std::vector<AllOf>>{
        "a condition (FIELD OPERATOR VALUE)"} = kAllOf[kPushBack] >
                                                *(Keyword("or") > kAllOf[kPushBack]);

const auto kShow = x3::rule<struct ShowId, ShowCommand>{"show"} =
    Keyword("show") > TableName()[Set(&ShowCommand::table)] >
    -(Keyword("where") > kAnyOf[Set(&ShowCommand::any_of)]) >
    -(Keyword("order") > Keyword("by") > kField[Set(&ShowCommand::order_by)] >
      -(Keyword("desc")[SetTo(&ShowCommand::descending, true)] | Keyword("asc"))) >
    -(Keyword("limit") > kCount[Set(&ShowCommand::limit)]) >
    -(Keyword("as") > kFormats[Set(&ShowCommand::format)]);

const auto kAssignment =
    x3::rule<struct AssignmentId, FieldAssignment>{
        "an assignment (FIELD = VALUE)"} = kField[Set(&FieldAssignment::field)] > kEquals >
                                           JsonText()[Set(&FieldAssignment::json)];

const auto kChange = x3::rule<struct ChangeId, ChangeCommand>{"change"} =
    Keyword("change") > EntryPath<ChangeCommand>() >
    Keyword("set") > kAssignment[Append(&ChangeCommand::assignments)] >
    *(x3::lit(',') > kAssignment[Append(&ChangeCommand::assignments)]) > Against<ChangeCommand>();

const auto kDrain = x3::rule<struct DrainId, ChangeCommand>{"drain"} =
    Keyword("drain") > Keyword("backend_server") > kName[SetServerPath()] >
    x3::attr(true)[Assign("drain")] > Against<ChangeCommand>();

const auto kUndrain = x3::rule<struct UndrainId, ChangeCommand>{"undrain"} =
    Keyword("undrain") > Keyword("backend_server") > kName[SetServerPath()] >
    x3::attr(false)[Assign("drain")] > Against<ChangeCommand>();

const auto kWeight = x3::rule<struct WeightId, ChangeCommand>{"set weight"} =
    Keyword("set") > Keyword("weight") > Keyword("of") >
    Keyword("backend_server") > kName[SetServerPath()] > kEquals
    > kNumber[Assign("weight")] > Against<ChangeCommand>();

const auto kLoad = x3::rule<struct LoadId, ChangeCommand>{"load model"} =
    Keyword("load") > Keyword("model") > kName[AssignString("desired_model")] >
    Keyword("version") > kName[AssignString("desired_version")] >
    Keyword("layers") > kLayer[Assign("desired_first_layer")] > kRange
    > kLayer[Assign("desired_end_layer")] > Keyword("on") >
    Keyword("backend_server") > kName[SetServerPath()] > Against<ChangeCommand>();

const auto kCreate = x3::rule<struct CreateId, PutCommand>{"create"} =
    Keyword("create") > EntryPath<PutCommand>() > kEquals > JsonObject()[Set(&PutCommand::json)] >
    x3::eps[SetTo(&PutCommand::must_be_new, true)] > Against<PutCommand>();

const auto kPut = x3::rule<struct PutId, PutCommand>{"put"} =
    Keyword("put") > Word("a path KIND/NAME")[Set(&PutCommand::path)] > kEquals >
    JsonObject()[Set(&PutCommand::json)] > Against<PutCommand>();

const auto kRemove = x3::rule<struct RemoveId, RemoveCommand>{
    "remove"} = Keyword("remove") > EntryPath<RemoveCommand>() > Against<RemoveCommand>();

const auto kMoveRole = x3::rule<struct MoveRoleId, MoveRoleCommand>{"move role"} =
    Keyword("move") > Keyword("role") > Word("a role")[Set(&MoveRoleCommand::role)] >
    Keyword("to") > Keyword("instance") > kName[Set(&MoveRoleCommand::instance)];

const auto kExplain = x3::rule<struct ExplainId, ExplainCommand>{"explain"} =
    Keyword("explain") > kExplainKinds[Set(&ExplainCommand::kind)] >
    Word("an id")[Set(&ExplainCommand::id)];

const auto kHelp = x3::rule<struct HelpId, HelpCommand>{"help"} = Keyword("help")[([](auto&) {})];

const auto kKeep = [](auto& context) { x3::_val(context) = std::move(x3::_attr(context)); };

const auto kCommand =
    x3::rule<struct CommandId, Command>{
        "a command (show, create, change, remove, drain, undrain, set, load, move, put, explain, "
        "help)"} = kShow[kKeep] | kChange[kKeep] | kDrain[kKeep] | kUndrain[kKeep] |
                   kWeight[kKeep] | kLoad[kKeep] | kCreate[kKeep] | kPut[kKeep] | kRemove[kKeep] |
                   kMoveRole[kKeep] | kExplain[kKeep] | kHelp[kKeep];

std::string FoundAt(std::string_view rest) {
  if (rest.empty()) {
    return "the end";
  }
  const std::string_view word = language::BareWordAt(rest);
  return fmt::format("'{}'", word.empty() ? rest.substr(0, 1) : word);
}

Error SyntaxError(std::string_view text, std::size_t offset, std::string_view expected) {
  const auto start = text.find_first_not_of(" \t\r\n", offset);
  const std::size_t position = start == std::string_view::npos ? text.size() : start;
  return MakeError(ErrorKind::kInvalidCommand,
                   fmt::format("at column {}: expected {}, found {}", position + 1, expected,
                               FoundAt(text.substr(position))));
}

/** What may follow a complete command, so that a misspelt clause is not only called superfluous. */
std::string ContinuationsOf(const Command& command) {
  if (std::holds_alternative<ShowCommand>(command)) {
    return "'and', 'or', 'where', 'order by', 'limit', 'as' or the end of the command";
  }
  const bool takes_revision = std::holds_alternative<ChangeCommand>(command) ||
                              std::holds_alternative<PutCommand>(command) ||
                              std::holds_alternative<RemoveCommand>(command);
  return takes_revision ? "',', 'against' or the end of the command" : "the end of the command";
}

}  // namespace

Result<Command> ParseCommand(const std::string& text) {
  Command command;
  auto position = text.begin();
  try {
    x3::phrase_parse(position, text.end(), x3::eps > kCommand, x3::space, command);
  } catch (const x3::expectation_failure<std::string::const_iterator>& failure) {
    return SyntaxError(text, static_cast<std::size_t>(failure.where() - text.begin()),
                       failure.which());
  }
  if (position != text.end()) {
    return SyntaxError(text, static_cast<std::size_t>(position - text.begin()),
                       ContinuationsOf(command));
  }
  return command;
}

}  // namespace zinnia
