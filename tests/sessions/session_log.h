#pragma once

#include <fmt/format.h>

#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <variant>

#include "tests/sessions/session_world.h"

namespace zinnia {

/** Logs the events of a session, one per line with the virtual time in milliseconds: caller events,
    steps at each stage, and decisions with their reasons. */
class SessionLog {
 public:
  explicit SessionLog(SessionWorld& world) : m_world(world) {
    world.stages.on_step = [this](const auto& server, const auto& step, const auto& answer) {
      WriteStep(server, step, answer);
    };
    world.recorder.on_record = [this](const DecisionRecord& record) { Write(Describe(record)); };
  }

  void Watch(FakeCaller& caller, const std::string& name) {
    caller.on_token = [this, name](const SampledToken& token) {
      Write(name + " gets " + Trim(token.text));
    };
    caller.on_end = [this, &caller, name] { WriteEnd(caller, name); };
  }

  void Write(const std::string& line) {
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(
        m_world.time.Now().time_since_epoch());
    m_text += fmt::format("{:>8.3f} {}\n", static_cast<double>(micros.count()) / 1000, line);
  }

  const std::string& Text() const { return m_text; }

  /** Compares a text with a golden file. Returns an empty string or the first difference, and
     writes the text to NAME.actual.txt in the current folder on a mismatch. */
  static std::string Compare(const std::string& text, const std::string& name) {
    std::ifstream golden(std::string(ZINNIA_GOLDEN_FOLDER) + "/sessions/" + name + ".txt");
    std::istringstream actual(text);
    std::string expected_line;
    std::string actual_line;
    for (int number = 1;; ++number) {
      const bool has_expected = static_cast<bool>(std::getline(golden, expected_line));
      const bool has_actual = static_cast<bool>(std::getline(actual, actual_line));
      if (!has_expected && !has_actual) {
        return {};
      }
      if (has_expected != has_actual || expected_line != actual_line) {
        std::ofstream(name + ".actual.txt") << text;
        return fmt::format("{} line {}\n  golden: {}\n  actual: {}", name, number,
                           has_expected ? expected_line : "(end)",
                           has_actual ? actual_line : "(end)");
      }
    }
  }

 private:
  void WriteEnd(const FakeCaller& caller, const std::string& name) {
    if (caller.usage) {
      Write(fmt::format("{} gets the end: {} prompt tokens, {} answer tokens, {} recoveries", name,
                        caller.usage->prompt_tokens, caller.usage->answer_tokens,
                        caller.usage->recoveries));
    }
    if (caller.error) {
      Write(fmt::format("{} gets an error: {} was_run={}", name, Describe(*caller.error),
                        NameOf(caller.error->was_run)));
    }
  }

  static std::string Trim(std::string text) {
    text.erase(text.find_last_not_of(' ') + 1);
    return text;
  }

  void WriteStep(const BackendServerName& server,
                 const StepRequest& step,
                 const StepAnswer& answer) {
    const std::string adopt =
        step.adopt ? fmt::format(" adopt={}@{}", step.adopt->attempt, step.adopt->length) : "";
    const auto* hidden = std::get_if<HiddenInput>(&step.input);
    const std::string input =
        hidden != nullptr
            ? fmt::format("states={}", hidden->states.size())
            : fmt::format("prompt={} tokens={}",
                          std::get<TokenInput>(step.input).prompt.empty() ? "no" : "yes",
                          std::get<TokenInput>(step.input).tokens.size());
    Write(fmt::format("step {} layers=[{},{}) attempt={} position={} {}{}{} -> {} length={}{}",
                      server, step.layers.first, step.layers.end, step.attempt, step.position,
                      input, adopt, step.isolated ? " isolated" : "", NameOf(answer.status),
                      answer.length, answer.token ? " token=" + Trim(answer.token->text) : ""));
  }

  SessionWorld& m_world;
  std::string m_text;
};

}  // namespace zinnia
