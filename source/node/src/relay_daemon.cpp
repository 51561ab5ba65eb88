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
/// For the last answers to leave.
constexpr auto last_answers_time = std::chrono::milliseconds(50);
constexpr auto stop_poll = std::chrono::milliseconds(50);
/// The operator's configuration is one graph as far as its spreading goes.
const graph_name operator_graph{"operator"};
/// A node that knows no other is ready after this all the same: it may be
/// the only one.
constexpr duration alone_after = std::chrono::seconds(2);
constexpr std::uint64_t us_per_ms = 1000;
/// How often a node writes the state that its decisions come from.
constexpr duration state_interval = std::chrono::seconds(5);
http_response plain(int status) {
    return {status, {}, ""};
}

/// Callers in their usual pace are served again within about this time.
/// Bodies are bounded alike on nodes with more memory: the node that gets one
/// over a link may have less.
constexpr std::size_t max_relayed_body_bytes = std::size_t{64} << 20U;
constexpr duration memory_retry_after = std::chrono::milliseconds(500);
/// A crowd closes many connections a second; one line tells of them.
constexpr duration memory_log_interval = std::chrono::milliseconds(100);
constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

} // namespace

relay_daemon::relay_daemon(relay_settings settings)
    : settings_(std::move(settings)), memory_(settings_.memory_bytes),
      random_(make_random(random_seed())), log_(settings_.self.id.name),
      stop_(settings_.stop_time), started_(steady_now()),
      started_wall_ms_(wall_microseconds() / us_per_ms) {
    store_client_ =
        std::make_unique<io::http_client>(loop_, store_idle_connections);
    members_ = std::make_unique<coordination::membership>(
        settings_.membership, settings_.self, membership_hooks());
    views_ = std::make_unique<coordination::view_exchange>(
        *members_,
        [this](const member_record& to, const coordination::frame& message) {
            links_->send(to, message);
        });
    configs_ =
        std::make_unique<coordination::config_replicator>(replicator_hooks());
    owner_limiter_ = std::make_unique<coordination::owner_limiter>(
        settings_.allowances, settings_.self.id.name, owner_limiter_hooks());
    call_router_ = std::make_unique<relay::call_router>(settings_.call_router,
                                                        call_router_hooks());
    target_dispatcher_ = std::make_unique<relay::target_dispatcher>(
        settings_.target_dispatcher, target_dispatcher_hooks());
    io::stream_client_options to_target;
    to_target.ip = settings_.target.ip;
    to_target.port = settings_.target.port;
    to_target.max_response_body_bytes =
        std::min(memory_.max_body_bytes(), max_relayed_body_bytes);
    to_target.max_buffered_bytes = memory_.capacity();
    to_target.memory = &memory_;
    target_ = std::make_unique<io::stream_client>(loop_, to_target);
    settings_.links.memory = &memory_;
    links_ = std::make_unique<peer_links>(
        loop_, settings_.keys, settings_.self.id, settings_.self.endpoint,
        settings_.links, link_hooks());
    datagrams_ = std::make_unique<datagram_socket>(
        loop_, settings_.keys, settings_.self.endpoint,
        [this](const coordination::address& from,
               const coordination::datagram& message) {
            members_->receive(steady_now(), from, message);
            wake();
        });
    open_servers();
    for (const auto& it : settings_.contacts) {
        members_->add_contact(it);
        contacts_.insert(it);
    }
    agent_ = std::make_unique<platform_agent>(
        settings_.agent,
        platform_adapter::object_client(
            *store_client_,
            {settings_.agent.store_url, std::chrono::milliseconds(1500)}),
        settings_.self.endpoint, agent_hooks());
    agent_->start();
    loop_.on_pause([](duration time) {
        log_event(log_channel::node, log_level::warn, "resumed",
                  {{"paused_ms", milliseconds(time)}});
    });
    loop_.on_stop_signal([this] { begin_stop(); });
    loop_.on_reload_signal([this] { reload(); });
    file_ = std::make_unique<settings_file>(loop_, settings_.file,
                                            [this] { reload(); });
}

io::stream_limits relay_daemon::outbound_limits() const {
    io::stream_limits limits;
    limits.max_connections = settings_.most_callers;
    limits.max_pipelined = settings_.most_pipelined;
    limits.max_buffered_bytes = memory_.capacity();
    limits.memory = const_cast<io::memory_account*>(&memory_);
    return limits;
}

void relay_daemon::open_servers() {
    outbound_ = std::make_unique<io::stream_server>(
        loop_, settings_.outbound, outbound_limits(),
        io::stream_server::hooks{
            [this](io::stream_server::incoming_request a) {
                on_outbound(std::move(a));
            },
            [this](io::stream_server::exchange_id exchange) {
                call_router_->on_caller_disconnected(steady_now(), exchange);
                wake();
            },
            [this](const http_request& request) {
                return call_router_->is_idempotent(
                    io::find_header(request.headers, "host"), request.target);
            },
            [this](const http_request& request) {
                return call_router_->is_nested(
                    io::find_header(request.headers, "host"), request.target);
            },
            [this](std::string_view why, const std::string& client_ip,
                   std::size_t held_bytes, std::size_t progress) {
                log_memory(why, {{"client", client_ip},
                                 {"held_bytes", held_bytes},
                                 {"bytes_per_s", progress}});
            }});
    const auto ignore = [](io::stream_server::exchange_id) {};
    readiness_ = std::make_unique<io::stream_server>(
        loop_, settings_.readiness, io::stream_limits{},
        io::stream_server::hooks{
            [this](const io::stream_server::incoming_request& a) {
                readiness_->respond(
                    a.exchange,
                    plain(is_ready() ? status_ok : status_unavailable));
            },
            ignore});
    announce_ = std::make_unique<io::stream_server>(
        loop_, settings_.announce, io::stream_limits{},
        io::stream_server::hooks{
            [this](const io::stream_server::incoming_request& a) {
                on_announce(a);
            },
            ignore});
    if (settings_.metrics.port == 0)
        return;
    metrics_server_ = std::make_unique<io::stream_server>(
        loop_, settings_.metrics, io::stream_limits{},
        io::stream_server::hooks{
            [this](const io::stream_server::incoming_request& a) {
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

// Calls -----------------------------------------------------------------------

void relay_daemon::on_outbound(io::stream_server::incoming_request arrival) {
    auto call = platform_adapter::decode_call(
        std::move(arrival), call_router_->identifies_owners());
    call_router_->on_call(steady_now(), std::move(call));
    wake();
}

void relay_daemon::dispatch(relay::target_call call) {
    const auto execution = call.execution;
    at_target_[execution] = target_->start(
        platform_adapter::encode_target_call(std::move(call),
                                             target_dispatcher_->instance()),
        [this, execution](io::stream_result result) {
            at_target_.erase(execution);
            target_dispatcher_->on_target_result(
                steady_now(), execution,
                platform_adapter::decode_target_answer(std::move(result)));
            wake();
        });
}

void relay_daemon::on_frame(const node_incarnation& from,
                            coordination::frame message) {
    std::visit([&](auto& it) { receive(from, std::move(it)); }, message);
    wake();
}

void relay_daemon::receive(const node_incarnation& from,
                           relay_call_frame call) {
    // Calls of targets finish work that was accepted before.
    if (memory_.is_full() ||
        (memory_.is_short() && !target_dispatcher_->is_nested(call.route))) {
        reject_for_memory(from, call);
        return;
    }
    target_dispatcher_->on_call(steady_now(), from, std::move(call),
                                loop_.current_pause());
}

void relay_daemon::reject_for_memory(const node_incarnation& from,
                                     const relay_call_frame& call) {
    ++calls_rejected_for_memory_;
    target_dispatcher_->refuse(steady_now(), from, call, error_code::overloaded,
                               memory_retry_after);
    log_memory("call_rejected", {{"caller", from.name.value}});
}

void relay_daemon::log_memory(std::string_view why, nlohmann::json fields) {
    const auto now = steady_now();
    if (now - memory_logged_ < memory_log_interval)
        return;
    memory_logged_ = now;
    fields["why"] = why;
    for (std::size_t n = 0; n < io::memory_kinds; ++n)
        fields[std::string(to_string(static_cast<io::memory_kind>(n)))] =
            memory_.held(static_cast<io::memory_kind>(n));
    log_event(log_channel::node, log_level::warn, "memory_short", fields);
}

void relay_daemon::receive(const node_incarnation& from,
                           relay_reply_frame reply) {
    call_router_->on_reply(steady_now(), from.name, std::move(reply));
}

void relay_daemon::receive(const node_incarnation& from,
                           const coordination::cancel_frame& cancel) {
    target_dispatcher_->on_cancel(steady_now(), from, cancel.sequence);
}

// Nodes together
// ----------------------------------------------------------------

void relay_daemon::receive(const node_incarnation& from,
                           const coordination::view_frame& view) {
    views_->receive(steady_now(), from, view);
}

void relay_daemon::receive(const node_incarnation& from,
                           const coordination::view_digest_frame& digests) {
    views_->receive(from, digests);
}

void relay_daemon::receive(const node_incarnation& from,
                           const coordination::config_summary_frame& summary) {
    if (const auto* record = members_->find(from.name))
        configs_->on_summary(*record, summary);
}

void relay_daemon::receive(const node_incarnation&,
                           const config_frame& config) {
    if (config.graph == operator_graph && offer_config(config.body))
        agent_->told_elsewhere();
}

void relay_daemon::on_member(const member_record& record) {
    const auto& name = record.id.name;
    if (const auto departure = coordination::departure_of(record)) {
        on_departure(*departure);
        return;
    }
    if (record.endpoint == settings_.self.endpoint &&
        record.target == target_state::draining)
        on_earlier_departure(record);
    update_fleet();
    call_router_->set_live_nodes(members_ ? members_->live_count() + 1 : 1);
    const auto held = holders_.update(record);
    if (held.before && held.before != held.now)
        call_router_->remove_target(*held.before);
    if (held.now == name)
        use_target_of(record);
    else if (held.now && held.now != held.before)
        use_target_of(*members_->find(*held.now));
    // Calls that run there go on while their connection lives: a node may
    // count as dead because datagrams were lost, or because it is slow.
}

void relay_daemon::on_greeted(const node_incarnation& node,
                              const coordination::address& at,
                              time_point since) {
    for (const auto& name : holders_.others_at(at, node.name)) {
        const auto replaced = members_->find(name)->id;
        if (!members_->declare_replaced(steady_now(), name, since))
            continue;
        log_event(log_channel::peer, log_level::info, "node_replaced",
                  {{"node", name.value}, {"by", node.name.value}});
        links_->drop(replaced);
    }
}

void relay_daemon::use_target_of(const member_record& record) {
    if (record.target == target_state::ready)
        call_router_->add_target(record.service,
                                 {record.id.name, record.domain, record.slots});
    else
        call_router_->remove_target(record.id.name);
}

void relay_daemon::on_departure(
    const coordination::target_departure& departure) {
    if (departure.endpoint != settings_.self.endpoint ||
        departure.reporter == settings_.self.id.name)
        return;
    log_event(log_channel::node, log_level::info, "target_left_earlier",
              {{"instance", departure.instance},
               {"started_ms", departure.started_ms},
               {"earlier_life", departure.reporter.value}});
    const auto now = steady_now();
    target_dispatcher_->end_target(now, departure.instance,
                                   departure.started_ms);
    explained_lives_.insert(departure.reporter);
    if (doubtful_lives_.erase(departure.reporter) > 0 &&
        doubtful_lives_.empty())
        target_dispatcher_->end_doubt(now);
}

void relay_daemon::on_earlier_departure(const member_record& earlier) {
    if (explained_lives_.contains(earlier.id.name))
        return;
    doubtful_lives_.insert(earlier.id.name);
    log_event(log_channel::node, log_level::info, "target_in_doubt",
              {{"earlier_life", earlier.id.name.value}});
    target_dispatcher_->doubt(steady_now(),
                              started_ + relay::target_statements::max_delay,
                              started_wall_ms_);
}

void relay_daemon::on_target(target_state state, std::uint32_t slots) {
    const auto& self = settings_.self;
    members_->set_target(steady_now(), self.service, slots, state);
    if (state == target_state::ready)
        call_router_->add_target(self.service,
                                 {self.id.name, self.domain, slots});
    else
        call_router_->remove_target(self.id.name);
}

void relay_daemon::on_announce(
    const io::stream_server::incoming_request& arrival) {
    const auto result = announced(arrival.request);
    if (result.departure)
        acknowledge_departure(arrival.exchange, *result.departure,
                              result.response);
    else
        announce_->respond(arrival.exchange, result.response);
    wake();
}

coordination::target_departure
relay_daemon::make_departure(const std::string& instance,
                             std::uint64_t started_ms) const {
    return {instance, started_ms, settings_.self.id.name,
            settings_.self.endpoint};
}

void relay_daemon::acknowledge_departure(
    io::stream_server::exchange_id exchange,
    const coordination::target_departure& departure,
    const http_response& response) {
    // A target that is draining says so with each heartbeat.
    if (departure.instance == kept_departure_.instance &&
        departure.started_ms <= kept_departure_.started_ms) {
        announce_->respond(exchange, response);
        return;
    }
    const auto on_done = [this, exchange, departure, response](bool is_kept) {
        if (is_kept)
            kept_departure_ = departure;
        else
            log_event(log_channel::node, log_level::warn,
                      "departure_not_acknowledged",
                      {{"instance", departure.instance},
                       {"live_nodes", members_->live_count() + 1}});
        announce_->respond(exchange,
                           is_kept ? response : plain(status_unavailable));
    };
    members_->replicate(steady_now(),
                        coordination::to_record(departure, members_->self()),
                        on_done);
}

relay_daemon::announce_result
relay_daemon::announced(const http_request& request) {
    const auto instance = platform_adapter::instance_of_path(request.target);
    if (instance.empty())
        return {plain(status_not_found), {}};
    const auto now = steady_now();
    if (request.method == "DELETE") {
        const auto started_ms = target_dispatcher_->withdraw_target(
            now, instance, wall_microseconds() / us_per_ms);
        log_event(log_channel::node, log_level::info, "target_left",
                  {{"instance", instance}, {"started_ms", started_ms}});
        return {plain(status_ok), make_departure(instance, started_ms)};
    }
    const auto said =
        platform_adapter::decode_heartbeat(instance, request.body);
    if (!said.ok()) {
        log_event(log_channel::node, log_level::warn, "heartbeat_unreadable",
                  {{"instance", instance},
                   {"why", std::string(said.status().message())}});
        return {plain(status_bad_request), {}};
    }
    const auto before = target_dispatcher_->instance();
    if (!target_dispatcher_->announce(now, *said))
        log_event(log_channel::node, log_level::info, "heartbeat_ignored",
                  {{"instance", instance},
                   {"sequence", said->sequence},
                   {"started_ms", said->started_ms},
                   {"current", before}});
    if (target_dispatcher_->instance() != before) {
        target_->close_idle();
        log_event(log_channel::node, log_level::info, "target_started",
                  {{"instance", instance}, {"slots", said->slots}});
    }
    announce_result result{
        {status_ok, {{"Content-Type", "application/json"}}, "{}"}, {}};
    if (said->is_draining)
        result.departure = make_departure(instance, said->started_ms);
    return result;
}

bool relay_daemon::offer_config(const std::string& text) {
    const auto shared = platform_adapter::without_credentials(text);
    auto policy = shared.ok()
                      ? platform_adapter::decode_policy(*shared)
                      : absl::StatusOr<relay::traffic_policy>(shared.status());
    if (!policy.ok()) {
        log_event(log_channel::configuration, log_level::warn,
                  "configuration_unreadable",
                  {{"why", std::string(policy.status().message())}});
        return false;
    }
    config_frame config;
    config.graph = operator_graph;
    config.generation = policy->version;
    config.body = *shared;
    offered_policy_ = *std::move(policy);
    return configs_->offer(config);
}

void relay_daemon::on_policy(const config_frame&) {
    // Decoded by offer_config(), which alone offers configurations.
    auto policy = std::exchange(offered_policy_, std::nullopt);
    if (!policy)
        return;
    auto limits = outbound_limits();
    limits.message = {
        policy->limits.max_header_bytes,
        std::min({policy->limits.max_body_bytes, memory_.max_body_bytes(),
                  max_relayed_body_bytes})};
    limits.request_timeout = policy->limits.request_timeout;
    limits.idle_timeout = policy->limits.idle_timeout;
    outbound_->set_limits(limits);
    log_event(
        log_channel::configuration, log_level::info, "in_force",
        {{"version", policy->version}, {"routes", policy->routes.size()}});
    policy_since_ = steady_now();
    set_owner_limits(*policy);
    call_router_->set_policy(
        std::make_shared<const relay::traffic_policy>(*std::move(policy)));
}

bool relay_daemon::is_ready() const {
    if (stop_.has_begun() || call_router_->policy_version() == 0)
        return false;
    return members_->live_count() > 0 || steady_now() - started_ > alone_after;
}

// Time ------------------------------------------------------------------------

void relay_daemon::wake() {
    const auto now = steady_now();
    memory_.update(io::memory_kind::waiting_calls, charged_waiting_,
                   target_dispatcher_->waiting_bytes());
    auto due = std::min(members_->next_due(), call_router_->next_due());
    due = std::min(
        {due, target_dispatcher_->next_due(), owner_limiter_->next_due()});
    due = std::max(due, now + duration(least_timer));
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
    call_router_->tick(now);
    target_dispatcher_->tick(now);
    owner_limiter_->tick(now);
    wake();
}

nlohmann::json relay_daemon::balance_state(time_point now) {
    nlohmann::json by_forecast = nlohmann::json::array();
    for (const auto& it : call_router_->targets(now))
        if (it.uses_forecast)
            by_forecast.push_back({{"service", it.service.value},
                                   {"report_age_s", it.report_age_s},
                                   {"occupancy", it.occupancy},
                                   {"figures_ignored", it.ignored_figures}});
    return by_forecast;
}

void relay_daemon::log_state() {
    const auto now = steady_now();
    const auto load = target_dispatcher_->load();
    nlohmann::json thinned = nlohmann::json::object();
    for (const auto& it : call_router_->root_admission().shares())
        thinned[it.service.value] = {{"strain", it.offered_load},
                                     {"let_in", it.share}};
    nlohmann::json calls = nlohmann::json::array();
    for (const auto& it : call_router_->attribution().weights())
        calls.push_back({{"route", it.route},
                         {"service", it.service.value},
                         {"calls_per_run", it.calls_per_execution}});
    nlohmann::json sent{{"datagrams", datagrams_->counters().bytes_sent}};
    for (std::size_t n = 0; n < links_->counters().bytes_by_kind.size(); ++n)
        if (const auto bytes = links_->counters().bytes_by_kind[n]; bytes > 0)
            sent[std::string(coordination::frame_kind(n))] = bytes;
    log_owner_limits();
    log_event(
        log_channel::node, log_level::info, "state",
        {{"balance", balance_state(now)},
         {"relative_service_time",
          target_dispatcher_->service_time().percent(now) / 100.0},
         {"figures_ignored", target_dispatcher_->service_time().ignored()},
         {"running", load.running},
         {"queued", load.queued},
         {"limit", load.limit},
         {"strain", target_dispatcher_->offered_load(now)},
         {"live_nodes", members_->live_count() + 1},
         {"version", call_router_->policy_version()},
         {"open_calls", call_router_->open_calls()},
         {"thinned_out", thinned},
         {"bytes_sent", sent},
         {"calls_of_runs", calls}});
    loop_.after(state_interval, [this] { log_state(); });
}

relay_gauges relay_daemon::gauges() {
    const auto now = steady_now();
    relay_gauges it;
    it.live_nodes = members_->live_count() + 1;
    it.open_calls = call_router_->open_calls();
    it.policy_version = call_router_->policy_version();
    if (it.policy_version != 0)
        it.policy_age = now - policy_since_;
    it.is_store_reached = agent_->is_store_reached();
    it.store_calls = agent_->counters().calls;
    it.store_era = agent_->era();
    it.store_era_changes = agent_->counters().era_changes;
    it.store_late_responses = agent_->counters().late_responses;
    it.store_listings = agent_->counters().listings;
    it.log_lines_left_out = log_.left_out();
    it.target = target_dispatcher_->load();
    it.target.relative_service_time =
        target_dispatcher_->service_time().percent(now);
    it.target_figures_ignored = target_dispatcher_->service_time().ignored();
    it.target_strain = target_dispatcher_->offered_load(now);
    it.target_connections = target_->counters();
    it.callers = outbound_->counters();
    it.calls_rejected_for_memory = calls_rejected_for_memory_;
    it.memory_capacity = memory_.capacity();
    for (std::size_t n = 0; n < io::memory_kinds; ++n)
        it.memory_held[n] = memory_.held(static_cast<io::memory_kind>(n));
    it.services = call_router_->targets(now);
    it.owner_limits = owner_limiter_->state(now);
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
    stop_.set_limit(read->stop_time);
    settings_.call_router.retries = read->call_router.retries;
    call_router_->set_retry_options(read->call_router.retries);
    log_event(log_channel::node, log_level::info, "settings_reloaded");
}

void relay_daemon::begin_stop() {
    if (stop_.has_begun())
        return;
    stop_.begin(steady_now());
    log_event(log_channel::node, log_level::info, "stopping",
              {{"open_calls", call_router_->open_calls()},
               {"running_calls", target_dispatcher_->open_calls()}});
    target_dispatcher_->stop();
    agent_->leave();
    owner_limiter_->stop_granting(steady_now());
    wake();
    check_stop();
}

void relay_daemon::check_stop() {
    const auto now = steady_now();
    const bool is_idle = call_router_->open_calls() == 0 &&
                         target_dispatcher_->open_calls() == 0 &&
                         outbound_->open_exchanges() == 0 &&
                         !outbound_->has_unsent_responses() &&
                         !links_->has_unsent_frames();
    if (stop_.is_over(now, is_idle)) {
        call_router_->finish_all_calls(now);
        members_->leave(now);
        loop_.after(last_answers_time, [this] { loop_.stop(); });
        return;
    }
    if (stop_.closes_connections(now))
        outbound_->close_gradually();
    if (const auto end = stop_.takes_until(now))
        call_router_->stop_by(*end);
    loop_.after(stop_poll, [this] { check_stop(); });
}

} // namespace redwingwind::node
