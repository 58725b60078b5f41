#pragma once

#include <boost/beast/http/fields.hpp>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace zinnia {

/** A header field whose name or value is longer than the library's container of fields takes. */
struct LongField {
  std::string name;
  std::string value;

  /** The number of fields of the same name before it. */
  std::size_t occurrence = 0;
};

/** The header fields of a message that the library's container does not take: it throws an
    exception for a name or value above kMostContainerBytes.

    The container holds an empty field in the place of each, whose name is cut off at that limit. So
    what removes or replaces a field by its name does so to a long one too, and what reads a long
    one finds it empty.
*/
class LongFields {
 public:
  static constexpr std::size_t kMostContainerBytes = 65'533;

  static bool IsLong(std::string_view name, std::string_view value);

  /** Adds a long field, and the empty one in its place to the container. */
  void Add(boost::beast::http::fields& container, std::string_view name, std::string_view value);

  bool IsEmpty() const { return m_fields.empty(); }

  /** Returns the long field in whose place the container has its field number `occurrence` of this
      name, or nullptr. */
  const LongField* Find(std::string_view container_name, std::size_t occurrence) const;

 private:
  std::vector<LongField> m_fields;
};

}  // namespace zinnia
