#include <redwingwind/common/time.hpp>

#include <ctime>
#include <memory>
#include <random>

namespace redwingwind {

time_point steady_now() {
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::seconds(time.tv_sec) +
        std::chrono::nanoseconds(time.tv_nsec)));
}

std::uint64_t wall_microseconds() {
    const auto time = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<duration>(time).count();
}

random_hook make_random(std::uint64_t seed) {
    auto engine = std::make_shared<std::mt19937_64>(seed);
    return [engine] { return (*engine)(); };
}

std::uint64_t random_seed() {
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

} // namespace redwingwind
