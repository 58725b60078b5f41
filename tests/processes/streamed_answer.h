#pragma once

#include <string>
#include <vector>

namespace zinnia::testing {

struct HttpAnswer;

/** What a caller got for a streamed draft, or of its refusal. */
struct StreamedAnswer {
  unsigned status = 0;              // 0: no header came
  std::vector<std::string> tokens;  // texts, the end token's empty one included
  std::string last_event_id;
  std::string session;
  bool done = false;  // the stream said that it is over
  int recoveries = 0;
  std::string error_kind;  // of a refusal or of an error in the stream
  std::string was_run;
  std::string detail;

  std::string Text() const;

  /** Reads what came so far; an unfinished last event is left out. */
  static StreamedAnswer Read(const HttpAnswer& answer);

 private:
  void ReadEvent(const std::string& event);
  void ReadChunk(const std::string& json);
  void ReadProblem(const std::string& json);
};

/** "kind/was_run" of a problem document, or "" if the answer is none. */
std::string ProblemOf(const HttpAnswer& answer);

}  // namespace zinnia::testing
