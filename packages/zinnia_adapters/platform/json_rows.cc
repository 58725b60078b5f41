#include "zinnia_adapters/platform/json_rows.h"

#include <cstddef>

#include "zinnia_adapters/platform/json_fields.h"

namespace zinnia {
namespace {

/** Within the outermost object and an array that is a member of it. */
constexpr std::size_t kDepthOfRows = 2;

bool IsReadable(std::string_view row) {
  try {
    ParseJson(std::string(row));
    return true;
  } catch (const ErrorException&) {
    return false;
  }
}

/** Follows the nesting of a document, and writes it anew. */
class RowReplacer {
 public:
  std::string Run(std::string_view document) {
    m_document = document;
    for (m_at = 0; m_at < document.size(); ++m_at) {
      Read(document[m_at]);
    }
    Copy(document.size());
    return std::move(m_written);
  }

 private:
  void Read(char character) {
    if (m_is_in_text) {
      ReadText(character);
    } else if (character == '"') {
      m_is_in_text = true;
    } else if (character == '[' || character == '{') {
      Open(character);
    } else if (character == ']' || character == '}') {
      Close();
    } else if (character == ',') {
      EndRow();
    }
  }

  void ReadText(char character) {
    if (m_is_escaped) {
      m_is_escaped = false;
    } else if (character == '\\') {
      m_is_escaped = true;
    } else if (character == '"') {
      m_is_in_text = false;
    }
  }

  void Open(char character) {
    if (++m_depth == kDepthOfRows) {
      m_has_rows = character == '[';
      Copy(m_at + 1);
    }
  }

  void Close() {
    EndRow();
    if (m_depth > 0) {
      --m_depth;
    }
  }

  /** Does nothing but at the end of a row. */
  void EndRow() {
    if (m_depth != kDepthOfRows || !m_has_rows) {
      return;
    }
    const std::string_view row = m_document.substr(m_copied, m_at - m_copied);
    const bool is_empty = row.find_first_not_of(" \t\r\n") == std::string_view::npos;
    if (!is_empty && !IsReadable(row)) {
      m_written += "null";
      m_copied = m_at;
    }
    Copy(m_at + 1);
  }

  void Copy(std::size_t end) {
    m_written += m_document.substr(m_copied, end - m_copied);
    m_copied = end;
  }

  std::string_view m_document;
  std::string m_written;
  std::size_t m_at = 0;

  /** Up to here the document has been written: in a list, the beginning of the row. */
  std::size_t m_copied = 0;
  std::size_t m_depth = 0;
  bool m_has_rows = false;
  bool m_is_in_text = false;
  bool m_is_escaped = false;
};

}  // namespace

std::string ReplaceUnreadableRows(std::string_view document) {
  return RowReplacer().Run(document);
}

}  // namespace zinnia
