#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace redwingwind::integration {

/// Loopback ports for the programs of one test, free for TCP and UDP when
/// this is made. They lie outside the range from which the system numbers
/// outgoing connections and listeners on port 0, so that neither takes one
/// while its program is not started yet, or between two starts. No other
/// block, also of another process, has one of them while this lives.
class port_block {
  public:
    /// Throws std::runtime_error when no such ports are left.
    explicit port_block(std::size_t count);
    ~port_block();
    port_block(const port_block&) = delete;
    port_block& operator=(const port_block&) = delete;

    std::uint16_t operator[](std::size_t n) const { return ports_.at(n); }
    std::size_t size() const { return ports_.size(); }
    const std::vector<std::uint16_t>& all() const { return ports_; }

  private:
    /// Bound to the first port of the block while this lives.
    int claim_{-1};
    std::vector<std::uint16_t> ports_;
};

/// Ports that the system numbers by itself.
struct own_range {
    int first{};
    int last{};
};

own_range system_port_range();

} // namespace redwingwind::integration
