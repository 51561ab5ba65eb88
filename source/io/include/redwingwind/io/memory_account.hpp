#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace redwingwind::io {

/// What holds memory of the process for a peer.
enum class memory_kind : std::uint8_t {
    /// Requests of clients, from their first byte until the response.
    requests,
    /// Calls that wait for a slot of the local target.
    waiting_calls,
    /// Requests on their way to the local target.
    target_requests,
    /// Incomplete responses of the local target.
    target_responses,
    /// Incomplete frames from other nodes.
    frames_received,
    /// Frames that other nodes have not taken yet.
    frames_unsent,
    /// Responses that clients have not taken yet.
    responses,
    /// Connections, at a fixed cost each.
    connections
};
constexpr std::size_t memory_kinds = 8;

/// The name of a kind in metrics and logs.
std::string_view to_string(memory_kind kind);

/// Bytes that a connection costs while it holds no message.
constexpr std::size_t connection_bytes = 4096;

/// The bytes that one process holds for its peers, compared with what it may
/// hold. It makes no decision about a single peer: whoever holds bytes charges
/// them here, asks for the state, and gives up bytes.
class memory_account {
  public:
    /// What may be held, in bytes.
    explicit memory_account(std::size_t capacity_bytes);

    /// Replaces the bytes that a holder had charged for a kind; `charged` is
    /// the holder's own record of them.
    void update(memory_kind kind, std::size_t& charged, std::size_t bytes);

    /// Accepts no new work above this share; the rest is for work that was
    /// accepted, and for control traffic, which is never refused.
    bool is_short() const { return held_ > short_above_; }
    /// What is left is needed to finish what was accepted.
    bool is_full() const { return held_ > full_above_; }

    /// Largest body accepted, in bytes: two copies of it exist while it is
    /// passed on.
    std::size_t max_body_bytes() const { return capacity_ / 2; }
    std::size_t capacity() const { return capacity_; }
    std::size_t held() const { return held_; }
    std::size_t held(memory_kind kind) const {
        return by_kind_[static_cast<std::size_t>(kind)];
    }

  private:
    std::size_t capacity_;
    std::size_t short_above_;
    std::size_t full_above_;
    std::size_t held_{};
    std::array<std::size_t, memory_kinds> by_kind_{};
};

} // namespace redwingwind::io
