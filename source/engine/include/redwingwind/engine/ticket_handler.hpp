#pragma once

#include <redwingwind/coordination/ticket.hpp>
#include <redwingwind/engine/call.hpp>
#include <redwingwind/engine/caller.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace redwingwind::engine {

struct ticket_counters {
    std::uint64_t minted{};
    std::uint64_t dispatched{};
    std::uint64_t duplicates{};
    std::uint64_t rejected{};
    std::uint64_t cancelled{};
};

/// Handles requests that carry a ticket (an idempotency key). The ticket's
/// home, the node that minted it, dispatches the first request with it and
/// answers duplicates from the stored response. Any other node forwards the
/// request to the home.
class ticket_handler {
  public:
    ticket_handler(coordination::ticket_table_options options,
                   node_incarnation self, const coordination::keyring& keys,
                   caller& calls);

    std::vector<std::string> mint(time_point now, std::size_t count);

    /// Handles a request with a ticket that came from a caller or from another
    /// node.
    void submit(time_point now, const call_request& request,
                response_hook on_response);

    /// Cancels a ticket. The response is not_run when its request did not run
    /// and never will, unknown when the ticket was used already.
    void cancel(time_point now, const call_request& request,
                response_hook on_response);

    void tick(time_point now);
    std::size_t size() const { return table_.size(); }
    const ticket_counters& counters() const { return counters_; }

  private:
    struct waiting_request {
        call_request request;
        response_hook on_response;
    };

    void dispatch(time_point now, const coordination::ticket& t,
                  const call_request& request, response_hook on_response);
    void complete(const coordination::ticket& t, const call_response& response);

    node_incarnation self_;
    const coordination::keyring& keys_;
    caller& calls_;
    coordination::ticket_table table_;
    std::unordered_map<std::uint64_t, std::vector<waiting_request>> waiters_;
    ticket_counters counters_;
};

} // namespace redwingwind::engine
