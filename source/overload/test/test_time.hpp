#pragma once

#include <redwingwind/common/time.hpp>

#include <cstdint>

namespace redwingwind::overload::test {

/// A moment of the tests' virtual clock, in milliseconds. Never the epoch,
/// which stands for "not yet" in several places.
inline time_point at(std::int64_t ms) {
    return time_point(std::chrono::milliseconds(ms + 1000));
}

} // namespace redwingwind::overload::test
