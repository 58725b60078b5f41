#pragma once

#include <stdexcept>
#include <utility>

#include "zinnia_base/errors/error.h"

namespace zinnia {

/** An exception that holds an Error. Result::value() throws it if the result is an error. */
class ErrorException : public std::runtime_error {
 public:
  explicit ErrorException(Error error)
      : std::runtime_error(Describe(error)), m_error(std::move(error)) {}

  const Error& GetError() const { return m_error; }

 private:
  Error m_error;
};

}  // namespace zinnia
