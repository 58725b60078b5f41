#pragma once

#include <boost/system/result.hpp>

#include "zinnia_base/errors/error_exception.h"

namespace zinnia {

/** A value or an Error. value() throws an ErrorException if it holds an Error. */
template <typename T>
using Result = boost::system::result<T, Error>;

/** Customisation point that boost::system::result finds by argument-dependent lookup. */
[[noreturn]] inline void throw_exception_from_error(const Error& error,
                                                    const boost::source_location&) {
  throw ErrorException(error);
}

}  // namespace zinnia
