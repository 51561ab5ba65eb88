#pragma once

#include <redwingwind/common/time.hpp>

#include <cstdint>

namespace redwingwind::overload::test {

/// A time of the tests' virtual clock, in milliseconds. Never the epoch, which
/// several classes use for "not set".
inline time_point at(std::int64_t ms) {
    return time_point(std::chrono::milliseconds(ms + 1000));
}

using ms = std::chrono::milliseconds;
using s = std::chrono::seconds;

/// The time at which most tests begin; not the epoch for the same reason.
inline constexpr time_point start{s(100)};

/// A uniformly distributed random number from 0 to below 1.
inline double uniform(const random_hook& random) {
    constexpr double bits_53 = 9007199254740992.0;
    return static_cast<double>(random() >> 11U) / bits_53;
}

} // namespace redwingwind::overload::test
