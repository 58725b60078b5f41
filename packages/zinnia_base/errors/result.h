#pragma once

#include <boost/system/result.hpp>

#include "zinnia_base/errors/error_exception.h"

namespace zinnia {

/** A value or an Error. Static factories return it; value() throws ErrorException on failure. */
template <typename T>
using Result = boost::system::result<T, Error>;

/** Found by boost::system::result through argument-dependent lookup. */
[[noreturn]] inline void throw_exception_from_error(const Error& error,
                                                    const boost::source_location&) {
  throw ErrorException(error);
}

}  // namespace zinnia
