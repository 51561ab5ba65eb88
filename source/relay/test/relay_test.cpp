#define BOOST_TEST_MODULE relay
#include <boost/test/unit_test.hpp>

#include <redwingwind/coordination/codec.hpp>
#include <redwingwind/relay/call_router.hpp>
#include <redwingwind/relay/nested_route_detector.hpp>
#include <redwingwind/relay/route_table.hpp>
#include <redwingwind/relay/target_dispatcher.hpp>

#include <limits>
#include <map>
#include <string>
#include <vector>

using namespace redwingwind;
using namespace redwingwind::relay;
using coordination::outcome;
using coordination::relay_call_frame;
using coordination::relay_reply_frame;
using coordination::target_state;
using ms = std::chrono::milliseconds;

namespace {

const time_point start{std::chrono::seconds(100)};
constexpr std::uint64_t wall_ms = 5000;

target_announcement heartbeat_of(const std::string& instance,
                                 std::uint64_t started_ms,
                                 std::uint64_t sequence) {
    target_announcement it;
    it.instance = instance;
    it.service = {"orders"};
    it.slots = 1;
    it.started_ms = started_ms;
    it.sequence = sequence;
    return it;
}

route make_route(const std::string& name, const std::string& prefix,
                 bool is_idempotent) {
    route it;
    it.name = name;
    it.host = "shop.example";
    it.path_prefix = prefix;
    it.is_idempotent = is_idempotent;
    it.max_attempts = 3;
    it.service_weights = {{{"orders"}, 1}};
    return it;
}

traffic_policy two_routes(std::uint64_t version) {
    traffic_policy policy;
    policy.version = version;
    policy.routes = {make_route("look", "/look/", true),
                     make_route("buy", "/buy/", false)};
    return policy;
}

incoming_call call_to(const std::string& target, exchange_id exchange = 1) {
    incoming_call call;
    call.exchange = exchange;
    call.host = "shop.example";
    call.id = {"id-" + std::to_string(exchange)};
    call.time_left = std::chrono::seconds(2);
    call.request = {"GET", target, {}, ""};
    return call;
}

/// A call router with two targets; keeps the frames sent and the results.
struct router_fixture {
    struct sent_call {
        node_name to;
        relay_call_frame call;
    };

    router_fixture() : it(options(), hooks()) {
        it.set_policy(std::make_shared<const traffic_policy>(two_routes(1)));
        it.set_live_nodes(1);
        it.add_target({"orders"}, {{"node-a"}, {"d"}, 10});
        it.add_target({"orders"}, {{"node-b"}, {"d"}, 10});
    }

    static call_router_options options() {
        call_router_options o;
        o.service = {"front"};
        o.domain = {"d"};
        return o;
    }

    call_router::hooks hooks() {
        call_router::hooks h;
        h.send = [this](const node_name& to, const relay_call_frame& call) {
            sent_calls.push_back({to, call});
        };
        h.cancel = [this](const node_name&,
                          const coordination::cancel_frame& cancel) {
            cancelled.push_back(cancel.sequence);
        };
        h.answer = [this](exchange_id exchange, call_result result) {
            BOOST_TEST(results.count(exchange) == 0U);
            results[exchange] = std::move(result);
        };
        h.on_event = [this](const call_event& e) { events.push_back(e); };
        h.on_finished = [](const auto&) {};
        h.retried_share = [] { return 0.0; };
        h.random = make_random(7);
        return h;
    }

    relay_reply_frame reply(outcome what, error_code why = error_code::none) {
        relay_reply_frame r;
        r.sequence = sent_calls.back().call.sequence;
        r.what = what;
        r.why = why;
        r.response.status = 200;
        r.load.limit = 10;
        return r;
    }

    void reply_to_last(const relay_reply_frame& r, time_point now = start) {
        it.on_reply(now, sent_calls.back().to, r);
    }

    std::vector<sent_call> sent_calls;
    std::vector<std::uint64_t> cancelled;
    std::vector<call_event> events;
    std::map<exchange_id, call_result> results;
    call_router it;
};

/// The two routes, of which only "look" needs a credential, with an owner.
traffic_policy with_owner(std::uint64_t version,
                          const std::string& credential) {
    auto policy = two_routes(version);
    policy.routes[1].is_credential_exempt = true;
    policy.identifies_owners = true;
    owner_rule owner;
    owner.name = {"first"};
    owner.credentials = {sha256(credential)};
    owner.priority = 0;
    policy.owners = {owner};
    policy.routes[0].priority = 2;
    return policy;
}

incoming_call call_with(const std::string& credential, exchange_id exchange) {
    auto call = call_to("/look/x", exchange);
    call.credential = credential;
    return call;
}

/// A target dispatcher with a ready target of one slot.
struct dispatcher_fixture {
    dispatcher_fixture() : it(options(), hooks()) {
        auto announcement = heartbeat_of("i-1", 1000, 1);
        it.announce(start, announcement);
    }

    static target_dispatcher_options options() {
        target_dispatcher_options o;
        o.service = {"orders"};
        return o;
    }

    target_dispatcher::hooks hooks() {
        target_dispatcher::hooks h;
        h.dispatch = [this](const target_call& c) { dispatched.push_back(c); };
        h.abort = [this](std::uint64_t n) { aborted.push_back(n); };
        h.reply = [this](const node_incarnation&, const relay_reply_frame& r) {
            replies.push_back(r);
        };
        h.on_target_state = [this](target_state s, std::uint32_t) {
            state = s;
        };
        h.downstream_offered_loads = [](time_point, const std::string&) {
            return std::vector<overload::service_offered_load>();
        };
        h.on_execution_start = [](time_point, const std::string&) {};
        h.on_execution_end = [](time_point, const std::string&, duration) {};
        h.on_event = [](const call_event&) {};
        h.on_finished = [](const auto&) {};
        return h;
    }

    void receive_call(std::uint64_t sequence, bool is_idempotent = true,
                      duration unread_time = {}, float retry_probability = 0) {
        relay_call_frame call;
        call.sequence = sequence;
        call.service = {"orders"};
        call.caller = {"front"};
        call.route = "look";
        call.is_idempotent = is_idempotent;
        call.retry_probability = retry_probability;
        call.time_left_ms = 1000;
        call.latency_left_ms = 500;
        it.on_call(start, caller, call, unread_time);
    }

    node_incarnation caller{{"caller"}, {1}};
    std::vector<target_call> dispatched;
    std::vector<std::uint64_t> aborted;
    std::vector<relay_reply_frame> replies;
    target_state state{target_state::absent};
    target_dispatcher it;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_reply_of_a_target, dispatcher_fixture)

BOOST_AUTO_TEST_CASE(tells_the_speed_that_the_target_reported) {
    target_result result{target_outcome::responded, {}, false};
    receive_call(1);
    it.on_target_result(start, dispatched.back().execution, result);
    BOOST_TEST(replies.back().load.relative_service_time == 0U);
    result.figures = {1, 0, 1, 170};
    receive_call(2);
    it.on_target_result(start, dispatched.back().execution, result);
    BOOST_TEST(replies.back().load.relative_service_time == 170U);
    // Guards against a node that passes on what its target misreports.
    result.figures = {1, 0, 1, -170};
    result.has_malformed_figures = true;
    receive_call(3);
    it.on_target_result(start, dispatched.back().execution, result);
    BOOST_TEST(it.service_time().ignored() == 2U);
    BOOST_TEST(replies.back().load.relative_service_time == 170U);
}

// Guards against control traffic that grows where nothing is reported.
BOOST_AUTO_TEST_CASE(takes_two_bytes_for_a_speed_and_none_without) {
    relay_reply_frame without;
    without.load = {3, 1, 32, 0};
    auto with = without;
    with.load.relative_service_time = 170;
    BOOST_TEST(coordination::encode(with).size() ==
               coordination::encode(without).size() + 2);
    for (const auto& sent : {without, with}) {
        const auto received =
            coordination::decode<relay_reply_frame>(coordination::encode(sent));
        BOOST_REQUIRE(received.ok());
        BOOST_TEST((received->load == sent.load));
    }
    constexpr std::size_t counts = 3 * sizeof(std::uint32_t);
    BOOST_TEST(coordination::encode(without.load).size() == counts);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a node of an earlier version, which passes on any number that
// its target sends in the place of a status.
BOOST_AUTO_TEST_CASE(a_reply_with_no_status_of_a_response_is_no_result) {
    for (const int status : {0, 101, 600, 999}) {
        router_fixture node;
        node.it.on_call(start, call_to("/buy/x"));
        auto reply = node.reply(outcome::done);
        reply.response.status = status;
        node.reply_to_last(reply);
        BOOST_REQUIRE(node.results.size() == 1U);
        const auto& result = node.results.begin()->second;
        BOOST_TEST((result.outcome == outcome::unknown), status);
        BOOST_TEST(node.sent_calls.size() == 1U);
    }
}

BOOST_FIXTURE_TEST_SUITE(a_call_of_an_owner, router_fixture)

// Guards against calls that run without a valid credential, and against a
// route's priority that overrides its owner's.
BOOST_AUTO_TEST_CASE(is_sent_with_the_name_and_priority_of_the_owner) {
    it.set_policy(std::make_shared<const traffic_policy>(with_owner(2, "key")));
    it.on_call(start, call_with("key", 1));
    BOOST_REQUIRE(sent_calls.size() == 1U);
    BOOST_TEST(sent_calls[0].call.owner.value == "first");
    BOOST_TEST(sent_calls[0].call.priority == 0U);
}

BOOST_AUTO_TEST_CASE(is_refused_without_a_valid_credential) {
    it.set_policy(std::make_shared<const traffic_policy>(with_owner(2, "key")));
    it.on_call(start, call_with("", 1));
    it.on_call(start, call_with("other", 2));
    BOOST_TEST(sent_calls.empty());
    BOOST_TEST((results.at(1).error == error_code::unauthorized));
    BOOST_TEST((results.at(2).error == error_code::unauthorized));
    BOOST_TEST((results.at(2).outcome == outcome::not_run));
}

BOOST_AUTO_TEST_CASE(needs_no_credential_on_an_exempt_route) {
    it.set_policy(std::make_shared<const traffic_policy>(with_owner(2, "key")));
    it.on_call(start, call_to("/buy/x"));
    BOOST_REQUIRE(sent_calls.size() == 1U);
    BOOST_TEST(sent_calls[0].call.owner.value.empty());
}

BOOST_AUTO_TEST_CASE(is_refused_once_its_credential_is_withdrawn) {
    it.set_policy(std::make_shared<const traffic_policy>(with_owner(2, "key")));
    it.set_policy(std::make_shared<const traffic_policy>(with_owner(3, "new")));
    it.on_call(start, call_with("key", 1));
    it.on_call(start, call_with("new", 2));
    BOOST_TEST((results.at(1).error == error_code::unauthorized));
    BOOST_TEST(sent_calls.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(routes)

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_host_wins) {
    auto policy = two_routes(1);
    policy.routes.push_back(make_route("deep", "/look/deep/", true));
    policy.routes.push_back(make_route("all", "/", true));
    const route_table table(
        std::make_shared<const traffic_policy>(std::move(policy)));
    const auto name = [&](const char* host, const char* target) {
        const auto n = table.find(host, target);
        return n == route_table::npos ? "" : table.at(n).name;
    };
    BOOST_TEST(name("shop.example", "/look/a?x=/look/deep/") == "look");
    BOOST_TEST(name("SHOP.example:80", "/look/deep/a") == "deep");
    BOOST_TEST(name("shop.example", "/look/deep") == "look");
    BOOST_TEST(name("shop.example", "/other") == "all");
    BOOST_TEST(name("elsewhere.example", "/look/a") == "");
    BOOST_TEST(name("shop.example", "*") == "");
}

BOOST_AUTO_TEST_CASE(weighted_services_get_their_shares_at_any_moment) {
    auto rule = make_route("look", "/look/", true);
    rule.service_weights = {{{"a"}, 90}, {{"b"}, 10}};
    weighted_round_robin round_robin;
    int b = 0;
    for (int n = 1; n <= 200; ++n) {
        b += round_robin.next(rule).value == "b" ? 1 : 0;
        BOOST_TEST(std::abs(b - n / 10.0) <= 1.0);
    }
}

BOOST_AUTO_TEST_CASE(nested_ones_are_detected_by_the_nodes_where_calls_enter) {
    nested_route_detector detector;
    for (int n = 0; n < 60; ++n) {
        for (const auto* from : {"a", "b", "c"})
            detector.on_call(start, "outside", {from});
        detector.on_call(start, "inside", {"a"});
    }
    BOOST_TEST(!detector.is_nested("outside"));
    BOOST_TEST(detector.is_nested("inside"));
    BOOST_TEST(!detector.is_nested("never seen"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_callers_node)

BOOST_AUTO_TEST_CASE(counts_a_calls_time_from_its_arrival) {
    router_fixture node;
    auto call = call_to("/look/1");
    call.arrived = start - ms(700);
    node.it.on_call(start, call);
    BOOST_REQUIRE(node.sent_calls.size() == 1U);
    BOOST_TEST(node.sent_calls[0].call.time_left_ms == 1300U);
    node.it.tick(start + ms(1300) + router_fixture::options().answer_grace);
    BOOST_TEST(node.results.count(1) == 1U);
}

BOOST_AUTO_TEST_CASE(knows_which_calls_are_idempotent) {
    const router_fixture node;
    BOOST_TEST(node.it.is_idempotent("shop.example", "/look/1"));
    BOOST_TEST(!node.it.is_idempotent("shop.example", "/buy/1"));
    BOOST_TEST(!node.it.is_idempotent("shop.example", "/nowhere/"));
}

BOOST_AUTO_TEST_CASE(without_a_configuration_reports_not_run) {
    router_fixture node;
    call_router unconfigured(router_fixture::options(), node.hooks());
    unconfigured.on_call(start, call_to("/look/a"));
    BOOST_TEST((node.results.at(1).outcome == outcome::not_run));
    BOOST_TEST((node.results.at(1).error == error_code::no_policy));
}

BOOST_AUTO_TEST_CASE(forwards_a_call_and_returns_the_response) {
    router_fixture node;
    node.it.on_call(start, call_to("/look/a%2Fb?x=%26"));
    BOOST_TEST(node.sent_calls.back().call.request.target ==
               "/look/a%2Fb?x=%26");
    BOOST_TEST(node.sent_calls.back().call.time_left_ms == 2000U);
    node.reply_to_last(node.reply(outcome::done));
    BOOST_TEST((node.results.at(1).outcome == outcome::done));
    BOOST_TEST(node.it.open_calls() == 0U);
}

BOOST_AUTO_TEST_CASE(tries_another_node_after_a_rejection) {
    router_fixture node;
    node.it.on_call(start, call_to("/buy/a"));
    const auto first = node.sent_calls.back().to;
    node.reply_to_last(node.reply(outcome::not_run, error_code::overloaded));
    BOOST_TEST(node.sent_calls.size() == 2U);
    BOOST_TEST((node.sent_calls.back().to != first));
    node.reply_to_last(node.reply(outcome::not_run, error_code::overloaded));
    BOOST_TEST((node.results.at(1).outcome == outcome::not_run));
}

BOOST_AUTO_TEST_CASE(never_retries_a_call_that_is_not_idempotent) {
    router_fixture node;
    node.it.on_call(start, call_to("/buy/a"));
    node.reply_to_last(node.reply(outcome::unknown, error_code::cut_off));
    BOOST_TEST(node.sent_calls.size() == 1U);
    BOOST_TEST((node.results.at(1).outcome == outcome::unknown));
}

BOOST_AUTO_TEST_CASE(retries_idempotent_calls_and_then_reports_unknown) {
    router_fixture node;
    for (int n = 0; n < 100; ++n) {
        node.it.on_call(start, call_to("/look/a", 100 + n));
        node.reply_to_last(node.reply(outcome::done));
    }
    node.it.on_call(start, call_to("/look/a", 1));
    node.reply_to_last(node.reply(outcome::unknown, error_code::cut_off));
    BOOST_TEST(node.sent_calls.back().call.retry_probability == 1.0F);
    node.reply_to_last(node.reply(outcome::not_run, error_code::overloaded));
    BOOST_TEST((node.results.at(1).outcome == outcome::unknown));
}

BOOST_AUTO_TEST_CASE(retries_any_call_after_a_refused_connection) {
    router_fixture node;
    node.it.on_call(start, call_to("/buy/a"));
    node.it.on_unreachable(start, node.sent_calls.back().to, false);
    BOOST_TEST(node.sent_calls.size() == 2U);
    node.it.on_unreachable(start, node.sent_calls.back().to, true);
    BOOST_TEST((node.results.at(1).outcome == outcome::unknown));
}

// A call that a target already has must not count as never sent.
BOOST_AUTO_TEST_CASE(places_only_the_call_that_was_not_sent_elsewhere) {
    router_fixture node;
    node.it.remove_target({"node-b"});
    node.it.on_call(start, call_to("/buy/1", 1));
    node.it.on_call(start, call_to("/buy/2", 2));
    node.it.add_target({"orders"}, {{"node-b"}, {"d"}, 10});
    node.it.on_not_sent(start, node.sent_calls.back().call.sequence);
    BOOST_REQUIRE(node.sent_calls.size() == 3U);
    BOOST_TEST((node.sent_calls.back().to == node_name{"node-b"}));
    BOOST_TEST(node.sent_calls.back().call.id.value == "id-2");
    // Its end is reported twice; the second report finds nothing.
    node.it.on_not_sent(start, node.sent_calls[1].call.sequence);
    BOOST_TEST(node.sent_calls.size() == 3U);
}

// Guards against calls that are longer than usual and are cut at the stop.
BOOST_AUTO_TEST_CASE(admits_only_calls_whose_time_ends_before_it_stops) {
    router_fixture node;
    node.it.on_call(start, call_to("/look/a", 1));
    node.reply_to_last(node.reply(outcome::done), start + ms(40));
    node.it.on_call(start, call_to("/buy/a", 2));
    node.reply_to_last(node.reply(outcome::done), start + ms(40));
    node.it.stop_by(start + ms(4000));
    for (const auto* path : {"/look/b", "/buy/b"}) {
        node.results.clear();
        auto call = call_to(path, 3);
        call.time_left = ms(1001);
        node.it.on_call(start + ms(3000), call);
        BOOST_TEST((node.results.at(3).outcome == outcome::not_run));
        BOOST_TEST((node.results.at(3).error == error_code::draining));
        call.exchange = 4;
        call.time_left = ms(1000);
        node.it.on_call(start + ms(3000), call);
        BOOST_TEST(node.results.count(4) == 0U);
        node.reply_to_last(node.reply(outcome::done), start + ms(3900));
    }
    node.it.on_call(start + ms(3980), call_to("/buy/c", 5));
    BOOST_TEST((node.results.at(5).error == error_code::draining));
}

// Guards against running calls that fail for want of those they make.
BOOST_AUTO_TEST_CASE(admits_nested_calls_that_usually_finish_before_it_stops) {
    router_fixture node;
    const auto answer_nested = [&](duration after) {
        auto reply = node.reply(outcome::done);
        reply.is_nested = true;
        node.reply_to_last(reply, start + after);
    };
    node.it.on_call(start, call_to("/look/a", 1));
    answer_nested(ms(1500));
    node.it.on_call(start, call_to("/buy/a", 2));
    answer_nested(ms(40));
    // A long one is not forgotten for many short ones.
    for (exchange_id n = 10; n < 1010; ++n) {
        node.it.on_call(start, call_to("/look/a", n));
        answer_nested(ms(40));
    }
    node.it.stop_by(start + ms(4000));
    node.it.on_call(start + ms(3000), call_to("/look/b", 3));
    BOOST_TEST((node.results.at(3).error == error_code::draining));
    node.it.on_call(start + ms(3000), call_to("/buy/b", 4));
    BOOST_TEST(node.results.count(4) == 0U);
    node.it.on_call(start + ms(3980), call_to("/buy/c", 5));
    BOOST_TEST((node.results.at(5).error == error_code::draining));
}

BOOST_AUTO_TEST_CASE(lets_the_target_finish_admitted_calls_before_it_stops) {
    router_fixture node;
    node.it.on_call(start, call_to("/look/a", 2));
    auto nested = node.reply(outcome::done);
    nested.is_nested = true;
    node.reply_to_last(nested);
    node.it.stop_by(start + ms(4000));
    auto call = call_to("/look/a");
    call.time_left = std::chrono::seconds(6);
    node.it.on_call(start + ms(2000), call);
    BOOST_REQUIRE(node.sent_calls.size() == 2U);
    // The target gives up at that time by itself; its response is returned.
    BOOST_TEST(node.sent_calls.back().call.time_left_ms == 2000U);
    node.it.tick(start + ms(4090));
    BOOST_TEST(node.results.count(1) == 0U);
    auto late = node.reply(outcome::done, error_code::target_failed);
    late.response.status = 504;
    node.reply_to_last(late, start + ms(4100));
    BOOST_REQUIRE(node.results.count(1) == 1U);
    BOOST_TEST(node.results.at(1).response.status == 504);
}

// Guards against a call that is sent again too late to finish.
BOOST_AUTO_TEST_CASE(sends_no_call_again_that_cannot_finish_before_it_stops) {
    router_fixture node;
    node.it.on_call(start, call_to("/buy/a", 1));
    node.it.on_call(start, call_to("/buy/a", 2));
    node.it.stop_by(start + ms(1000));
    node.reply_to_last(node.reply(outcome::not_run, error_code::target_shed),
                       start + ms(500));
    BOOST_TEST((node.results.at(2).outcome == outcome::not_run));
    node.it.on_not_sent(start + ms(500), node.sent_calls.front().call.sequence);
    BOOST_TEST((node.results.at(1).outcome == outcome::not_run));
    BOOST_TEST((node.results.at(1).error == error_code::draining));
    BOOST_TEST(node.sent_calls.size() == 2U);
}

BOOST_AUTO_TEST_CASE(latencies_count_for_one_to_two_windows) {
    recent_maximum it;
    it.add(start, ms(900));
    it.add(start + recent_maximum::window, ms(40));
    BOOST_TEST((it.value() == ms(900)));
    it.add(start + 2 * recent_maximum::window, ms(30));
    BOOST_TEST((it.value() == ms(40)));
    it.add(start + 5 * recent_maximum::window, ms(20));
    BOOST_TEST((it.value() == ms(20)));
}

BOOST_AUTO_TEST_CASE(finishes_all_open_calls_before_it_exits) {
    router_fixture node;
    node.it.on_call(start, call_to("/look/a", 1));
    node.it.on_call(start, call_to("/buy/a", 2));
    node.it.finish_all_calls(start + ms(100));
    BOOST_TEST((node.results.at(1).outcome == outcome::unknown));
    BOOST_TEST((node.results.at(2).outcome == outcome::unknown));
    BOOST_TEST(node.cancelled.size() == 2U);
    BOOST_TEST(node.it.open_calls() == 0U);
}

BOOST_AUTO_TEST_CASE(retries_at_the_last_target_when_no_other_is_allowed) {
    router_fixture node;
    for (int n = 0; n < 60; ++n) {
        node.it.on_call(start, call_to("/look/a", 100 + n));
        node.reply_to_last(node.reply(outcome::done));
    }
    node.it.on_call(start, call_to("/look/a", 1));
    const auto first = node.sent_calls.back().to;
    node.reply_to_last(node.reply(outcome::not_run, error_code::target_shed));
    const auto second = node.sent_calls.back().to;
    BOOST_TEST((second != first));
    node.reply_to_last(node.reply(outcome::not_run, error_code::target_shed));
    BOOST_TEST((node.sent_calls.back().to == second));
    node.reply_to_last(node.reply(outcome::done));
    BOOST_TEST((node.results.at(1).outcome == outcome::done));
}

BOOST_AUTO_TEST_CASE(reports_each_sending_after_a_refusal_by_a_target) {
    router_fixture node;
    node.it.on_call(start, call_to("/buy/1"));
    const auto first = node.sent_calls.back().to;
    node.reply_to_last(node.reply(outcome::not_run, error_code::target_shed));
    BOOST_REQUIRE(node.events.size() == 1U);
    const auto& event = node.events.back();
    BOOST_TEST(event.name == "repeated");
    BOOST_TEST((event.error == error_code::target_shed));
    BOOST_TEST((event.peer == first));
    BOOST_TEST(event.refusals == 1U);
}

BOOST_AUTO_TEST_CASE(does_not_retry_at_a_service_whose_executions_mostly_fail) {
    router_fixture node;
    for (int n = 0; n < 60; ++n) {
        node.it.on_call(start, call_to("/look/a", 100 + n));
        node.reply_to_last(
            node.reply(outcome::done, error_code::target_failed));
        if (node.results.count(100 + n) == 0)
            node.reply_to_last(
                node.reply(outcome::done, error_code::target_failed));
    }
    const auto before = node.sent_calls.size();
    node.it.on_call(start, call_to("/look/a", 1));
    node.reply_to_last(node.reply(outcome::done, error_code::target_failed));
    BOOST_TEST(node.sent_calls.size() == before + 1);
    BOOST_TEST(node.results.count(1) == 1U);
}

BOOST_AUTO_TEST_CASE(reports_a_timeout_and_cancels_at_the_deadline) {
    router_fixture node;
    node.it.on_call(start, call_to("/look/a"));
    node.it.tick(start + ms(1999));
    BOOST_TEST(node.results.empty());
    node.it.tick(node.it.next_due());
    BOOST_TEST((node.results.at(1).error == error_code::timed_out));
    BOOST_TEST(node.cancelled.size() == 1U);
    // A reply after that is ignored.
    node.reply_to_last(node.reply(outcome::done));
}

BOOST_AUTO_TEST_CASE(cancels_the_execution_for_a_caller_that_disconnected) {
    router_fixture node;
    node.it.on_call(start, call_to("/look/a"));
    node.it.on_caller_disconnected(start, 1);
    BOOST_TEST(node.cancelled.size() == 1U);
    BOOST_TEST(node.it.open_calls() == 0U);
}

BOOST_AUTO_TEST_CASE(ignores_an_older_configuration) {
    router_fixture node;
    node.it.set_policy(std::make_shared<const traffic_policy>(two_routes(5)));
    node.it.set_policy(std::make_shared<const traffic_policy>(two_routes(4)));
    BOOST_TEST(node.it.policy_version() == 5U);
}

BOOST_AUTO_TEST_CASE(admits_no_calls_shortly_before_it_stops) {
    router_fixture node;
    node.it.stop_by(start);
    node.it.on_call(start, call_to("/buy/a"));
    BOOST_TEST((node.results.at(1).error == error_code::draining));
    BOOST_TEST(node.sent_calls.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_targets_node)

BOOST_AUTO_TEST_CASE(subtracts_the_unread_time_from_the_time_left) {
    dispatcher_fixture node;
    node.receive_call(1, true, ms(400));
    BOOST_REQUIRE(node.dispatched.size() == 1U);
    BOOST_TEST((node.dispatched[0].time_left == ms(600)));
    node.it.on_target_result(start, node.dispatched[0].execution, {});
    // The deadline of this one has passed.
    node.receive_call(2, true, ms(1000));
    BOOST_TEST(node.dispatched.size() == 1U);
    BOOST_REQUIRE(node.replies.size() == 2U);
    BOOST_TEST((node.replies[1].what == outcome::not_run));
}

BOOST_AUTO_TEST_CASE(removes_a_finished_call_from_both_indexes) {
    dispatcher_fixture node;
    node.receive_call(1);
    node.it.on_target_result(start, node.dispatched.back().execution,
                             {target_outcome::responded, {}, false});
    BOOST_TEST((node.replies.back().what == outcome::done));
    // A cancel that crossed the reply finds nothing, and does not throw.
    node.it.on_cancel(start, node.caller, 1);
    node.it.on_caller_gone(start, node.caller);
    BOOST_TEST(node.aborted.empty());
    BOOST_TEST(node.it.open_calls() == 0U);
}

BOOST_AUTO_TEST_CASE(knows_the_share_of_retried_executions) {
    dispatcher_fixture node;
    node.receive_call(1, true, {}, 0.25F);
    BOOST_TEST(node.it.retried_share() == 0.25);
    node.it.on_target_result(start, node.dispatched.back().execution,
                             {target_outcome::responded, {}, false});
    BOOST_TEST(node.it.retried_share() == 0.0);
    node.receive_call(2, true, {}, std::numeric_limits<float>::quiet_NaN());
    BOOST_TEST(node.it.retried_share() == 1.0);
}

BOOST_AUTO_TEST_CASE(cancels_an_idempotent_execution_when_its_caller_cancels) {
    dispatcher_fixture node;
    node.receive_call(1);
    node.receive_call(2);
    node.it.on_cancel(start, node.caller, 1);
    BOOST_TEST(node.aborted.size() == 1U);
    BOOST_TEST(node.dispatched.size() == 2U);
}

BOOST_AUTO_TEST_CASE(lets_an_execution_that_is_not_idempotent_finish) {
    dispatcher_fixture node;
    node.receive_call(1, false);
    node.it.on_cancel(start, node.caller, 1);
    BOOST_TEST(node.aborted.empty());
    node.it.on_target_result(start, node.dispatched.back().execution,
                             {target_outcome::responded, {}, false});
    BOOST_TEST(node.replies.empty());
}

BOOST_AUTO_TEST_CASE(sends_no_new_calls_to_a_draining_target) {
    dispatcher_fixture node;
    node.receive_call(1);
    node.receive_call(2);
    node.it.withdraw_target(start, "i-1", wall_ms);
    BOOST_TEST((node.state == target_state::draining));
    BOOST_REQUIRE(node.replies.size() == 1U);
    BOOST_TEST((node.replies[0].what == outcome::not_run));
    node.receive_call(3);
    BOOST_TEST(node.dispatched.size() == 1U);
    BOOST_TEST((node.replies[1].why == error_code::draining));
}

BOOST_AUTO_TEST_CASE(ignores_a_late_heartbeat_of_an_earlier_incarnation) {
    dispatcher_fixture node;
    auto newer = heartbeat_of("i-2", 2000, 1);
    node.it.announce(start, newer);
    auto older = newer;
    older.instance = "i-1";
    older.started_ms = 1000;
    older.sequence = 90;
    older.is_draining = true;
    node.it.announce(start, older);
    BOOST_TEST(node.it.instance() == "i-2");
    BOOST_TEST((node.state == target_state::ready));
    // A withdrawal by the earlier incarnation is ignored too.
    node.it.withdraw_target(start, "i-1", wall_ms);
    BOOST_TEST((node.state == target_state::ready));
}

// Guards against a heartbeat of before the departure that opens the gate again.
BOOST_AUTO_TEST_CASE(ignores_a_late_heartbeat_of_a_target_that_left) {
    dispatcher_fixture node;
    node.it.withdraw_target(start, "i-1", wall_ms);
    auto late = heartbeat_of("i-1", 1000, 2);
    BOOST_TEST(!node.it.announce(start + ms(2000), late));
    BOOST_TEST((node.state == target_state::draining));
    node.receive_call(1, false);
    BOOST_TEST(node.dispatched.empty());
    BOOST_TEST((node.replies.at(0).what == outcome::not_run));
}

// Guards against a heartbeat of before the departure that an earlier life of
// the node was told.
BOOST_AUTO_TEST_CASE(uses_a_target_in_doubt_once_it_is_confirmed) {
    auto said = heartbeat_of("i-2", 4000, 1);
    const auto until = start + target_statements::max_delay;
    for (const bool is_told_late : {false, true}) {
        dispatcher_fixture node;
        node.it.announce(start, said);
        BOOST_TEST((node.state == target_state::ready));
        node.it.doubt(start, until, said.started_ms + 1);
        BOOST_TEST((node.state == target_state::absent));
        auto next = said;
        next.sequence = 2;
        // Heartbeats that were held up may arrive together.
        node.it.announce(start + ms(10), next);
        BOOST_TEST((node.state == target_state::absent));
        next.sequence = 3;
        const auto later = is_told_late ? until : start + ms(1000);
        node.it.announce(later, next);
        BOOST_TEST((node.state == target_state::ready));
    }
    dispatcher_fixture node;
    node.it.doubt(start, until, said.started_ms);
    node.it.announce(start, said);
    BOOST_TEST((node.state == target_state::ready));
}

// Guards against late heartbeats that confirm each other, at a node that others
// told which target departs.
BOOST_AUTO_TEST_CASE(does_not_use_a_target_that_an_earlier_life_saw_leave) {
    auto late = heartbeat_of("i-1", 1000, 2);
    for (const bool is_told_first : {false, true}) {
        dispatcher_fixture node;
        const auto until = start + target_statements::max_delay;
        node.it.doubt(start, until, wall_ms);
        if (is_told_first)
            node.it.end_target(start, "i-1", 1000);
        for (const int at_ms : {1000, 2500, 4000}) {
            ++late.sequence;
            node.it.announce(start + ms(at_ms), late);
        }
        node.it.end_target(start + ms(4000), "i-1", 1000);
        BOOST_TEST((node.state == target_state::draining));
        // Another target that is there already needs no confirmation now.
        target_announcement next = late;
        next.instance = "i-2";
        next.sequence = 1;
        node.it.announce(start + ms(4000), next);
        node.it.end_doubt(start + ms(4000));
        BOOST_TEST((node.state == target_state::ready));
    }
}

// Guards against a denial of an earlier incarnation that closes the gate.
BOOST_AUTO_TEST_CASE(keeps_a_new_target_when_the_one_before_is_denied) {
    dispatcher_fixture node;
    node.receive_call(1);
    auto newer = heartbeat_of("i-2", 2000, 1);
    node.it.announce(start, newer);
    node.it.on_target_result(start, node.dispatched.back().execution,
                             {target_outcome::other_instance, {}, false});
    BOOST_TEST((node.state == target_state::ready));
}

BOOST_AUTO_TEST_CASE(
    waits_for_a_heartbeat_when_another_instance_has_the_address) {
    dispatcher_fixture node;
    node.receive_call(1);
    node.it.on_target_result(start, node.dispatched.back().execution,
                             {target_outcome::other_instance, {}, false});
    BOOST_TEST((node.replies.back().what == outcome::not_run));
    BOOST_TEST((node.state == target_state::absent));
}

BOOST_AUTO_TEST_CASE(considers_a_silent_target_absent) {
    dispatcher_fixture node;
    node.it.tick(start + std::chrono::seconds(7));
    BOOST_TEST((node.state == target_state::absent));
}

BOOST_AUTO_TEST_SUITE_END()
