#include "node_daemon.hpp"

#include <redwingwind/common/hash.hpp>
#include <redwingwind/common/json_text.hpp>
#include <redwingwind/common/log.hpp>
#include <redwingwind/platform_adapter/object_store.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <sys/resource.h>

#include <algorithm>
#include <utility>

#include "metrics.hpp"

namespace redwingwind::node {
namespace {

using engine::call_request;
using engine::call_response;
using engine::outcome;
using io::http_server;

constexpr long store_idle_connections = 4;
constexpr auto least_timer = std::chrono::milliseconds(1);
constexpr auto stop_poll = std::chrono::milliseconds(20);
constexpr std::size_t most_tickets_per_request = 1000;
constexpr std::uint32_t most_slots = 1000000;
constexpr duration store_timeout = std::chrono::seconds(2);
constexpr auto ticket_path = "/rww/tickets";

engine::raw_call raw_call_of(http_request& request, bool is_local) {
    const auto header = [&](std::string_view name) {
        return io::find_header(request.headers, name);
    };
    engine::raw_call call;
    call.method = request.method;
    call.request_target = request.target;
    call.content_type = header("Content-Type");
    call.owner = header("Rww-Owner");
    call.id = header("Rww-Request-Id");
    call.deadline_ms = header("Rww-Deadline-Ms");
    call.importance = header("Rww-Class");
    call.attempt = header("Rww-Attempt");
    call.context = header("Rww-Context");
    call.ticket = header("Idempotency-Key");
    call.body = std::move(request.body);
    call.is_from_local_target = is_local;
    return call;
}

/// The last step of the pipeline: a reply becomes an HTTP answer.
http_response encode(const call_request& request, const call_response& reply) {
    http_response response;
    response.status = reply.status;
    response.body = reply.body;
    response.headers = {
        {"Rww-Outcome", std::string(to_string(reply.what))},
        {"Rww-Request-Id", request.id.value},
        {"Rww-Digest", absl::StrCat(absl::Hex(digest(reply.body)))}};
    if (!reply.content_type.empty())
        response.headers.push_back({"Content-Type", reply.content_type});
    if (reply.why != error_code::none)
        response.headers.push_back(
            {"Rww-Error", std::string(to_string(reply.why))});
    if (reply.retry_after_s > 0)
        response.headers.push_back(
            {"Retry-After", std::to_string(reply.retry_after_s)});
    return response;
}

http_response bad_request(const std::string& text) {
    return {400,
            {{"Rww-Error", "bad_input"}, {"Rww-Outcome", "not-run"}},
            text + "\n"};
}

std::uint64_t processor_us() {
    rusage use{};
    getrusage(RUSAGE_SELF, &use);
    const auto us = [](const timeval& t) {
        return static_cast<std::uint64_t>(t.tv_sec) * 1000000U +
               static_cast<std::uint64_t>(t.tv_usec);
    };
    return us(use.ru_utime) + us(use.ru_stime);
}

} // namespace

node_daemon::node_daemon(node_settings settings)
    : settings_(std::move(settings)), random_(make_random(random_seed())) {
    target_client_ = std::make_unique<target_client>(
        loop_, settings_.call_server.max_body_bytes);
    store_client_ =
        std::make_unique<io::http_client>(loop_, store_idle_connections);
    core_ = std::make_unique<engine::node_core>(settings_.core, settings_.keys,
                                                core_hooks());
    links_ = std::make_unique<peer_links>(
        loop_, settings_.keys, settings_.core.self.id, settings_.listen_on,
        settings_.links, link_hooks());
    datagrams_ = std::make_unique<datagram_socket>(
        loop_, settings_.keys, settings_.listen_on,
        [this](const coordination::address& from,
               const coordination::datagram& message) {
            core_->on_datagram(steady_now(), from, message);
            wake();
        });
    call_server_ = std::make_unique<http_server>(
        loop_, settings_.call_server, [this](http_server::exchange exchange) {
            on_call(std::move(exchange), false);
        });
    local_server_ = std::make_unique<http_server>(
        loop_, settings_.local_server, [this](http_server::exchange exchange) {
            on_local(std::move(exchange));
        });
    for (const auto& it : settings_.contacts)
        core_->add_contact(it);
    if (!settings_.store_url.empty()) {
        agent_ = std::make_unique<store_agent>(
            settings_.store,
            platform_adapter::connect_store(platform_adapter::object_client(
                *store_client_, {settings_.store_url, store_timeout})),
            *core_, agent_hooks());
        agent_->start();
    }
    loop_.on_stop_signal([this] { begin_stop(); });
}

void node_daemon::run() {
    log_event(log_channel::node, log_level::info, "started",
              {{"node", settings_.core.self.id.name.value},
               {"call_port", call_server_->port()},
               {"peer_port", links_->port()},
               {"local_port", local_server_->port()}});
    tick();
    loop_.run();
    log_event(log_channel::node, log_level::info, "stopped");
}

// Wiring ----------------------------------------------------------------------

engine::node_core::hooks node_daemon::core_hooks() {
    engine::node_core::hooks h;
    h.send_datagram = [this](const coordination::address& to,
                             const coordination::datagram& message) {
        datagrams_->send(to, message);
    };
    h.send_frame = [this](const coordination::member_record& to,
                          const coordination::frame& message) {
        links_->send(to, message);
    };
    h.send_back = [this](const node_incarnation& to,
                         const coordination::frame& message) {
        links_->send_back(to, message);
    };
    h.drop_links = [this](const node_incarnation& node) {
        // Not now: the core is in the middle of something.
        loop_.after(duration::zero(), [this, node] { links_->drop(node); });
    };
    h.dispatch = [this](std::uint64_t execution, const call_request& request,
                        const engine::call_context& context) {
        dispatch(execution, request, context);
    };
    h.stop = [this](std::uint64_t execution) {
        target_client_->cancel(execution);
    };
    h.on_event = [this](const engine::core_event& event) {
        log_event_of(event);
    };
    h.random = random_;
    return h;
}

peer_links::hooks node_daemon::link_hooks() {
    peer_links::hooks h;
    h.on_frame = [this](const node_incarnation& from,
                        const coordination::frame& message) {
        core_->on_frame(steady_now(), from, message);
        wake();
    };
    h.on_down = [this](const node_incarnation& node, bool was_connected) {
        log_event(log_channel::peer, log_level::debug, "link_down",
                  {{"peer", node.name.value}, {"connected", was_connected}});
        core_->on_link_down(steady_now(), node, was_connected);
        wake();
    };
    h.on_rejected = [](const std::string& why) {
        log_event(log_channel::peer, log_level::warn, "link_rejected",
                  {{"why", why}});
    };
    h.random = random_;
    return h;
}

store_agent::hooks node_daemon::agent_hooks() {
    store_agent::hooks h;
    h.after = [this](duration delay, std::function<void()> callback) {
        loop_.after(delay, std::move(callback));
    };
    h.now = &steady_now;
    h.wall_us = &wall_microseconds;
    h.random = random_;
    h.on_failure = [](const std::string& what, const absl::Status& status) {
        log_event(log_channel::store, log_level::warn, "store_call_failed",
                  {{"what", what},
                   {"why", std::string(to_string(code_of(status)))},
                   {"detail", std::string(status.message())}});
    };
    h.on_era = [](std::uint64_t before, std::uint64_t now) {
        log_event(log_channel::store, log_level::warn, "store_era_changed",
                  {{"before", before}, {"era", now}});
    };
    return h;
}

void node_daemon::log_event_of(const engine::core_event& event) {
    const auto channel = event.kind == engine::core_event_kind::member_changed
                             ? log_channel::membership
                             : log_channel::configuration;
    log_event(channel, log_level::info, std::string(to_string(event.kind)),
              {{"subject", event.subject}, {"detail", event.detail}});
}

// Time ------------------------------------------------------------------------

/// Sets the timer to when the core next has something to do.
void node_daemon::wake() {
    const auto now = steady_now();
    const auto due =
        std::max<time_point>(core_->next_due(now), now + least_timer);
    if (timer_ != 0 && timer_due_ <= due)
        return;
    loop_.cancel(timer_);
    timer_due_ = due;
    timer_ = loop_.after(due - now, [this] { tick(); });
}

void node_daemon::tick() {
    timer_ = 0;
    core_->tick(steady_now());
    count_control();
    wake();
}

/// All of the process is counted: the share of calls in it is what use pays.
void node_daemon::count_control() {
    core_->meter().set_control(processor_us(),
                               datagrams_->counters().bytes_sent +
                                   links_->counters().bytes_sent);
}

// Calls
// ---------------------------------------------------------------------------

void node_daemon::on_call(http_server::exchange exchange, bool is_local) {
    if (io::path_of(exchange.request.target).starts_with(ticket_path)) {
        on_tickets(exchange);
        return;
    }
    const auto now = steady_now();
    auto respond = exchange.respond;
    auto on_disconnect = exchange.on_disconnect;
    const auto call = core_->on_call(
        now, raw_call_of(exchange.request, is_local),
        [respond](const call_request& request, const call_response& reply) {
            respond(encode(request, reply));
        });
    if (call != 0)
        *on_disconnect = [this, call] {
            core_->abandon(steady_now(), call);
            wake();
        };
    wake();
}

void node_daemon::dispatch(std::uint64_t execution, const call_request& request,
                           const engine::call_context& context) {
    const auto left = request.deadline - steady_now();
    const auto left_ms = std::max<std::int64_t>(milliseconds(left), 1);
    target_call call;
    call.method = request.method;
    call.path = request.path;
    call.headers = {{"Rww-Request-Id", request.id.value},
                    {"Rww-Root-Id", request.root.value},
                    {"Rww-Owner", request.owner.value},
                    {"Rww-Class", std::string(to_string(request.importance))},
                    {"Rww-Attempt", std::to_string(request.attempt)},
                    {"Rww-Deadline-Ms", std::to_string(left_ms)},
                    {"Rww-Context", to_text(context)}};
    if (!request.content_type.empty())
        call.headers.push_back({"Content-Type", request.content_type});
    call.body = request.body;
    call.id = request.id.value;
    call.time_left = std::chrono::milliseconds(left_ms);
    call.is_idempotent = request.is_idempotent;
    target_client_->start(
        execution, std::move(call),
        [this, execution](const engine::target_result& result) {
            core_->on_target_result(steady_now(), execution, result);
            wake();
        });
}

void node_daemon::on_tickets(const http_server::exchange& exchange) {
    const auto path = io::path_of(exchange.request.target);
    const auto now = steady_now();
    if (exchange.request.method == "POST" && path == ticket_path) {
        std::uint32_t count = 1;
        const auto text = io::query_parameter(exchange.request.target, "count");
        if (!text.empty() && (!absl::SimpleAtoi(text, &count) || count < 1 ||
                              count > most_tickets_per_request)) {
            exchange.respond(bad_request("count is 1 to 1000"));
            return;
        }
        const nlohmann::json body{{"tickets", core_->mint_tickets(now, count)}};
        exchange.respond(io::json_response(200, body.dump()));
        return;
    }
    const auto prefix = std::string(ticket_path) + "/";
    if (exchange.request.method == "DELETE" && path.starts_with(prefix)) {
        auto respond = exchange.respond;
        core_->cancel_ticket(
            now, path.substr(prefix.size()),
            [respond](const call_request& request, const call_response& reply) {
                respond(encode(request, reply));
            });
        wake();
        return;
    }
    exchange.respond(
        bad_request("POST /rww/tickets or DELETE /rww/tickets/TICKET"));
}

// Local listener --------------------------------------------------------------

void node_daemon::on_local(http_server::exchange exchange) {
    const auto path = io::path_of(exchange.request.target);
    const auto& method = exchange.request.method;
    if (method == "POST" && path == "/announce") {
        on_announce(exchange);
    } else if (method == "POST" && path == "/drain") {
        core_->drain(steady_now());
        wake();
        exchange.respond(io::json_response(200, status().dump()));
    } else if (method == "GET" && path == "/status") {
        exchange.respond(io::json_response(200, status().dump()));
    } else if (method == "GET" && path == "/members") {
        exchange.respond(io::json_response(200, members().dump()));
    } else if (method == "GET" && path == "/census") {
        on_census(exchange);
    } else if (method == "GET" && path == "/metrics") {
        exchange.respond({200,
                          {{"Content-Type", "text/plain; version=0.0.4"}},
                          to_metrics_text(status())});
    } else if (method == "GET" && path == "/healthz") {
        exchange.respond({is_stopping_ ? 503 : 200,
                          {},
                          is_stopping_ ? "stopping\n" : "ok\n"});
    } else {
        on_call(std::move(exchange), true);
    }
}

void node_daemon::on_announce(const http_server::exchange& exchange) {
    const auto json = read_json(exchange.request.body);
    engine::target_announcement announcement;
    try {
        announcement.service = {json.at("service").get<std::string>()};
        announcement.slots = json_count(json, "slots", most_slots).value_or(0);
        announcement.instance = json.value("instance", std::string());
        announcement.warm_up =
            std::chrono::milliseconds(json.value("warm_up_ms", 0));
        const auto address =
            coordination::parse_address(json.at("address").get<std::string>());
        if (!is_valid_name(announcement.service.value) ||
            announcement.slots == 0 || address.port == 0) {
            exchange.respond(bad_request(
                "service is a name, slots 1 to 1000000, address IP:PORT"));
            return;
        }
        target_client_->set_address(address);
    } catch (const nlohmann::json::exception& e) {
        exchange.respond(bad_request(
            absl::StrCat("announce {service, address, slots, instance, "
                         "warm_up_ms}: ",
                         e.what())));
        return;
    }
    if (!is_stopping_)
        core_->announce(steady_now(), announcement);
    wake();
    exchange.respond(io::json_response(
        200, nlohmann::json{{"draining", core_->is_draining()}}.dump()));
}

void node_daemon::on_census(const http_server::exchange& exchange) {
    const graph_name graph{
        io::query_parameter(exchange.request.target, "graph")};
    std::uint64_t generation = 0;
    if (!is_valid_name(graph.value) ||
        !absl::SimpleAtoi(
            io::query_parameter(exchange.request.target, "generation"),
            &generation)) {
        exchange.respond(bad_request("census?graph=NAME&generation=N"));
        return;
    }
    core_->start_census(graph);
    auto respond = exchange.respond;
    constexpr auto answer_time = std::chrono::milliseconds(200);
    loop_.after(answer_time, [this, respond, graph, generation] {
        const auto result = core_->count_census(graph, generation);
        respond(
            io::json_response(200, nlohmann::json{{"asked", result.asked},
                                                  {"answered", result.answered},
                                                  {"in_force", result.in_force}}
                                       .dump()));
    });
}

nlohmann::json node_daemon::status() const {
    auto json = core_->status(steady_now());
    const auto& links = links_->counters();
    const auto& datagrams = datagrams_->counters();
    const auto& calls = call_server_->counters();
    json["call_port"] = call_server_->port();
    json["draining"] = core_->is_draining();
    json["idle"] = core_->is_idle();
    json["links"] = {{"open", links_->open_links()},
                     {"opened", links.opened},
                     {"accepted", links.accepted},
                     {"rejected", links.rejected},
                     {"bytes_sent", links.bytes_sent},
                     {"frames_sent", links.frames_sent},
                     {"frames_received", links.frames_received}};
    json["datagrams"] = {{"sent", datagrams.sent},
                         {"bytes_sent", datagrams.bytes_sent},
                         {"received", datagrams.received},
                         {"rejected", datagrams.rejected}};
    json["http"] = {{"requests", calls.requests},
                    {"oversized", calls.oversized},
                    {"cut_off", calls.cut_off}};
    json["processor_us"] = processor_us();
    if (agent_)
        json["store"] = {
            {"calls", agent_->counters().calls},
            {"failures", agent_->counters().failures},
            {"usage_writes", agent_->counters().usage_writes},
            {"era", agent_->era()},
            {"era_changes", agent_->counters().era_changes},
            {"late_responses", agent_->counters().late_responses},
            {"graphs_rewritten", agent_->counters().graphs_rewritten},
            {"watching", agent_->is_watching()}};
    return json;
}

nlohmann::json node_daemon::members() const {
    auto list = nlohmann::json::array();
    auto records = core_->members().all();
    records.push_back(core_->members().self());
    std::sort(records.begin(), records.end());
    for (const auto& it : records)
        list.push_back({{"node", it.id.name.value},
                        {"life", it.id.life.value},
                        {"state", to_string(it.state)},
                        {"address", to_string(it.endpoint)},
                        {"region", it.region.value},
                        {"domain", it.domain.value},
                        {"service", it.service.value},
                        {"slots", it.slots},
                        {"target", to_string(it.target)}});
    return list;
}

// Stopping --------------------------------------------------------------------

void node_daemon::begin_stop() {
    if (is_stopping_)
        return;
    is_stopping_ = true;
    log_event(log_channel::node, log_level::info, "stopping",
              {{"in_flight", core_->calls().in_flight()},
               {"running", core_->executions().running()}});
    core_->drain(steady_now());
    wake();
    finish_stop_when_idle(steady_now() + settings_.stop_time);
}

void node_daemon::finish_stop_when_idle(time_point limit) {
    const auto now = steady_now();
    // New work still comes in until the others have heard of the drain.
    const auto quiet_from =
        limit - settings_.stop_time + settings_.core.executions.drain_grace;
    if (now < limit && (now < quiet_from || !core_->is_idle())) {
        loop_.after(stop_poll, [this, limit] { finish_stop_when_idle(limit); });
        return;
    }
    count_control();
    core_->leave(now);
    const auto end = [this] {
        // Lets the last frames and answers out.
        loop_.after(stop_poll, [this] { loop_.stop(); });
    };
    if (agent_)
        agent_->flush_usage(end);
    else
        end();
}

} // namespace redwingwind::node
