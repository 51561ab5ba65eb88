#include <redwingwind/io/memory_account.hpp>

#include <utility>

namespace redwingwind::io {
namespace {

/// One body of the largest size may be read below the first share, and both
/// copies of a body of 64 MiB exist below the second with 160 MB of memory.
constexpr double short_share = 0.6;
constexpr double full_share = 0.975;

std::size_t part_of(std::size_t bytes, double share) {
    return static_cast<std::size_t>(static_cast<double>(bytes) * share);
}

} // namespace

std::string_view to_string(memory_kind kind) {
    static constexpr std::array<std::string_view, memory_kinds> names{
        "requests",         "waiting_calls",   "target_requests",
        "target_responses", "frames_received", "frames_unsent",
        "responses",        "connections"};
    return names[static_cast<std::size_t>(kind)];
}

memory_account::memory_account(std::size_t capacity_bytes)
    : capacity_(capacity_bytes),
      short_above_(part_of(capacity_bytes, short_share)),
      full_above_(part_of(capacity_bytes, full_share)) {}

void memory_account::update(memory_kind kind, std::size_t& charged,
                            std::size_t bytes) {
    const auto before = std::exchange(charged, bytes);
    held_ = held_ - before + bytes;
    auto& of_kind = by_kind_[static_cast<std::size_t>(kind)];
    of_kind = of_kind - before + bytes;
}

} // namespace redwingwind::io
