#include "relay_daemon.hpp"

#include <redwingwind/common/hash.hpp>
#include <redwingwind/coordination/rendezvous.hpp>
#include <redwingwind/platform_adapter/calls.hpp>
#include <redwingwind/platform_adapter/heartbeat.hpp>
#include <redwingwind/platform_adapter/policy_document.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace redwingwind::node {
namespace {

using coordination::config_frame;
using coordination::member_record;
using coordination::outcome;
using coordination::relay_call_frame;
using coordination::relay_reply_frame;
using coordination::target_state;

constexpr long store_idle_connections = 4;
constexpr auto least_timer = std::chrono::milliseconds(1);
constexpr auto stop_poll = std::chrono::milliseconds(50);
constexpr std::size_t records_per_view_frame = 500;
/// The operator's configuration is one graph as far as its spreading goes.
const graph_name operator_graph{"operator"};
/// A node that knows no other is ready after this all the same: it may be
/// the only one.
constexpr duration alone_after = std::chrono::seconds(2);
/// From the stop signal on callers are still served this long: they are sent
/// elsewhere only after they saw that this node is not ready.
constexpr duration least_stop_time = std::chrono::milliseconds(2500);
/// Callers that have no other node to go to are served meanwhile. What came
/// in this time and lasts too long is nobody's fault; after it only calls are
/// taken that can be finished.
constexpr duration any_calls_time = std::chrono::milliseconds(2900);
/// Calls that usually end by this long before the end are taken.
constexpr duration last_answers_time = std::chrono::milliseconds(300);
/// How often the settings file is looked at: it may change without a signal.
constexpr duration file_interval = std::chrono::seconds(1);
/// How often a node writes the state that its decisions come from.
constexpr duration state_interval = std::chrono::seconds(5);
/// Then each answer closes its connection for this long.
constexpr duration least_closing_time = std::chrono::milliseconds(800);

http_response plain(int status) {
    return {status, {}, ""};
}

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

} // namespace

relay_daemon::relay_daemon(relay_settings settings)
    : settings_(std::move(settings)), random_(make_random(random_seed())),
      started_(steady_now()) {
    store_client_ =
        std::make_unique<io::http_client>(loop_, store_idle_connections);
    members_ = std::make_unique<coordination::membership>(
        settings_.membership, settings_.self, membership_hooks());
    configs_ = std::make_unique<coordination::config_spread>(spread_hooks());
    sender_ = std::make_unique<relay::sender>(settings_.sender, sender_hooks());
    runner_ = std::make_unique<relay::runner>(settings_.runner, runner_hooks());
    io::stream_client_options to_target;
    to_target.ip = settings_.target.ip;
    to_target.port = settings_.target.port;
    target_ = std::make_unique<io::stream_client>(loop_, to_target);
    links_ = std::make_unique<peer_links>(
        loop_, settings_.keys, settings_.self.id, settings_.self.where,
        settings_.links, link_hooks());
    datagrams_ = std::make_unique<datagram_socket>(
        loop_, settings_.keys, settings_.self.where,
        [this](const coordination::address& from,
               const coordination::datagram& message) {
            members_->receive(steady_now(), from, message);
            wake();
        });
    open_servers();
    for (const auto& it : settings_.contacts)
        members_->add_contact(it);
    agent_ = std::make_unique<platform_agent>(
        settings_.agent,
        platform_adapter::object_client(
            *store_client_,
            {settings_.agent.store_url, std::chrono::milliseconds(1500)}),
        settings_.self.where, agent_hooks());
    agent_->start();
    loop_.on_stop_signal([this] { begin_stop(); });
    loop_.on_reload_signal([this] { reload(); });
    look_at_file();
}

void relay_daemon::open_servers() {
    io::stream_limits limits;
    limits.most_connections = settings_.most_callers;
    limits.most_held_bytes = settings_.most_held_bytes;
    outbound_ = std::make_unique<io::stream_server>(
        loop_, settings_.outbound, limits,
        io::stream_server::hooks{
            [this](io::stream_server::arrival a) { on_outbound(std::move(a)); },
            [this](io::stream_server::exchange_id exchange) {
                sender_->on_gone(steady_now(), exchange);
                wake();
            }});
    const auto ignore = [](io::stream_server::exchange_id) {};
    readiness_ = std::make_unique<io::stream_server>(
        loop_, settings_.readiness, io::stream_limits{},
        io::stream_server::hooks{
            [this](const io::stream_server::arrival& a) {
                readiness_->respond(
                    a.exchange,
                    plain(is_ready() ? status_ok : status_unavailable));
            },
            ignore});
    announce_ = std::make_unique<io::stream_server>(
        loop_, settings_.announce, io::stream_limits{},
        io::stream_server::hooks{
            [this](const io::stream_server::arrival& a) { on_announce(a); },
            ignore});
    if (settings_.metrics.port == 0)
        return;
    metrics_server_ = std::make_unique<io::stream_server>(
        loop_, settings_.metrics, io::stream_limits{},
        io::stream_server::hooks{
            [this](const io::stream_server::arrival& a) {
                metrics_server_->respond(
                    a.exchange,
                    {status_ok,
                     {{"Content-Type", "text/plain; version=0.0.4"}},
                     metrics_.text(gauges())});
            },
            ignore});
}

void relay_daemon::run() {
    log_event(log_channel::node, log_level::info, "started",
              {{"node", settings_.self.id.name.value},
               {"service", settings_.self.service.value},
               {"domain", settings_.self.domain.value}});
    log_state();
    wake();
    loop_.run();
    log_event(log_channel::node, log_level::info, "stopped");
}

// Hooks ---------------------------------------------------------------------

coordination::membership::hooks relay_daemon::membership_hooks() {
    coordination::membership::hooks h;
    h.send = [this](const coordination::address& to,
                    const coordination::datagram& message) {
        datagrams_->send(to, message);
    };
    h.exchange_views = [this](const member_record& with) {
        send_view(with, true);
    };
    h.on_change = [this](const member_record& record) { on_member(record); };
    h.on_config = [this](const member_record& from,
                         const coordination::config_news& news) {
        configs_->on_news(steady_now(), from, news);
    };
    h.on_config_mismatch = [this](const member_record& with) {
        configs_->exchange(with);
    };
    h.generation_of = [this](const graph_name& graph) {
        const auto* known = configs_->find(graph);
        return known == nullptr ? 0 : known->generation;
    };
    h.on_census = [](const node_life&, const coordination::config_news&) {};
    h.random = random_;
    return h;
}

coordination::config_spread::hooks relay_daemon::spread_hooks() {
    coordination::config_spread::hooks h;
    h.send = [this](const member_record& to,
                    const coordination::frame& message) {
        links_->send(to, message);
    };
    h.spread = [this](const coordination::config_news& news) {
        members_->set_config_digest(configs_->content_digest());
        members_->spread(news);
    };
    h.on_accept = [this](const config_frame& config) { on_policy(config); };
    return h;
}

relay::sender::hooks relay_daemon::sender_hooks() {
    relay::sender::hooks h;
    h.send = [this](const node_name& to, const relay_call_frame& call) {
        if (to == settings_.self.id.name) {
            loop_.defer([this, call] {
                runner_->on_call(steady_now(), settings_.self.id, call);
                wake();
            });
            return;
        }
        const auto* record = members_->find(to);
        if (record != nullptr) {
            links_->send(*record, call);
            return;
        }
        loop_.defer(
            [this, to] { sender_->on_unreachable(steady_now(), to, false); });
    };
    h.cancel = [this](const node_name& to,
                      const coordination::cancel_frame& cancel) {
        if (to == settings_.self.id.name) {
            runner_->on_cancel(steady_now(), settings_.self.id,
                               cancel.sequence);
            return;
        }
        const auto* record = members_->find(to);
        if (record != nullptr)
            links_->send(*record, cancel);
    };
    h.answer = [this](relay::exchange_id exchange,
                      const relay::call_answer& answer) {
        outbound_->respond(exchange, platform_adapter::encode_answer(answer));
    };
    h.on_event = [this](const relay::call_event& event) {
        log_.call(steady_now(), event);
    };
    h.on_ended = [this](const relay::ended_call& call) {
        metrics_.on_call(call);
    };
    h.repeat_share = [this] { return runner_->repeat_share(); };
    h.random = random_;
    return h;
}

relay::runner::hooks relay_daemon::runner_hooks() {
    relay::runner::hooks h;
    h.dispatch = [this](const relay::target_call& call) { dispatch(call); };
    h.abort = [this](std::uint64_t execution) {
        const auto it = at_target_.find(execution);
        if (it == at_target_.end())
            return;
        target_->cancel(it->second);
        at_target_.erase(it);
    };
    h.reply = [this](const node_life& to, const relay_reply_frame& reply) {
        if (to == settings_.self.id) {
            loop_.defer([this, reply] { receive(settings_.self.id, reply); });
            return;
        }
        links_->send_back(to, reply);
    };
    h.strains_below = [this](time_point now, const std::string& route) {
        return sender_->strains_below(now, route);
    };
    h.on_run = [this](time_point now, const std::string& route) {
        sender_->on_run(now, route);
    };
    h.on_target = [this](target_state state, std::uint32_t slots) {
        on_target(state, slots);
    };
    h.on_event = [this](const relay::call_event& event) {
        log_.call(steady_now(), event);
    };
    h.on_ended = [this](const relay::ended_run& run) { metrics_.on_run(run); };
    return h;
}

peer_links::hooks relay_daemon::link_hooks() {
    peer_links::hooks h;
    h.on_frame = [this](const node_life& from,
                        const coordination::frame& message) {
        on_frame(from, message);
    };
    h.on_down = [this](const node_life& node, bool was_connected) {
        sender_->on_unreachable(steady_now(), node.name, was_connected);
        wake();
    };
    h.on_caller_gone = [this](const node_life& node) {
        runner_->on_caller_gone(steady_now(), node);
        wake();
    };
    h.on_rejected = [](const std::string& why) {
        log_event(log_channel::peer, log_level::warn, "link_rejected",
                  {{"why", why}});
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
    };
    h.live_peers = [this] { return members_->live_count(); };
    h.on_store = [](bool is_back, const absl::Status& status) {
        log_event(log_channel::store, log_level::warn,
                  is_back ? "store_regained" : "store_lost",
                  {{"why", std::string(to_string(code_of(status)))},
                   {"detail", std::string(status.message())}});
    };
    return h;
}

// Calls -----------------------------------------------------------------------

void relay_daemon::on_outbound(io::stream_server::arrival arrival) {
    auto call = platform_adapter::decode_call(std::move(arrival));
    sender_->on_call(steady_now(), std::move(call));
    wake();
}

void relay_daemon::dispatch(const relay::target_call& call) {
    const auto execution = call.execution;
    at_target_[execution] = target_->start(
        platform_adapter::encode_target_call(call, runner_->instance()),
        [this, execution](io::stream_result result) {
            at_target_.erase(execution);
            runner_->target_ended(
                steady_now(), execution,
                platform_adapter::decode_target_answer(std::move(result)));
            wake();
        });
}

void relay_daemon::on_frame(const node_life& from,
                            const coordination::frame& message) {
    std::visit([&](const auto& it) { receive(from, it); }, message);
    wake();
}

void relay_daemon::receive(const node_life& from,
                           const relay_call_frame& call) {
    runner_->on_call(steady_now(), from, call);
}

void relay_daemon::receive(const node_life& from,
                           const relay_reply_frame& reply) {
    sender_->on_reply(steady_now(), from.name, reply);
}

void relay_daemon::receive(const node_life& from,
                           const coordination::cancel_frame& cancel) {
    runner_->on_cancel(steady_now(), from, cancel.sequence);
}

// Nodes together
// ----------------------------------------------------------------

void relay_daemon::receive(const node_life& from,
                           const coordination::view_frame& view) {
    members_->merge(steady_now(), view.members);
    const auto* record = members_->find(from.name);
    if (view.wants_answer && record != nullptr)
        send_view(*record, false);
}

void relay_daemon::receive(const node_life& from,
                           const coordination::config_summary_frame& summary) {
    if (const auto* record = members_->find(from.name))
        configs_->on_summary(*record, summary);
}

void relay_daemon::receive(const node_life&, const config_frame& config) {
    if (config.graph == operator_graph && offer_config(config.body))
        agent_->told_elsewhere();
}

void relay_daemon::send_view(const member_record& to, bool wants_answer) {
    auto records = members_->all();
    records.push_back(members_->self());
    for (std::size_t n = 0; n < records.size(); n += records_per_view_frame) {
        const auto end = std::min(n + records_per_view_frame, records.size());
        coordination::view_frame view;
        view.members.assign(records.begin() + static_cast<std::ptrdiff_t>(n),
                            records.begin() + static_cast<std::ptrdiff_t>(end));
        view.wants_answer = wants_answer && end == records.size();
        links_->send(to, view);
    }
}

void relay_daemon::on_member(const member_record& record) {
    const auto& name = record.id.name;
    sender_->set_live_nodes(members_ ? members_->live_count() + 1 : 1);
    const bool is_here = !coordination::is_gone(record.state);
    if (is_here) {
        // Another life has the address now, whose name was not heard before.
        auto& at = name_at_[record.where];
        if (at != name && !at.value.empty())
            sender_->remove_target(at);
        at = name;
    } else if (const auto it = name_at_.find(record.where);
               it != name_at_.end() && it->second == name) {
        name_at_.erase(it);
    }
    if (is_here && record.target == target_state::ready)
        sender_->add_target(record.service,
                            {name, record.domain, record.slots});
    else
        sender_->remove_target(name);
    if (record.state == coordination::member_state::dead) {
        links_->drop(record.id);
        sender_->on_unreachable(steady_now(), name, true);
    }
}

void relay_daemon::on_target(target_state state, std::uint32_t slots) {
    const auto& self = settings_.self;
    members_->set_target(steady_now(), self.service, slots, state);
    if (state == target_state::ready)
        sender_->add_target(self.service, {self.id.name, self.domain, slots});
    else
        sender_->remove_target(self.id.name);
}

void relay_daemon::on_announce(const io::stream_server::arrival& arrival) {
    announce_->respond(arrival.exchange, announced(arrival.request));
    wake();
}

http_response relay_daemon::announced(const http_request& request) {
    const auto instance = platform_adapter::instance_of_path(request.target);
    if (instance.empty())
        return plain(status_not_found);
    const auto now = steady_now();
    if (request.method == "DELETE") {
        runner_->withdraw_target(now, instance);
        return plain(status_ok);
    }
    const auto said =
        platform_adapter::decode_heartbeat(instance, request.body);
    if (!said.ok()) {
        log_event(log_channel::node, log_level::warn, "heartbeat_unreadable",
                  {{"instance", instance},
                   {"why", std::string(said.status().message())}});
        return plain(status_bad_request);
    }
    const auto before = runner_->instance();
    runner_->announce(now, *said);
    if (runner_->instance() != before) {
        target_->drop_idle();
        log_event(log_channel::node, log_level::info, "target_started",
                  {{"instance", instance}, {"slots", said->slots}});
    }
    return {status_ok, {{"Content-Type", "application/json"}}, "{}"};
}

bool relay_daemon::offer_config(const std::string& text) {
    const auto policy = platform_adapter::decode_policy(text);
    if (!policy.ok()) {
        log_event(log_channel::configuration, log_level::warn,
                  "configuration_unreadable",
                  {{"why", std::string(policy.status().message())}});
        return false;
    }
    config_frame config;
    config.graph = operator_graph;
    config.generation = policy->version;
    config.body = text;
    return configs_->offer(config);
}

void relay_daemon::on_policy(const config_frame& config) {
    auto policy = platform_adapter::decode_policy(config.body);
    if (!policy.ok())
        return;
    io::stream_limits limits;
    limits.message = {
        policy->limits.most_header_bytes,
        std::min(policy->limits.most_body_bytes, settings_.most_held_bytes)};
    limits.request_timeout = policy->limits.request_timeout;
    limits.idle_timeout = policy->limits.idle_timeout;
    limits.most_connections = settings_.most_callers;
    limits.most_held_bytes = settings_.most_held_bytes;
    outbound_->set_limits(limits);
    log_event(
        log_channel::configuration, log_level::info, "in_force",
        {{"version", policy->version}, {"routes", policy->routes.size()}});
    policy_since_ = steady_now();
    sender_->set_policy(
        std::make_shared<const relay::traffic_policy>(*std::move(policy)));
}

bool relay_daemon::is_ready() const {
    if (is_stopping_ || sender_->policy_version() == 0)
        return false;
    return members_->live_count() > 0 || steady_now() - started_ > alone_after;
}

// Time ------------------------------------------------------------------------

void relay_daemon::wake() {
    const auto now = steady_now();
    auto due = std::min(members_->next_due(), sender_->next_due());
    due = std::max(std::min(due, runner_->next_due()),
                   now + duration(least_timer));
    if (timer_ != 0 && timer_due_ <= due)
        return;
    loop_.cancel(timer_);
    timer_due_ = due;
    timer_ = loop_.after(due - now, [this] { tick(); });
}

void relay_daemon::tick() {
    timer_ = 0;
    const auto now = steady_now();
    members_->tick(now);
    sender_->tick(now);
    runner_->tick(now);
    wake();
}

void relay_daemon::log_state() {
    const auto now = steady_now();
    const auto load = runner_->load();
    nlohmann::json thinned = nlohmann::json::object();
    for (const auto& it : sender_->roots().depths())
        thinned[it.service.value] = {{"strain", it.strain},
                                     {"depth", it.depth}};
    nlohmann::json calls = nlohmann::json::array();
    for (const auto& it : sender_->attribution().weights())
        calls.push_back({{"route", it.route},
                         {"service", it.service.value},
                         {"calls_per_run", it.calls_per_run}});
    log_event(log_channel::node, log_level::info, "state",
              {{"running", load.running},
               {"queued", load.queued},
               {"limit", load.limit},
               {"strain", runner_->strain(now)},
               {"live_nodes", members_->live_count() + 1},
               {"version", sender_->policy_version()},
               {"open_calls", sender_->open_calls()},
               {"thinned_out", thinned},
               {"calls_of_runs", calls}});
    loop_.after(state_interval, [this] { log_state(); });
}

relay_gauges relay_daemon::gauges() {
    const auto now = steady_now();
    relay_gauges it;
    it.live_nodes = members_->live_count() + 1;
    it.open_calls = sender_->open_calls();
    it.policy_version = sender_->policy_version();
    if (it.policy_version != 0)
        it.policy_age = now - policy_since_;
    it.is_store_reached = agent_->is_store_reached();
    it.store_calls = agent_->counters().calls;
    it.log_lines_left_out = log_.left_out();
    it.target = runner_->load();
    it.target_strain = runner_->strain(now);
    it.services = sender_->targets(now);
    return it;
}

void relay_daemon::reload() {
    if (settings_.file.empty())
        return;
    auto status = reload_flags(settings_.file, relay_ranges());
    auto read = status.ok() ? read_relay_settings()
                            : absl::StatusOr<relay_settings>(status);
    if (!read.ok()) {
        log_event(log_channel::node, log_level::warn, "settings_kept",
                  {{"why", std::string(read.status().message())}});
        return;
    }
    settings_.stop_time = read->stop_time;
    settings_.sender.repeats = read->sender.repeats;
    sender_->set_repeats(read->sender.repeats);
    log_event(log_channel::node, log_level::info, "settings_reloaded");
}

void relay_daemon::look_at_file() {
    if (settings_.file.empty())
        return;
    std::error_code ec;
    const auto changed = std::filesystem::last_write_time(settings_.file, ec);
    const bool is_first = file_time_ == std::filesystem::file_time_type{};
    if (!ec && changed != file_time_) {
        file_time_ = changed;
        if (!is_first)
            reload();
    }
    loop_.after(file_interval, [this] { look_at_file(); });
}

void relay_daemon::begin_stop() {
    if (is_stopping_)
        return;
    is_stopping_ = true;
    stop_since_ = steady_now();
    log_event(log_channel::node, log_level::info, "stopping",
              {{"open_calls", sender_->open_calls()},
               {"running_calls", runner_->open_calls()}});
    runner_->stop();
    agent_->leave();
    check_stop();
}

void relay_daemon::check_stop() {
    const auto passed = steady_now() - stop_since_;
    if (passed > least_stop_time)
        outbound_->close_gradually();
    if (passed > std::min(any_calls_time, settings_.stop_time / 2))
        sender_->stop_by(stop_since_ + settings_.stop_time - last_answers_time);
    const bool is_idle = sender_->open_calls() == 0 &&
                         runner_->open_calls() == 0 &&
                         outbound_->open_exchanges() == 0;
    if ((is_idle && passed > least_stop_time + least_closing_time) ||
        passed > settings_.stop_time) {
        members_->leave(steady_now());
        loop_.after(stop_poll, [this] { loop_.stop(); });
        return;
    }
    loop_.after(stop_poll, [this] { check_stop(); });
}

} // namespace redwingwind::node
