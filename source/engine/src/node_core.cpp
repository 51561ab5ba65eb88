#include <redwingwind/engine/node_core.hpp>

#include <redwingwind/common/hash.hpp>
#include <redwingwind/coordination/rendezvous.hpp>
#include <redwingwind/policy/graph_document.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace redwingwind::engine {
namespace {

using coordination::member_record;
using coordination::target_state;

/// Interval of tick() while calls are queued or the admission level is above 0.
constexpr auto queue_poll_interval = std::chrono::milliseconds(10);
/// Longest interval between two calls of tick().
constexpr auto housekeeping_interval = std::chrono::milliseconds(250);
/// Number of nodes of the failure domain that keep the usage rows of a node.
constexpr std::size_t usage_holder_count = 2;
constexpr std::size_t max_rows_per_usage_frame = 1000;

call_request request_of(const coordination::call_frame& frame, time_point now) {
    call_request request;
    request.id = frame.id;
    request.root = frame.root;
    request.owner = frame.owner;
    request.service = frame.service;
    request.method = frame.method;
    request.path = frame.path;
    request.content_type = frame.content_type;
    request.body = frame.body;
    request.ticket = frame.ticket;
    request.importance = frame.kind;
    request.is_idempotent = frame.is_idempotent;
    request.deadline = now + std::chrono::milliseconds(frame.time_left_ms);
    request.attempt = frame.attempt;
    request.retry_budget = frame.retry_budget;
    return request;
}

std::string make_request_id(const random_hook& random) {
    return absl::StrCat(absl::Hex(random(), absl::kZeroPad16),
                        absl::Hex(random(), absl::kZeroPad16));
}

} // namespace

std::string_view to_string(core_event_kind kind) {
    switch (kind) {
    case core_event_kind::member_changed:
        return "member_changed";
    case core_event_kind::config_in_force:
        return "config_in_force";
    case core_event_kind::config_rejected:
        return "config_rejected";
    case core_event_kind::target_announced:
        return "target_announced";
    case core_event_kind::target_lost:
        return "target_lost";
    case core_event_kind::draining:
        return "draining";
    case core_event_kind::left:
        break;
    }
    return "left";
}

node_core::node_core(core_options options, coordination::keyring keys, hooks h)
    : options_(std::move(options)), keys_(std::move(keys)),
      hooks_(std::move(h)), router_(options_.balance, options_.self.id.name,
                                    options_.self.region, options_.self.domain),
      executor_(options_.executions, options_.self.id.life, executor_hooks()),
      caller_(options_.calls, router_, caller_hooks()),
      tickets_(options_.tickets, options_.self.id, keys_, caller_),
      members_(options_.membership, options_.self, member_hooks()),
      views_(members_,
             [this](const member_record& to, const coordination::frame& it) {
                 hooks_.send_frame(to, it);
             }),
      configs_(config_hooks()), meter_(options_.self.id) {}

// Hooks of the components ----------------------------------------------------

coordination::membership::hooks node_core::member_hooks() {
    coordination::membership::hooks h;
    h.send = hooks_.send_datagram;
    h.exchange_views = [this](const member_record& with) {
        views_.start(with);
    };
    h.on_change = [this](const member_record& record) {
        router_.on_member(record);
        if (coordination::is_gone(record.state) && hooks_.drop_links)
            hooks_.drop_links(record.id);
        emit_event(core_event_kind::member_changed, record.id.name.value,
                   to_string(record.state) + ", target " +
                       to_string(record.target));
    };
    h.on_config = [this](const member_record& from,
                         const coordination::config_generation& reported) {
        configs_.on_gossip(now_, from, reported);
    };
    h.on_config_mismatch = [this](const member_record& from) {
        configs_.exchange(from);
    };
    h.generation_of = [this](const graph_name& graph) {
        const auto* config = configs_.find(graph);
        return config == nullptr ? std::uint64_t{0} : config->generation;
    };
    h.on_census = [this](const node_incarnation& node,
                         const coordination::config_generation& reported) {
        census_[node] = reported;
    };
    h.random = hooks_.random;
    return h;
}

coordination::config_replicator::hooks node_core::config_hooks() {
    coordination::config_replicator::hooks h;
    h.send = [this](const member_record& to,
                    const coordination::frame& message) {
        hooks_.send_frame(to, message);
    };
    h.gossip = [this](const coordination::config_generation& generation) {
        members_.set_config_digest(configs_.content_digest());
        members_.gossip(generation);
    };
    h.on_accept = [this](const coordination::config_frame& config) {
        on_config(config);
    };
    return h;
}

executor::hooks node_core::executor_hooks() {
    executor::hooks h;
    h.dispatch = hooks_.dispatch;
    h.stop = hooks_.stop;
    h.reply = [this](const call_origin& origin,
                     const coordination::reply_frame& reply) {
        if (origin.caller == options_.self.id)
            caller_.on_reply(now_, options_.self.id, reply);
        else
            hooks_.send_back(origin.caller, reply);
    };
    h.meter = [this](const execution_usage& use) {
        meter_.add({use.owner, use.service, use.importance, true,
                    use.was_rejected, use.was_wasted,
                    static_cast<std::uint64_t>(use.slot_time.count()),
                    use.bytes});
    };
    return h;
}

caller::hooks node_core::caller_hooks() {
    caller::hooks h;
    h.life_of = [this](const node_name& node) { return life_of(node); };
    h.send = [this](const node_incarnation& to,
                    const coordination::frame& message) { send(to, message); };
    h.allocate_retries = [this](std::uint64_t id) {
        return executor_.allocate_retries(id);
    };
    h.reclaim_retries = [this](std::uint64_t id, std::uint32_t allocated,
                               std::uint32_t unused) {
        executor_.reclaim_retries(id, allocated, unused);
    };
    h.record_levels =
        [this](std::uint64_t id,
               const std::vector<overload::service_admission_level>& levels) {
            executor_.record_levels(id, levels);
        };
    h.meter = [this](const call_usage& use) {
        meter_.add({use.owner, use.service, use.importance, false,
                    use.was_rejected, use.was_wasted, use.slot_time_us,
                    use.bytes});
    };
    h.random = hooks_.random;
    return h;
}

std::optional<node_incarnation>
node_core::life_of(const node_name& node) const {
    const auto* record = members_.find(node);
    if (record == nullptr || coordination::is_gone(record->state))
        return std::nullopt;
    return record->id;
}

void node_core::send(const node_incarnation& to,
                     const coordination::frame& message) {
    if (to == options_.self.id) {
        on_frame(now_, options_.self.id, message);
        return;
    }
    // A later life knows nothing of what the frame is about.
    const auto* record = members_.find(to.name);
    if (record != nullptr && record->id == to)
        hooks_.send_frame(*record, message);
}

void node_core::emit_event(core_event_kind kind, const std::string& subject,
                           const std::string& detail) {
    if (hooks_.on_event)
        hooks_.on_event({kind, subject, detail});
}

// Calls ----------------------------------------------------------------------

std::uint64_t node_core::on_call(time_point now, const raw_call& call,
                                 response_hook on_response) {
    now_ = now;
    pipeline_environment environment;
    environment.now = now;
    environment.policy = &policy_;
    environment.make_request_id = [this] {
        return make_request_id(hooks_.random);
    };
    environment.is_running_here = [this](const call_context& context) {
        return context.life == options_.self.id.life &&
               executor_.is_running(context.execution);
    };
    environment.known_level = [this](const call_request& request) {
        return caller_.known_level(now_, request);
    };
    call_state state{call, {}, environment};
    if (const auto response = run_filters(incoming_filters(), state)) {
        if (response->why == error_code::overloaded)
            caller_.on_shed_early(now, state.request);
        on_response(state.request, *response);
        return 0;
    }
    if (!state.request.ticket.empty()) {
        // The call continues when its caller disconnects, since the caller may
        // retry with the ticket to fetch the response.
        tickets_.submit(now, state.request, std::move(on_response));
        return 0;
    }
    return caller_.start(now, state.request, std::move(on_response));
}

void node_core::abandon(time_point now, std::uint64_t call) {
    now_ = now;
    caller_.abandon(now, call);
}

void node_core::on_target_result(time_point now, std::uint64_t execution,
                                 const target_result& result) {
    now_ = now;
    executor_.on_target_result(now, execution, result);
}

void node_core::on_link_down(time_point now, const node_incarnation& node,
                             bool was_connected) {
    now_ = now;
    caller_.on_link_down(now, node.name, was_connected);
}

std::vector<std::string> node_core::mint_tickets(time_point now,
                                                 std::size_t count) {
    return tickets_.mint(now, count);
}

void node_core::cancel_ticket(time_point now, const std::string& ticket,
                              response_hook on_response) {
    now_ = now;
    call_request request;
    request.ticket = ticket;
    request.deadline = now + policy_.default_deadline;
    tickets_.cancel(now, request, std::move(on_response));
}

// Messages ------------------------------------------------------------------

void node_core::on_frame(time_point now, const node_incarnation& from,
                         const coordination::frame& message) {
    now_ = now;
    std::visit([&](const auto& frame) { receive(now, from, frame); }, message);
}

void node_core::on_datagram(time_point now, const coordination::address& from,
                            const coordination::datagram& message) {
    now_ = now;
    members_.receive(now, from, message);
}

void node_core::send_reply(const node_incarnation& to, std::uint64_t sequence,
                           const call_response& response) {
    coordination::reply_frame frame;
    frame.sequence = sequence;
    frame.what = response.what;
    frame.why = response.why;
    frame.status = static_cast<std::uint16_t>(response.status);
    frame.content_type = response.content_type;
    frame.body = response.body;
    frame.body_digest = digest(response.body);
    hooks_.send_back(to, frame);
}

void node_core::receive(time_point now, const node_incarnation& from,
                        const coordination::call_frame& frame) {
    const auto request = request_of(frame, now);
    if (!frame.is_for_home) {
        executor_.arrive(now, {from, frame.sequence}, request);
        return;
    }
    tickets_.submit(now, request,
                    [this, from, sequence = frame.sequence](
                        const call_request&, const call_response& response) {
                        send_reply(from, sequence, response);
                    });
}

void node_core::receive(time_point now, const node_incarnation& from,
                        const coordination::reply_frame& frame) {
    caller_.on_reply(now, from, frame);
}

void node_core::receive(time_point now, const node_incarnation& from,
                        const coordination::cancel_frame& frame) {
    const bool never_started = executor_.cancel(now, {from, frame.sequence});
    const coordination::cancel_reply_frame reply{frame.sequence, never_started};
    if (from == options_.self.id)
        caller_.on_cancel_reply(now, from, reply);
    else
        hooks_.send_back(from, reply);
}

void node_core::receive(time_point now, const node_incarnation& from,
                        const coordination::cancel_reply_frame& frame) {
    caller_.on_cancel_reply(now, from, frame);
}

void node_core::receive(time_point now, const node_incarnation& from,
                        const coordination::ticket_cancel_frame& frame) {
    call_request request;
    request.ticket = frame.ticket;
    request.deadline = now + policy_.default_deadline;
    tickets_.cancel(now, request,
                    [this, from, sequence = frame.sequence](
                        const call_request&, const call_response& response) {
                        send_reply(from, sequence, response);
                    });
}

void node_core::receive(time_point now, const node_incarnation& from,
                        const coordination::view_frame& frame) {
    views_.receive(now, from, frame);
}

void node_core::receive(time_point, const node_incarnation& from,
                        const coordination::view_digest_frame& frame) {
    views_.receive(from, frame);
}

void node_core::receive(time_point, const node_incarnation& from,
                        const coordination::config_summary_frame& frame) {
    if (const auto* record = members_.find(from.name))
        configs_.on_summary(*record, frame);
}

void node_core::receive(time_point, const node_incarnation&,
                        const coordination::config_frame& frame) {
    configs_.offer(frame);
}

void node_core::receive(time_point, const node_incarnation&,
                        const coordination::usage_frame& frame) {
    for (const auto& row : frame.rows)
        reported_usage_.merge(row);
}

void node_core::receive(time_point, const node_incarnation&,
                        const coordination::hello_frame&) {}

// Target, configuration, usage ---------------------------------------------

void node_core::announce(time_point now,
                         const target_announcement& announcement) {
    now_ = now;
    last_announced_ = now;
    if (!executor_.set_target(now, announcement))
        return;
    const auto state =
        executor_.is_draining() ? target_state::draining : target_state::ready;
    members_.set_target(now, announcement.service, announcement.slots, state);
    router_.on_member(members_.self());
    emit_event(core_event_kind::target_announced, announcement.service.value,
               absl::StrCat(announcement.slots, " slots"));
}

void node_core::drain(time_point now) {
    now_ = now;
    executor_.drain(now);
    members_.set_target(now, members_.self().service, members_.self().slots,
                        target_state::draining);
    router_.on_member(members_.self());
    emit_event(core_event_kind::draining, members_.self().service.value);
}

void node_core::leave(time_point now) {
    now_ = now;
    report_usage(now);
    members_.leave(now);
    emit_event(core_event_kind::left, options_.self.id.name.value);
}

bool node_core::offer_config(const coordination::config_frame& config) {
    return configs_.offer(config);
}

void node_core::start_census(const graph_name& graph) {
    census_.clear();
    census_asked_ = 0;
    for (const auto& record : members_.all()) {
        if (coordination::is_gone(record.state))
            continue;
        ++census_asked_;
        members_.ask_census(record, graph);
    }
}

node_core::census_result
node_core::count_census(const graph_name& graph,
                        std::uint64_t generation) const {
    census_result result{census_asked_ + 1, 1, 0};
    const auto* own = configs_.find(graph);
    result.in_force += own != nullptr && own->generation >= generation ? 1 : 0;
    for (const auto& [node, reported] : census_) {
        if (reported.graph != graph)
            continue;
        ++result.answered;
        result.in_force += reported.generation >= generation ? 1 : 0;
    }
    return result;
}

void node_core::add_contact(const coordination::address& contact) {
    members_.add_contact(contact);
}

void node_core::on_config(const coordination::config_frame& config) {
    if (config.graph != options_.graph)
        return;
    const auto document = policy::parse_document(config.body);
    if (!document.ok()) {
        emit_event(core_event_kind::config_rejected, config.graph.value,
                   std::string(document.status().message()));
        return;
    }
    policy_ = document->policy;
    executor_.set_policy(policy_);
    caller_.set_policy(policy_);
    emit_event(core_event_kind::config_in_force, config.graph.value,
               absl::StrCat("generation ", config.generation));
}

void node_core::report_usage(time_point now) {
    next_usage_report_ = now + options_.usage_period;
    const auto rows = meter_.rows();
    const auto holders = coordination::choose_holders(
        members_.live_in(options_.self.domain), "usage", usage_holder_count);
    for (const auto& holder : holders) {
        const auto* record = members_.find(holder);
        if (record == nullptr)
            continue;
        for (std::size_t n = 0; n < rows.size();
             n += max_rows_per_usage_frame) {
            const auto end =
                std::min(n + max_rows_per_usage_frame, rows.size());
            coordination::usage_frame frame;
            frame.rows.assign(rows.begin() + static_cast<std::ptrdiff_t>(n),
                              rows.begin() + static_cast<std::ptrdiff_t>(end));
            send(record->id, frame);
        }
    }
}

usage::roll_up node_core::take_reported_usage() {
    return std::exchange(reported_usage_, {});
}

// Time ------------------------------------------------------------------------

void node_core::tick(time_point now) {
    now_ = now;
    members_.tick(now);
    caller_.tick(now);
    executor_.tick(now);
    tickets_.tick(now);
    if (next_usage_report_ == time_point{}) {
        // A random offset, so that the nodes of a failure domain do not all
        // report at once.
        const auto offset = hooks_.random() % options_.usage_period.count();
        next_usage_report_ = now + duration(offset);
    }
    if (now >= next_usage_report_)
        report_usage(now);
    if (last_announced_ && now - *last_announced_ > options_.announce_timeout) {
        last_announced_.reset();
        executor_.clear_target();
        members_.set_target(now, members_.self().service, 0,
                            target_state::absent);
        router_.on_member(members_.self());
        emit_event(core_event_kind::target_lost, members_.self().service.value);
    }
}

time_point node_core::next_due(time_point now) const {
    auto due = std::min(members_.next_due(), caller_.next_due());
    due = std::min<time_point>(due, now + housekeeping_interval);
    if (executor_.queued() > 0 || executor_.level().value > 0)
        due = std::min<time_point>(due, now + queue_poll_interval);
    return due;
}

bool node_core::is_idle() const {
    return executor_.running() + executor_.queued() + caller_.in_flight() == 0;
}

nlohmann::json node_core::status(time_point now) const {
    std::size_t alive = 1;
    std::size_t suspect = 0;
    std::size_t gone = 0;
    for (const auto& record : members_.all()) {
        if (coordination::is_gone(record.state))
            ++gone;
        else if (record.state == coordination::member_state::suspect)
            ++suspect;
        else
            ++alive;
    }
    nlohmann::json configs = nlohmann::json::array();
    for (const auto& it : configs_.generations())
        configs.push_back(
            {{"graph", it.graph.value}, {"generation", it.generation}});
    nlohmann::json services = nlohmann::json::object();
    for (const auto& service : router_.services())
        services[service.value] = router_.known_targets(service);
    const auto& self = members_.self();
    const auto& call_counters = caller_.counters();
    const auto& execution_counters = executor_.counters();
    const auto& ticket_counts = tickets_.counters();
    return {
        {"node", self.id.name.value},
        {"life", self.id.life.value},
        {"address", to_string(self.endpoint)},
        {"region", self.region.value},
        {"domain", self.domain.value},
        {"service", self.service.value},
        {"target", to_string(self.target)},
        {"slots", self.slots},
        {"limit", executor_.limit(now)},
        {"running", executor_.running()},
        {"queued", executor_.queued()},
        {"level", executor_.level().value},
        {"in_flight", caller_.in_flight()},
        {"members", {{"alive", alive}, {"suspect", suspect}, {"gone", gone}}},
        {"services", services},
        {"configs", configs},
        {"calls",
         {{"made", call_counters.calls},
          {"attempts", call_counters.attempts},
          {"retries", call_counters.retries},
          {"done", call_counters.done},
          {"not_run", call_counters.not_run},
          {"unknown", call_counters.unknown},
          {"stray_replies", call_counters.stray_replies},
          {"bad_digests", call_counters.bad_digests},
          {"ruled_out", call_counters.ruled_out}}},
        {"executions",
         {{"arrived", execution_counters.arrived},
          {"duplicates", execution_counters.duplicates},
          {"started", execution_counters.started},
          {"refused", execution_counters.rejected},
          {"cancelled", execution_counters.cancelled},
          {"stopped", execution_counters.stopped}}},
        {"tickets",
         {{"minted", ticket_counts.minted},
          {"dispatched", ticket_counts.dispatched},
          {"repeated", ticket_counts.duplicates},
          {"refused", ticket_counts.rejected},
          {"cancelled", ticket_counts.cancelled},
          {"kept", tickets_.size()}}}};
}

} // namespace redwingwind::engine
