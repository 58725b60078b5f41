#pragma once

#include <map>
#include <string>
#include <string_view>

namespace zinnia {

/** How far a strictly read answer got. */
enum class StrictState { kUnfinished, kWhole, kFaulty };

/** What StrictAnswerParser found at the start of some bytes. */
struct StrictAnswer {
  StrictState state = StrictState::kUnfinished;
  std::string fault;
  bool has_head = false;
  unsigned status = 0;

  /** Names in lower case. */
  std::map<std::string, std::string> fields;

  /** Without the framing; also of an unfinished answer. */
  std::string body;

  /** Bytes of the whole answer with its framing. */
  std::size_t size = 0;
};

/** Reads one HTTP/1.1 response without any leniency and without the product's parser. Interim
   heads, folded lines, repeated framing fields and bodies that end with the connection are faults.
 */
class StrictAnswerParser {
 public:
  static StrictAnswer Parse(std::string_view bytes);

 private:
  explicit StrictAnswerParser(std::string_view bytes) : m_rest(bytes) {}

  bool Fail(const std::string& fault);
  bool TakeLine(std::string_view& line);
  bool ReadStatusLine();
  bool ReadFields(bool is_trailer);
  bool ReadField(std::string_view line, bool is_trailer);
  bool ReadBody();
  bool ReadChunks();
  bool TakeBytes(std::size_t count);

  std::string_view m_rest;
  StrictAnswer m_answer;
};

}  // namespace zinnia
