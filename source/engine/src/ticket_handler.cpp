#include <redwingwind/engine/ticket_handler.hpp>

#include <redwingwind/common/hash.hpp>

#include <utility>

namespace redwingwind::engine {
namespace {

using coordination::claim_result;
using coordination::stored_response;
using coordination::ticket;

/// What must be alike for two requests to be the same one.
std::uint64_t content_digest(const call_request& request) {
    auto n = digest(request.service.value);
    n = digest(request.method, n);
    n = digest(request.path, n);
    n = digest(request.owner.value, n);
    return digest(request.body, n);
}

call_response reply_of(const stored_response& answer) {
    if (answer.what != outcome::done)
        return rejection(answer.what, answer.why,
                         "the first attempt ended like this");
    return {answer.what,         answer.why,  answer.status,
            answer.content_type, answer.body, 0};
}

stored_response answer_of(const call_response& reply) {
    return {reply.what, reply.why, static_cast<std::uint16_t>(reply.status),
            reply.content_type, reply.body};
}

call_response refusal_of(claim_result result) {
    switch (result) {
    case claim_result::cancelled:
        return rejection(outcome::not_run, error_code::cancelled,
                         "the ticket was cancelled before use");
    case claim_result::expired:
        return rejection(outcome::unknown, error_code::ticket_expired,
                         "an earlier use would be forgotten by now");
    case claim_result::reused:
        return rejection(outcome::unknown, error_code::ticket_reused,
                         "the ticket was used for another request");
    case claim_result::full:
        return rejection(outcome::not_run, error_code::ticket_table_full,
                         "too many tickets in use");
    default:
        return rejection(outcome::unknown, error_code::ticket_home_gone,
                         "the node that gave the ticket is gone");
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
    std::vector<std::string> texts;
    for (std::size_t n = 0; n < count; ++n)
        texts.push_back(coordination::to_text(table_.mint(now), keys_));
    counters_.minted += count;
    return texts;
}

void ticket_handler::submit(time_point now, const call_request& request,
                            response_hook on_reply) {
    const auto t = coordination::parse_ticket(request.ticket, keys_);
    if (!t.ok()) {
        ++counters_.rejected;
        on_reply(request, rejection(outcome::not_run, error_code::ticket_forged,
                                    "not a ticket of this deployment"));
        return;
    }
    if (t->home != self_) {
        calls_.forward_to_ticket_home(now, request, t->home,
                                      std::move(on_reply));
        return;
    }
    const auto result = table_.claim(now, *t, content_digest(request));
    switch (result) {
    case claim_result::dispatch:
        dispatch(now, *t, request, std::move(on_reply));
        break;
    case claim_result::wait:
        ++counters_.duplicates;
        waiters_[t->sequence].push_back({request, std::move(on_reply)});
        break;
    case claim_result::completed:
        ++counters_.duplicates;
        on_reply(request, reply_of(*table_.response(*t)));
        break;
    default:
        ++counters_.rejected;
        on_reply(request, refusal_of(result));
        break;
    }
}

void ticket_handler::dispatch(time_point now, const ticket& t,
                              const call_request& request,
                              response_hook on_reply) {
    ++counters_.dispatched;
    waiters_[t.sequence].push_back({request, std::move(on_reply)});
    auto once = request;
    once.is_idempotent = false;
    calls_.start(now, once,
                 [this, t](const call_request&, const call_response& reply) {
                     on_answer(t, reply);
                 });
}

void ticket_handler::on_answer(const ticket& t, const call_response& reply) {
    table_.complete(t, answer_of(reply));
    const auto it = waiters_.find(t.sequence);
    if (it == waiters_.end())
        return;
    const auto waiting = std::move(it->second);
    waiters_.erase(it);
    for (const auto& one : waiting)
        one.on_reply(one.request, reply);
}

void ticket_handler::cancel(time_point now, const call_request& request,
                            response_hook on_reply) {
    const auto t = coordination::parse_ticket(request.ticket, keys_);
    if (!t.ok()) {
        ++counters_.rejected;
        on_reply(request, rejection(outcome::not_run, error_code::ticket_forged,
                                    "not a ticket of this deployment"));
        return;
    }
    if (t->home != self_) {
        calls_.cancel_ticket(now, request, t->home, std::move(on_reply));
        return;
    }
    if (!table_.cancel(now, *t)) {
        on_reply(request, rejection(outcome::unknown, error_code::conflict,
                                    "the ticket was used already"));
        return;
    }
    ++counters_.cancelled;
    call_response reply;
    reply.what = outcome::not_run;
    reply.why = error_code::cancelled;
    reply.status = 200;
    reply.body = "the request was not run and never will be\n";
    on_reply(request, reply);
}

void ticket_handler::tick(time_point now) {
    table_.remove_expired(now);
}

} // namespace redwingwind::engine
