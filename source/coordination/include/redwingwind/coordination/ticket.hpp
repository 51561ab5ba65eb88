#pragma once

#include <redwingwind/common/identifiers.hpp>
#include <redwingwind/common/time.hpp>
#include <redwingwind/coordination/keyring.hpp>
#include <redwingwind/coordination/messages.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace redwingwind::coordination {

/// The right to run one request once. Only its home, in the incarnation that
/// minted it, may dispatch it.
struct ticket {
    node_incarnation home;
    std::uint64_t sequence{};
    /// On the home's own monotonic clock; nobody else reads it.
    std::uint64_t expires_us{};

    auto operator<=>(const ticket&) const = default;
};

std::string to_text(const ticket& t, const keyring& keys);

/// Errors: ticket_forged when the text is no ticket signed with a known key.
absl::StatusOr<ticket> parse_ticket(const std::string& text,
                                    const keyring& keys);

/// The answer that a resend gets again.
struct stored_response {
    outcome what{outcome::unknown};
    error_code why{};
    std::uint16_t status{};
    std::string content_type;
    std::string body;

    auto operator<=>(const stored_response&) const = default;
};

struct ticket_table_options {
    std::size_t max_entries{20000};
    std::size_t max_bytes{std::size_t{4} << 20U};
    duration lifetime{std::chrono::seconds(60)};
};

enum class claim_result : std::uint8_t {
    /// The caller of claim() dispatches the request now.
    dispatch,
    /// An earlier copy runs; wait for its answer.
    wait,
    /// The stored answer holds.
    completed,
    /// The ticket was cancelled before use: the request never runs.
    cancelled,
    /// The typed refusals.
    expired,
    reused,
    other_home,
    full
};

/// The tickets of one incarnation of a node. It remembers each used ticket
/// until that has expired, so a ticket is dispatched at most once, except
/// after a proof that the dispatch did not run.
class ticket_table {
  public:
    ticket_table(ticket_table_options options, node_incarnation self)
        : options_(options), self_(std::move(self)) {}

    ticket mint(time_point now);

    claim_result claim(time_point now, const ticket& t,
                       std::uint64_t content_digest);

    /// The dispatch ended. Proven not-run frees the ticket for a resend;
    /// anything else is kept as the answer.
    void complete(const ticket& t, stored_response answer);

    /// Null unless answered.
    const stored_response* response(const ticket& t) const;

    /// Makes sure that the ticket is never dispatched from now on. False when
    /// it was dispatched already.
    bool cancel(time_point now, const ticket& t);

    void remove_expired(time_point now);
    std::size_t size() const { return entries_.size(); }

  private:
    enum class state : std::uint8_t { running, answered, freed, cancelled };

    struct entry {
        state what{state::running};
        std::uint64_t content_digest{};
        std::uint64_t expires_us{};
        stored_response answer;
    };

    bool has_room() const;
    static bool is_expired(const ticket& t, time_point now);

    ticket_table_options options_;
    node_incarnation self_;
    std::uint64_t next_sequence_{1};
    std::size_t bytes_{};
    std::unordered_map<std::uint64_t, entry> entries_;
    std::deque<std::uint64_t> by_age_;
};

} // namespace redwingwind::coordination
