#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace redwingwind {

using duration = std::chrono::microseconds;

/// Clock type of the code that does not read the system's clock itself. It has
/// no now(): callers pass the current time as an argument.
struct virtual_clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<virtual_clock>;
    static constexpr bool is_steady = true;
};

using time_point = virtual_clock::time_point;

/// Returns the monotonic time; passed in so that tests can control it.
using clock_hook = std::function<time_point()>;

/// Returns a uniformly distributed 64-bit value; passed in so that tests can
/// repeat a sequence.
using random_hook = std::function<std::uint64_t()>;

/// The machine's monotonic clock. It includes time during which the machine is
/// suspended, so that deadlines and leases expire meanwhile.
time_point steady_now();

/// The wall clock in microseconds since 1970.
std::uint64_t wall_microseconds();

/// A Mersenne Twister (64 bits) seeded with the given value.
random_hook make_random(std::uint64_t seed);

/// A seed from the system's random device, which differs between processes.
std::uint64_t random_seed();

constexpr double seconds(duration d) {
    return std::chrono::duration<double>(d).count();
}

constexpr std::int64_t milliseconds(duration d) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

} // namespace redwingwind
