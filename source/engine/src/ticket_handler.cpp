#include <redwingwind/engine/ticket_handler.hpp>

#include <redwingwind/common/hash.hpp>

#include <utility>

namespace redwingwind::engine {
namespace {

using coordination::claim_result;
using coordination::stored_response;
using coordination::ticket;

/// Digest of the fields in which a retried request must equal the first one
/// that used its ticket.
std::uint64_t request_digest(const call_request& request) {
    auto n = digest(request.service.value);
    n = digest(request.method, n);
    n = digest(request.path, n);
    n = digest(request.owner.value, n);
    return digest(request.body, n);
}

call_response response_of(const stored_response& stored) {
    if (stored.what != outcome::done)
        return rejection(stored.what, stored.why,
                         "this is the result of the first attempt");
    return {stored.what,         stored.why,  stored.status,
            stored.content_type, stored.body, 0};
}

stored_response stored_response_of(const call_response& response) {
    return {response.what, response.why,
            static_cast<std::uint16_t>(response.status), response.content_type,
            response.body};
}

call_response rejection_of(claim_result result) {
    switch (result) {
    case claim_result::cancelled:
        return rejection(outcome::not_run, error_code::cancelled,
                         "the ticket was cancelled before it was used");
    case claim_result::expired:
        return rejection(
            outcome::unknown, error_code::ticket_expired,
            "the ticket is too old: an earlier use may no longer be recorded");
    case claim_result::reused:
        return rejection(outcome::unknown, error_code::ticket_reused,
                         "the ticket was already used for a different request");
    case claim_result::full:
        return rejection(outcome::not_run, error_code::ticket_table_full,
                         "too many tickets in use");
    default:
        return rejection(outcome::unknown, error_code::ticket_home_gone,
                         "the node that minted the ticket is gone");
    }
}

} // namespace

ticket_handler::ticket_handler(coordination::ticket_table_options options,
                               node_incarnation self,
                               const coordination::keyring& keys, caller& calls)
    : self_(self), keys_(keys), calls_(calls),
      table_(options, std::move(self)) {}

std::vector<std::string> ticket_handler::mint(time_point now,
                                              std::size_t count) {
    std::vector<std::string> tickets;
    for (std::size_t n = 0; n < count; ++n)
        tickets.push_back(coordination::to_text(table_.mint(now), keys_));
    counters_.minted += count;
    return tickets;
}

void ticket_handler::submit(time_point now, const call_request& request,
                            response_hook on_response) {
    const auto t = coordination::parse_ticket(request.ticket, keys_);
    if (!t.ok()) {
        ++counters_.rejected;
        on_response(request,
                    rejection(outcome::not_run, error_code::ticket_forged,
                              "the ticket was not minted by this deployment"));
        return;
    }
    if (t->home != self_) {
        calls_.forward_to_ticket_home(now, request, t->home,
                                      std::move(on_response));
        return;
    }
    const auto result = table_.claim(now, *t, request_digest(request));
    switch (result) {
    case claim_result::dispatch:
        dispatch(now, *t, request, std::move(on_response));
        break;
    case claim_result::wait:
        ++counters_.duplicates;
        waiters_[t->sequence].push_back({request, std::move(on_response)});
        break;
    case claim_result::completed:
        ++counters_.duplicates;
        on_response(request, response_of(*table_.response(*t)));
        break;
    default:
        ++counters_.rejected;
        on_response(request, rejection_of(result));
        break;
    }
}

void ticket_handler::dispatch(time_point now, const ticket& t,
                              const call_request& request,
                              response_hook on_response) {
    ++counters_.dispatched;
    waiters_[t.sequence].push_back({request, std::move(on_response)});
    auto first_request = request;
    first_request.is_idempotent = false;
    calls_.start(now, first_request,
                 [this, t](const call_request&, const call_response& response) {
                     complete(t, response);
                 });
}

void ticket_handler::complete(const ticket& t, const call_response& response) {
    table_.complete(t, stored_response_of(response));
    const auto it = waiters_.find(t.sequence);
    if (it == waiters_.end())
        return;
    const auto waiters = std::move(it->second);
    waiters_.erase(it);
    for (const auto& waiter : waiters)
        waiter.on_response(waiter.request, response);
}

void ticket_handler::cancel(time_point now, const call_request& request,
                            response_hook on_response) {
    const auto t = coordination::parse_ticket(request.ticket, keys_);
    if (!t.ok()) {
        ++counters_.rejected;
        on_response(request,
                    rejection(outcome::not_run, error_code::ticket_forged,
                              "the ticket was not minted by this deployment"));
        return;
    }
    if (t->home != self_) {
        calls_.cancel_ticket(now, request, t->home, std::move(on_response));
        return;
    }
    if (!table_.cancel(now, *t)) {
        on_response(request, rejection(outcome::unknown, error_code::conflict,
                                       "the ticket was already used"));
        return;
    }
    ++counters_.cancelled;
    call_response response;
    response.what = outcome::not_run;
    response.why = error_code::cancelled;
    response.status = 200;
    response.body = "the request was not run and never will be\n";
    on_response(request, response);
}

void ticket_handler::tick(time_point now) {
    table_.remove_expired(now);
}

} // namespace redwingwind::engine
