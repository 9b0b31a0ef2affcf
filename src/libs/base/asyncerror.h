#pragma once

#include <utility>

#include <boost/leaf.hpp>

namespace mulberry {

namespace leaf = boost::leaf;

/// Returns a failed result that owns its error object. A plain leaf::new_error stores the object in a handler scope of
/// the current thread. This scope has ended by the time an asynchronous callback runs.
template <typename Result, typename Error>
leaf::result<Result> captured_error(Error error)
{
    return leaf::capture(leaf::make_shared_context<void (*)(Error)>(),
                         [&]() -> leaf::result<Result> { return leaf::new_error(error); });
}

/// Returns the error object of a failed result, or the fallback if the result has succeeded or holds no error object of
/// this type.
template <typename Error, typename Result>
Error error_of(leaf::result<Result> result, Error fallback)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<Error> {
            if (result)
                return fallback;
            return std::move(result).error();
        },
        [](Error error) { return error; }, [&] { return fallback; });
}

} // namespace mulberry
