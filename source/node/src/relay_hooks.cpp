// What the parts of relay_daemon ask of each other.

#include "relay_daemon.hpp"

#include <redwingwind/coordination/rendezvous.hpp>
#include <redwingwind/platform_adapter/calls.hpp>

#include <algorithm>
#include <utility>

namespace redwingwind::node {

using coordination::config_frame;
using coordination::member_record;
using coordination::relay_call_frame;
using coordination::relay_reply_frame;
using coordination::target_state;

coordination::membership::hooks relay_daemon::membership_hooks() {
    coordination::membership::hooks h;
    h.send = [this](const coordination::address& to,
                    const coordination::datagram& message) {
        datagrams_->send(to, message);
    };
    h.exchange_views = [this](const member_record& with) {
        views_->start(with);
    };
    h.on_change = [this](const member_record& record) { on_member(record); };
    h.on_config = [this](const member_record& from,
                         const coordination::config_generation& news) {
        configs_->on_gossip(steady_now(), from, news);
    };
    h.on_config_mismatch = [this](const member_record& with) {
        configs_->exchange(with);
    };
    h.generation_of = [this](const graph_name& graph) {
        const auto* known = configs_->find(graph);
        return known == nullptr ? 0 : known->generation;
    };
    h.on_census = [](const node_incarnation&,
                     const coordination::config_generation&) {};
    h.random = random_;
    return h;
}

coordination::config_replicator::hooks relay_daemon::replicator_hooks() {
    coordination::config_replicator::hooks h;
    h.send = [this](const member_record& to,
                    const coordination::frame& message) {
        links_->send(to, message);
    };
    h.gossip = [this](const coordination::config_generation& news) {
        members_->set_config_digest(configs_->content_digest());
        members_->gossip(news);
    };
    h.on_accept = [this](const config_frame& config) { on_policy(config); };
    return h;
}

relay::call_router::hooks relay_daemon::call_router_hooks() {
    relay::call_router::hooks h;
    h.send = [this](const node_name& to, relay_call_frame& call) {
        if (to == settings_.self.id.name) {
            loop_.defer([this, copy = call]() mutable {
                target_dispatcher_->on_call(steady_now(), settings_.self.id,
                                            std::move(copy));
                wake();
            });
            return;
        }
        const auto* record = members_->find(to);
        if (record != nullptr) {
            coordination::frame message(std::move(call));
            links_->send(*record, message);
            call = std::get<relay_call_frame>(std::move(message));
            return;
        }
        loop_.defer([this, sequence = call.sequence] {
            call_router_->on_not_sent(steady_now(), sequence);
            wake();
        });
    };
    h.cancel = [this](const node_name& to,
                      const coordination::cancel_frame& cancel) {
        if (to == settings_.self.id.name) {
            target_dispatcher_->on_cancel(steady_now(), settings_.self.id,
                                          cancel.sequence);
            return;
        }
        const auto* record = members_->find(to);
        if (record != nullptr)
            links_->send_if_open(record->id, cancel);
    };
    h.answer = [this](relay::exchange_id exchange, relay::call_result answer) {
        outbound_->respond(exchange,
                           platform_adapter::encode_answer(std::move(answer)));
    };
    h.on_event = [this](const relay::call_event& event) {
        log_.call(steady_now(), event);
        metrics_.on_event(event);
    };
    h.on_finished = [this](const relay::finished_call& call) {
        metrics_.on_call(call);
    };
    h.retried_share = [this] { return target_dispatcher_->retried_share(); };
    h.take_allowance = [this](time_point now, const owner_name& owner,
                              relay::exchange_id exchange) {
        return owner_limiter_->take(now, owner, exchange);
    };
    h.cancel_allowance = [this](const owner_name& owner,
                                relay::exchange_id exchange) {
        owner_limiter_->cancel(owner, exchange);
    };
    h.return_allowance = [this](time_point now, const owner_name& owner,
                                std::uint32_t source) {
        owner_limiter_->give_back(now, owner, source);
    };
    h.random = random_;
    return h;
}

relay::target_dispatcher::hooks relay_daemon::target_dispatcher_hooks() {
    relay::target_dispatcher::hooks h;
    h.dispatch = [this](relay::target_call call) { dispatch(std::move(call)); };
    h.abort = [this](std::uint64_t execution) {
        const auto it = at_target_.find(execution);
        if (it == at_target_.end())
            return;
        target_->cancel(it->second);
        at_target_.erase(it);
    };
    h.reply = [this](const node_incarnation& to, relay_reply_frame reply) {
        if (to == settings_.self.id) {
            loop_.defer([this, reply = std::move(reply)]() mutable {
                receive(settings_.self.id, std::move(reply));
            });
            return;
        }
        links_->send_back(to, coordination::frame(std::move(reply)));
    };
    h.downstream_offered_loads = [this](time_point now,
                                        const std::string& route) {
        return call_router_->downstream_offered_loads(now, route);
    };
    h.on_execution_start = [this](time_point now, const std::string& route) {
        call_router_->on_execution_start(now, route);
    };
    h.on_execution_end = [this](time_point now, const std::string& route,
                                duration took) {
        call_router_->on_execution_end(now, route, took);
    };
    h.on_target_state = [this](target_state state, std::uint32_t slots) {
        on_target(state, slots);
    };
    h.on_event = [this](const relay::call_event& event) {
        log_.call(steady_now(), event);
    };
    h.on_finished = [this](const relay::finished_execution& run) {
        metrics_.on_run(run);
    };
    return h;
}

peer_links::hooks relay_daemon::link_hooks() {
    peer_links::hooks h;
    h.on_frame = [this](const node_incarnation& from,
                        coordination::frame message) {
        on_frame(from, std::move(message));
    };
    h.on_down = [this](const node_incarnation& node, bool was_connected) {
        call_router_->on_unreachable(steady_now(), node.name, was_connected);
        wake();
    };
    h.on_caller_gone = [this](const node_incarnation& node) {
        target_dispatcher_->on_caller_gone(steady_now(), node);
        wake();
    };
    h.on_rejected = [](const std::string& why) {
        log_event(log_channel::peer, log_level::warn, "link_rejected",
                  {{"why", why}});
    };
    h.on_greeted = [this](const node_incarnation& node,
                          const coordination::address& at, time_point since) {
        on_greeted(node, at, since);
        wake();
    };
    h.on_undelivered = [](const node_incarnation& to) {
        log_event(log_channel::peer, log_level::warn, "reply_undelivered",
                  {{"to", to.name.value}});
    };
    h.on_stalled = [](const node_incarnation& to, std::size_t unsent) {
        log_event(log_channel::peer, log_level::warn, "link_stalled",
                  {{"to", to.name.value}, {"unsent_bytes", unsent}});
    };
    h.random = random_;
    return h;
}

platform_agent::hooks relay_daemon::agent_hooks() {
    platform_agent::hooks h;
    h.after = [this](duration delay, std::function<void()> callback) {
        loop_.after(delay, std::move(callback));
    };
    h.random = random_;
    h.on_config = [this](const std::string& text) {
        offer_config(text);
        wake();
    };
    h.is_holder = [this] {
        const auto holders = coordination::choose_holders(
            members_->live_in(settings_.self.domain), "configuration",
            settings_.agent.holders);
        return std::find(holders.begin(), holders.end(),
                         settings_.self.id.name) != holders.end();
    };
    h.on_contact = [this](const coordination::address& where) {
        members_->add_contact(where);
        if (where != settings_.self.endpoint && contacts_.insert(where).second)
            update_fleet();
    };
    h.on_list = [this](bool is_only_listed) {
        if (std::exchange(is_only_listed_, is_only_listed) != is_only_listed)
            update_fleet();
    };
    h.live_peers = [this] { return members_->live_count(); };
    h.on_store = [](bool is_back, const absl::Status& status) {
        log_event(log_channel::store, log_level::warn,
                  is_back ? "store_regained" : "store_lost",
                  {{"why", std::string(to_string(code_of(status)))},
                   {"detail", std::string(status.message())}});
    };
    h.on_era = [](std::uint64_t before, std::uint64_t now) {
        log_event(log_channel::store, log_level::warn, "store_era_changed",
                  {{"before", before}, {"era", now}});
    };
    return h;
}

} // namespace redwingwind::node
