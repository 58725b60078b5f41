#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "zinnia_decisions/operators/operator_desk.h"

namespace zinnia {

/** An OperatorDesk with one entry and one table. It checks changes against the whole revision, as
    the store does. With `holds_answers`, it answers a change only when the next one
    comes. */
class FakeDesk final : public OperatorDesk {
 public:
  void Table(TableKind kind, TableCallback callback) override {
    asked_table = kind;
    callback(table);
  }

  void Change(ConfigurationChangeRequest request, ChangeCallback callback) override {
    changes.push_back(request);
    if (holds_answers) {
      if (held) {
        held(ConfigurationRevision{42});
      }
      held = std::move(callback);
    } else if (change_error) {
      callback(*change_error);
    } else {
      callback(++entry.revision);
    }
  }

  void CurrentEntry(std::string path, EntryCallback callback) override {
    asked_path = std::move(path);
    callback(entry);
  }

  void MoveRole(RoleMove move, DoneCallback callback) override {
    moves.push_back(std::move(move));
    callback({});
  }

  void Explain(ExplainKind kind, std::string id, ExplainCallback callback) override {
    if (id != "s-1") {
      callback(MakeError(ErrorKind::kNotFound,
                         "nothing is known of " + std::string(NameOf(kind)) + " " + id));
      return;
    }
    using std::chrono_literals::operator""ms;
    callback(std::vector<DecisionRecord>{
        {TimePoint(5ms), "session s-1", "choose_pipeline", "least completion", {{"p", "a"}}},
        {TimePoint(12ms), "session s-1", "replace_stage", "backend server gone", {}}});
  }

  TableData table;
  CurrentConfigurationEntry entry{41, 40, R"({"weight":1,"priority":3})"};
  std::optional<Error> change_error;
  bool holds_answers = false;
  ChangeCallback held;
  std::optional<TableKind> asked_table;
  std::string asked_path;
  std::vector<ConfigurationChangeRequest> changes;
  std::vector<RoleMove> moves;
};

}  // namespace zinnia
