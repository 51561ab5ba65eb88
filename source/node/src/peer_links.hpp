#pragma once

#include <redwingwind/common/time.hpp>
#include <redwingwind/coordination/keyring.hpp>
#include <redwingwind/coordination/messages.hpp>
#include <redwingwind/io/memory_account.hpp>
#include <redwingwind/io/reactor.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace redwingwind::node {

struct link_options {
    std::size_t most_frame_bytes{std::size_t{2} << 20U};
    /// Bytes that may wait for a peer that reads none for stall_timeout; a
    /// large frame alone ends no link.
    std::size_t most_waiting_bytes{std::size_t{8} << 20U};
    duration stall_timeout{std::chrono::seconds(1)};
    /// What the process holds; outlives the links. May be null.
    io::memory_account* memory{};
    std::uint32_t most_links{4096};
    duration handshake_timeout{std::chrono::seconds(2)};
    duration idle_timeout{std::chrono::seconds(60)};
};

struct link_counters {
    std::uint64_t opened{};
    std::uint64_t accepted{};
    /// Closed for a wrong key, a malformed or an oversized frame.
    std::uint64_t rejected{};
    /// Opened to a life of a node whose address another one has by now.
    std::uint64_t answered_by_other_life{};
    /// Accepted and in use when the same life opened the next one.
    std::uint64_t superseded{};
    std::uint64_t bytes_sent{};
    /// Of these, by the frame's place among the kinds of frame.
    std::array<std::uint64_t, std::variant_size_v<coordination::frame>>
        bytes_by_kind{};
    std::uint64_t frames_sent{};
    std::uint64_t frames_received{};
};

/// Connections with other nodes. Each carries sealed frames; a frame that was
/// altered, repeated, left out or reordered ends its connection.
class peer_links {
  public:
    struct hooks {
        std::function<void(const node_incarnation& from, coordination::frame)>
            on_frame;
        /// A connection that this node opened ended. was_connected is false
        /// when nothing that was sent on it can have arrived.
        std::function<void(const node_incarnation&, bool was_connected)>
            on_down;
        /// A connection that another node opened ended; may be empty.
        std::function<void(const node_incarnation&)> on_caller_gone;
        std::function<void(const std::string& why)> on_rejected;
        /// The node answered at the address on a connection that was opened
        /// at `since`: any other life that was known there before that time
        /// has ended. May be empty.
        std::function<void(const node_incarnation&,
                           const coordination::address&, time_point since)>
            on_greeted{};
        /// A reply to this node was dropped, as its connection is gone; may
        /// be empty.
        std::function<void(const node_incarnation&)> on_undelivered;
        /// A link ended as the peer read nothing of so many bytes; may be
        /// empty.
        std::function<void(const node_incarnation&, std::size_t unsent)>
            on_stalled{};
        random_hook random;
    };

    /// Throws std::runtime_error when the address can't be bound.
    peer_links(io::reactor& loop, const coordination::keyring& keys,
               node_incarnation self, const coordination::address& listen_on,
               link_options options, hooks h);
    ~peer_links();
    peer_links(const peer_links&) = delete;
    peer_links& operator=(const peer_links&) = delete;

    std::uint16_t port() const;

    /// Over a connection that this node opens when there is none.
    void send(const coordination::member_record& to,
              const coordination::frame& message);
    /// Over a connection that the other node opened; dropped without one.
    void send_back(const node_incarnation& to,
                   const coordination::frame& message);
    /// Over an open connection only: a connection that is gone took the calls
    /// with it that the frame is about.
    void send_if_open(const node_incarnation& to,
                      const coordination::frame& message);
    void drop(const node_incarnation& node);

    const link_counters& counters() const;
    std::size_t open_links() const;
    /// Whether frames wait for a peer to read.
    bool has_unsent_frames() const;

  private:
    class link;
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace redwingwind::node
