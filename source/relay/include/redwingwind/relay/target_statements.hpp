#pragma once

#include <redwingwind/common/identifiers.hpp>
#include <redwingwind/common/time.hpp>

#include <compare>
#include <cstdint>
#include <deque>
#include <string>

namespace redwingwind::relay {

/// A target's heartbeat.
struct target_announcement {
    std::string instance;
    service_name service;
    /// Where it listens, "IP:PORT".
    std::string address;
    std::uint32_t slots{};
    bool is_draining{};
    /// When the target's process started, in milliseconds since 1970; tells
    /// its incarnations apart. 0 when the target does not say.
    std::uint64_t started_ms{};
    /// Rises with each heartbeat of one incarnation.
    std::uint64_t sequence{};

    auto operator<=>(const target_announcement&) const = default;
};

/// Orders what arrives about the targets at one address, in whatever order it
/// arrives, and tells which incarnation is there. An incarnation is an instance
/// with the time of its start.
///
/// - A departure is the last statement of an incarnation, whoever passes it on.
/// - An incarnation that is draining stays so.
/// - Of two heartbeats of one incarnation, the one with the higher sequence
///   number is the later.
/// - Of two incarnations, the one that started later is there, as long as its
///   heartbeats arrive.
/// - A denial by the address itself (the target there is another instance)
///   outweighs all heartbeats of the incarnation denied.
///
/// Departures and denials are remembered for max_delay; an incarnation that
/// announces itself after that is there.
class target_statements {
  public:
    /// A statement arrives no later than this after it was made.
    static constexpr duration max_delay = std::chrono::seconds(30);

    /// An incarnation counts as present for `lifetime` after a heartbeat.
    explicit target_statements(duration lifetime) : lifetime_(lifetime) {}

    /// Whether the heartbeat is the latest statement; it is current() then.
    bool announce(time_point now, const target_announcement& heartbeat);
    /// Takes a departure, which doesn't name the incarnation: it is about the
    /// latest of the instance that was heard; if none was, about all that
    /// started before wall_ms. Returns the latest start of those that ended.
    std::uint64_t depart(time_point now, const std::string& instance,
                         std::uint64_t wall_ms);
    /// Another node was told that incarnations of the instance ended which
    /// started by started_ms.
    void end(time_point now, const std::string& instance,
             std::uint64_t started_ms);
    /// The address denied that the current incarnation is there.
    void deny(time_point now);

    /// The latest heartbeat; without an instance before the first.
    const target_announcement& current() const { return current_; }
    /// Whether the current incarnation departed or was denied.
    bool has_current_ended() const {
        return !current_.instance.empty() && !is_claimed_;
    }
    /// Whether the current incarnation neither departed nor was denied, and was
    /// heard in time.
    bool is_present(time_point now) const;
    time_point present_until() const { return last_heard_ + lifetime_; }
    /// Time between the first and the last heartbeat of the incarnation.
    duration announced_for() const { return last_heard_ - first_heard_; }
    /// Counts the incarnations that were current.
    std::uint64_t incarnations() const { return incarnations_; }

  private:
    struct ended_instance {
        std::string instance;
        /// Incarnations that started by then have ended.
        std::uint64_t started_ms{};
        time_point until;
    };
    struct heard_instance {
        std::string instance;
        std::uint64_t started_ms{};
    };

    bool has_ended(const target_announcement& heartbeat) const;
    bool is_older(time_point now, const target_announcement& heartbeat) const;
    bool is_current(const target_announcement& heartbeat) const;
    void forget_old(time_point now);

    duration lifetime_;
    target_announcement current_;
    time_point first_heard_{};
    time_point last_heard_{};
    bool is_claimed_{};
    std::uint64_t incarnations_{};
    /// The latest incarnations that were current.
    std::deque<heard_instance> heard_;
    std::deque<ended_instance> ended_;
};

} // namespace redwingwind::relay
