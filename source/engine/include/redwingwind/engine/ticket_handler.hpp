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

/// Handles requests that carry a ticket: at the ticket's home it dispatches
/// each once and answers resends from memory, elsewhere it sends them home.
class ticket_handler {
  public:
    ticket_handler(coordination::ticket_table_options options,
                   node_incarnation self, const coordination::keyring& keys,
                   caller& calls);

    std::vector<std::string> mint(time_point now, std::size_t count);

    /// A request with a ticket, from a caller or from another node.
    void submit(time_point now, const call_request& request,
                response_hook on_reply);

    /// Done when the ticket will never be used, unknown when it was.
    void cancel(time_point now, const call_request& request,
                response_hook on_reply);

    void tick(time_point now);
    std::size_t size() const { return table_.size(); }
    const ticket_counters& counters() const { return counters_; }

  private:
    struct waiter {
        call_request request;
        response_hook on_reply;
    };

    void dispatch(time_point now, const coordination::ticket& t,
                  const call_request& request, response_hook on_reply);
    void on_answer(const coordination::ticket& t, const call_response& reply);

    node_incarnation self_;
    const coordination::keyring& keys_;
    caller& calls_;
    coordination::ticket_table table_;
    std::unordered_map<std::uint64_t, std::vector<waiter>> waiters_;
    ticket_counters counters_;
};

} // namespace redwingwind::engine
