#ifndef CURRANTREEL_CORE_RESULT_H
#define CURRANTREEL_CORE_RESULT_H

#include "ResultCode.h"
#include <string>
#include <utility>
#include <variant>

namespace currantreel {

/// Failure: a result code and the detail that a person needs to correct it.
struct Error
{
    ResultCode code;
    std::string detail;
};

/// Either a value or an Error. @tparam T type of the value.
template <typename T>
using Result = std::variant<T, Error>;

/// True if @p result holds an Error.
template <typename T>
[[nodiscard]] bool isError(const Result<T> &result)
{
    return std::holds_alternative<Error>(result);
}

/// The error of @p result. @pre isError(result).
template <typename T>
[[nodiscard]] const Error &error(const Result<T> &result)
{
    return std::get<Error>(result);
}

/// The value of @p result. @pre !isError(result).
template <typename T>
[[nodiscard]] T &value(Result<T> &result)
{
    return std::get<T>(result);
}

/// @copydoc value
template <typename T>
[[nodiscard]] const T &value(const Result<T> &result)
{
    return std::get<T>(result);
}

} // namespace currantreel

#endif
