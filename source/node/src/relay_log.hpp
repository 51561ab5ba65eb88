#pragma once

#include <redwingwind/common/log.hpp>
#include <redwingwind/common/time.hpp>
#include <redwingwind/relay/call.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

namespace redwingwind::node {

/// Writes the decisions that touch calls, at a bounded rate: under load the
/// lines left out are counted in a line of their own.
class relay_log {
  public:
    /// Lines name the node, so that those of many nodes can be put together.
    explicit relay_log(node_name self) : self_(std::move(self)) {}

    void call(time_point now, const relay::call_event& event);
    /// Since the start.
    std::uint64_t left_out() const { return all_left_out_; }

  private:
    /// Lines in a second, before lines are left out.
    static constexpr std::uint32_t most_lines = 40;
    /// Of these, before lines about rejected calls are left out: under load
    /// there are many, and the others tell more.
    static constexpr std::uint32_t most_refusal_lines = 25;
    /// Callers choose their ids; longer ones are cut, so that a line is
    /// always short enough to be written.
    static constexpr std::size_t most_id_bytes = 256;

    static std::string id_of(const relay::call_event& event);
    bool may_write(time_point now, bool is_refusal);

    node_name self_;
    time_point second_{};
    std::uint32_t written_{};
    std::uint64_t left_out_{};
    std::uint64_t all_left_out_{};
};

} // namespace redwingwind::node
