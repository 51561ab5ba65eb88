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

/// Permission to execute one request once. Only the node that issued it (its
/// home), in the same incarnation, may dispatch it.
struct ticket {
    node_incarnation home;
    std::uint64_t sequence{};
    /// Microseconds on the home's monotonic clock; meaningless elsewhere.
    std::uint64_t expires_us{};

    auto operator<=>(const ticket&) const = default;
};

/// The ticket's text form, signed with the first key.
std::string to_text(const ticket& t, const keyring& keys);

/// Errors: ticket_forged when the text is not a ticket signed with a known key.
absl::StatusOr<ticket> parse_ticket(const std::string& text,
                                    const keyring& keys);

/// The response that is returned for retries with the same ticket. `what` is
/// the outcome, `why` the error code.
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
    /// The same request is being executed; wait for its response.
    wait,
    /// The response is stored; see response().
    completed,
    /// The ticket was cancelled before use: the request is never executed.
    cancelled,
    /// Rejected: the ticket has expired.
    expired,
    /// Rejected: the ticket was used for a request with other content.
    reused,
    /// Rejected: another node or incarnation issued the ticket.
    other_home,
    /// Rejected: the table is full.
    full
};

/// The tickets issued by one incarnation of a node. A used ticket is kept until
/// after it has expired, so it is dispatched at most once, and again only when
/// the dispatch provably was not executed.
class ticket_table {
  public:
    ticket_table(ticket_table_options options, node_incarnation self)
        : options_(options), self_(std::move(self)) {}

    /// Issues a new ticket.
    ticket mint(time_point now);

    /// Decides whether the request with this ticket may be dispatched. The
    /// digest covers the request's content.
    claim_result claim(time_point now, const ticket& t,
                       std::uint64_t content_digest);

    /// Ends a dispatch. The outcome not_run frees the ticket for a retry; any
    /// other outcome is stored as the response.
    void complete(const ticket& t, stored_response response);

    /// The stored response; null if there is none.
    const stored_response* response(const ticket& t) const;

    /// Ensures that the ticket is never dispatched from now on. Returns false
    /// when it was dispatched, or when that can't be ruled out.
    bool cancel(time_point now, const ticket& t);

    /// Removes entries some time after their tickets have expired.
    void remove_expired(time_point now);
    std::size_t size() const { return entries_.size(); }

  private:
    enum class state : std::uint8_t { executing, completed, freed, cancelled };

    struct entry {
        state status{state::executing};
        std::uint64_t content_digest{};
        std::uint64_t expires_us{};
        stored_response response;
    };

    bool has_room() const;
    static bool is_expired(const ticket& t, time_point now);

    ticket_table_options options_;
    node_incarnation self_;
    std::uint64_t next_sequence_{1};
    /// Size of the stored response bodies.
    std::size_t bytes_{};
    /// By the ticket's sequence.
    std::unordered_map<std::uint64_t, entry> entries_;
    std::deque<std::uint64_t> by_age_;
};

} // namespace redwingwind::coordination
