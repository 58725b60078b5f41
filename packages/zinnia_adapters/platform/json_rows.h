#pragma once

#include <string>
#include <string_view>

namespace zinnia {

/** Replaces by `null` what cannot be parsed by itself among the rows of a list: the elements of the
    arrays that are members of the outermost object.

    One row that is nested too deeply, or has a number with an exponent that no type holds, makes
   the whole document unreadable. Use it on a document that could not be parsed; what is not a
   document with lists stays as it is.
*/
std::string ReplaceUnreadableRows(std::string_view document);

}  // namespace zinnia
