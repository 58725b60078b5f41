#include "zinnia_apps/command_line/shell.h"

#include <readline/history.h>
#include <readline/readline.h>

#include <array>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "zinnia_apps/command_line/command_runner.h"
#include "zinnia_decisions/operators/table_kind.h"

namespace zinnia {
namespace {

constexpr std::array<std::string_view, 42> kKeywords = {"show",    "create",       "change",
                                                        "remove",  "drain",        "undrain",
                                                        "set",     "weight",       "of",
                                                        "load",    "model",        "version",
                                                        "layers",  "on",           "move",
                                                        "role",    "to",           "instance",
                                                        "put",     "explain",      "session",
                                                        "request", "help",         "where",
                                                        "and",     "or",           "order",
                                                        "by",      "desc",         "asc",
                                                        "limit",   "as",           "table",
                                                        "json",    "against",      "pipeline",
                                                        "service", "organisation", "backend_server",
                                                        "link",    "contains",     "exit"};

std::vector<std::string_view> AllWords() {
  std::vector<std::string_view> words(kKeywords.begin(), kKeywords.end());
  for (const TableKind kind : AllTableKinds()) {
    words.push_back(NameOf(kind));
  }
  return words;
}

/** Readline asks for one match after the other; `state` is 0 for the first. It frees the copies. */
char* NextMatch(const char* start, int state) {
  static const std::vector<std::string_view> kWords = AllWords();
  static std::size_t next = 0;
  if (state == 0) {
    next = 0;
  }
  while (next < kWords.size()) {
    const std::string_view word = kWords[next++];
    if (word.starts_with(start)) {
      return strdup(std::string(word).c_str());
    }
  }
  return nullptr;
}

char** Complete(const char* start, int, int) {
  // Otherwise readline would go on to offer the names of files.
  rl_attempted_completion_over = 1;
  return rl_completion_matches(start, NextMatch);
}

}  // namespace

ExitCode RunShell(CommandRunner& runner) {
  constexpr int kMostHistory = 1'000;
  rl_attempted_completion_function = Complete;
  stifle_history(kMostHistory);
  ExitCode last = ExitCode::kDone;
  while (true) {
    const std::unique_ptr<char, decltype(&std::free)> line(readline("zinnia> "), &std::free);
    if (line == nullptr || std::strcmp(line.get(), "exit") == 0) {
      return last;
    }
    if (*line != '\0') {
      add_history(line.get());
      last = runner.Run(line.get());
    }
  }
}

}  // namespace zinnia
