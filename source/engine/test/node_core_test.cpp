#define BOOST_TEST_MODULE engine
#include "fake_cluster.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <set>

using namespace redwingwind;
using namespace redwingwind::engine;
using namespace redwingwind::engine::test;
using namespace std::chrono_literals;

namespace {

/// front calls middle, middle calls back; two nodes of each.
struct chain {
    explicit chain(std::uint64_t seed, double failure_share = 0)
        : cluster(seed) {
        fake_route front{5ms, {"/middle/work"}, 0};
        fake_route middle{5ms, {"/back/work"}, 0};
        fake_route back{5ms, {}, failure_share};
        for (int n = 0; n < 6; ++n) {
            const char* services[] = {"front", "middle", "back"};
            const fake_route routes[] = {front, middle, back};
            cluster.add(n, services[n % 3], 8, {{"/work", routes[n % 3]}});
        }
        cluster.run(8s);
    }

    fake_cluster cluster;
};

overload::graph_policy policy_with(bool idempotent,
                                   std::uint32_t retry_budget) {
    overload::graph_policy policy;
    policy.retry_budget = retry_budget;
    policy.retry_ratio = 1.0;
    for (const auto* service : {"front", "middle", "back"})
        policy.routes.push_back(
            {{service}, "/", overload::importance::lookup, idempotent, 1s});
    return policy;
}

std::size_t executions_at(const fake_cluster& cluster, const std::string& root,
                          const std::string& service) {
    const auto& all = cluster.records();
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [&](const fake_record& it) {
            return it.root == root && it.service == service;
        }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(calls)

BOOST_AUTO_TEST_CASE(go_down_the_graph_and_come_back_whole) {
    chain c(1);
    const auto answer = c.cluster.call(2, make_call("/front/work", "", "r1"));
    c.cluster.run(200ms);
    BOOST_REQUIRE(answer->has_come);
    BOOST_TEST(int(answer->reply.what) == int(outcome::done));
    BOOST_TEST(answer->reply.body == "r1");
    BOOST_TEST(c.cluster.executions_of("r1") == 3U);
}

BOOST_AUTO_TEST_CASE(to_a_service_without_targets_are_told_not_run) {
    chain c(2);
    const auto answer = c.cluster.call(0, make_call("/none/work", "", "r1"));
    c.cluster.run(50ms);
    BOOST_TEST(int(answer->reply.what) == int(outcome::not_run));
    BOOST_TEST(int(answer->reply.why) == int(error_code::no_target));
}

BOOST_AUTO_TEST_SUITE(with_bad_input)

BOOST_AUTO_TEST_CASE(are_refused_with_what_is_allowed) {
    chain c(3);
    auto bad_class = make_call("/front/work", "urgent", "r1");
    auto bad_deadline = make_call("/front/work", "", "r2");
    bad_deadline.deadline_ms = "-5";
    auto bad_attempt = make_call("/front/work", "", "r3");
    bad_attempt.attempt = "many";
    auto bad_context = make_call("/front/work", "", "r4");
    bad_context.context = "1~zz~";
    for (const auto& call :
         {bad_class, bad_deadline, bad_attempt, bad_context,
          make_call("/", "", "r5"), make_call("/front/work", "", "r 6")}) {
        const auto answer = c.cluster.call(0, call);
        c.cluster.run(10ms);
        BOOST_TEST(answer->reply.status == 400);
        BOOST_TEST(int(answer->reply.what) == int(outcome::not_run));
    }
    BOOST_TEST(c.cluster.records().empty());
}

BOOST_AUTO_TEST_CASE(sent_again_too_often_are_refused) {
    chain c(4);
    auto call = make_call("/front/work", "", "r1");
    call.attempt = "4";
    const auto answer = c.cluster.call(0, call);
    c.cluster.run(10ms);
    BOOST_TEST(int(answer->reply.why) == int(error_code::retry_cap));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(that_are_abandoned_stop_below) {
    chain c(5);
    std::uint64_t number = 0;
    number = c.cluster.core(2).on_call(
        c.cluster.now(), make_call("/front/work", "", "r1"),
        [](const call_request&, const call_response&) {});
    c.cluster.run(3ms);
    c.cluster.core(2).abandon(c.cluster.now(), number);
    c.cluster.run(200ms);
    BOOST_TEST(executions_at(c.cluster, "r1", "back") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(retries)

// First attempt of the caller: each call is executed at most 1 + budget
// times, whatever fails wherever.
RC_BOOST_PROP(stay_within_the_bound_over_the_whole_tree, ()) {
    const auto budget = *rc::gen::inRange<std::uint32_t>(0, 4);
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    chain c(seed, *rc::gen::element(0.3, 0.6, 1.0));
    c.cluster.set_policy(policy_with(true, budget));
    for (int n = 0; n < 10; ++n) {
        c.cluster.call(n % 6,
                       make_call("/front/work", "", "r" + std::to_string(n)));
        if (*rc::gen::inRange(0, 3) == 0)
            c.cluster.cut_link(*rc::gen::inRange(0, 6),
                               *rc::gen::inRange(0, 6));
        c.cluster.run(std::chrono::milliseconds(*rc::gen::inRange(1, 40)));
    }
    c.cluster.run(2s);
    for (int n = 0; n < 10; ++n)
        for (const auto* service : {"front", "middle", "back"})
            RC_ASSERT(executions_at(c.cluster, "r" + std::to_string(n),
                                    service) <= 1 + budget);
}

// Seen in an experiment: a lookup whose first attempt may have run and whose
// retry was rejected was told not-run.
RC_BOOST_PROP(do_not_hide_that_an_earlier_attempt_may_have_run, ()) {
    chain c(*rc::gen::arbitrary<std::uint64_t>(), 0.7);
    c.cluster.set_policy(policy_with(true, 3));
    std::vector<std::shared_ptr<fake_answer>> answers;
    for (int n = 0; n < 20; ++n) {
        answers.push_back(c.cluster.call(
            n % 6, make_call("/front/work", "", "r" + std::to_string(n))));
        c.cluster.run(std::chrono::milliseconds(*rc::gen::inRange(1, 20)));
        const int drained = *rc::gen::inRange(0, 20);
        if (drained < 6)
            c.cluster.core(drained).drain(c.cluster.now());
    }
    c.cluster.run(3s);
    for (std::size_t n = 0; n < answers.size(); ++n)
        if (answers[n]->reply.what == outcome::not_run)
            RC_ASSERT(c.cluster.executions_of("r" + std::to_string(n)) == 0U);
}

BOOST_AUTO_TEST_CASE(are_made_when_they_help) {
    chain c(7, 0.3);
    c.cluster.set_policy(policy_with(true, 3));
    int good = 0;
    for (int n = 0; n < 50; ++n) {
        const auto answer = c.cluster.call(
            0, make_call("/front/work", "", "r" + std::to_string(n)));
        c.cluster.run(200ms);
        good += answer->reply.what == outcome::done ? 1 : 0;
    }
    BOOST_TEST(good > 42);
}

BOOST_AUTO_TEST_CASE(are_not_made_for_what_must_not_repeat) {
    chain c(8, 1.0);
    c.cluster.set_policy(policy_with(false, 3));
    c.cluster.call(0, make_call("/front/work", "", "r1"));
    c.cluster.run(2s);
    BOOST_TEST(executions_at(c.cluster, "r1", "back") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(requests_with_a_ticket)

namespace {

struct sent_request {
    std::string id;
    std::string ticket;
    std::vector<std::shared_ptr<fake_answer>> answers;
};

} // namespace

BOOST_AUTO_TEST_CASE(run_once_however_often_and_wherever_they_are_sent) {
    chain c(9);
    c.cluster.set_policy(policy_with(false, 2));
    const auto t = c.cluster.core(1).mint_tickets(c.cluster.now(), 1)[0];
    std::vector<std::shared_ptr<fake_answer>> answers;
    for (int n = 0; n < 6; ++n)
        answers.push_back(
            c.cluster.call(n, make_call("/front/work", "order", "r1", t)));
    c.cluster.run(300ms);
    BOOST_TEST(executions_at(c.cluster, "r1", "front") == 1U);
    for (const auto& answer : answers)
        BOOST_TEST(answer->reply.body == "r1");
}

BOOST_AUTO_TEST_CASE(whose_home_is_gone_are_unknown_and_never_run) {
    chain c(10);
    const auto t = c.cluster.core(1).mint_tickets(c.cluster.now(), 1)[0];
    c.cluster.kill(1);
    c.cluster.run(20s);
    const auto answer =
        c.cluster.call(0, make_call("/front/work", "order", "r1", t));
    c.cluster.run(200ms);
    BOOST_TEST(int(answer->reply.what) == int(outcome::unknown));
    BOOST_TEST(int(answer->reply.why) == int(error_code::ticket_home_gone));
    BOOST_TEST(c.cluster.executions_of("r1") == 0U);
}

BOOST_AUTO_TEST_CASE(that_are_forged_are_refused) {
    chain c(11);
    const auto answer = c.cluster.call(
        0, make_call("/front/work", "order", "r1", "n1~1~1~ffffff~00"));
    c.cluster.run(50ms);
    BOOST_TEST(int(answer->reply.why) == int(error_code::ticket_forged));
}

BOOST_AUTO_TEST_CASE(that_are_cancelled_from_anywhere_never_run) {
    chain c(12);
    const auto t = c.cluster.core(1).mint_tickets(c.cluster.now(), 1)[0];
    fake_answer cancelled;
    c.cluster.core(4).cancel_ticket(
        c.cluster.now(), t,
        [&](const call_request&, const call_response& reply) {
            cancelled.reply = reply;
        });
    c.cluster.run(50ms);
    BOOST_TEST(int(cancelled.reply.what) == int(outcome::not_run));
    const auto answer =
        c.cluster.call(0, make_call("/front/work", "order", "r1", t));
    c.cluster.run(200ms);
    BOOST_TEST(int(answer->reply.what) == int(outcome::not_run));
    BOOST_TEST(c.cluster.executions_of("r1") == 0U);
}

// Cuts, pauses, kills and resends at any moment.
RC_BOOST_PROP(run_at_most_once_and_are_told_the_truth, ()) {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    chain c(seed);
    auto& cluster = c.cluster;
    cluster.set_policy(policy_with(false, 2));
    cluster.datagram_loss = 0.1;
    std::vector<sent_request> sent;
    int paused = -1;
    int killed = -1;
    for (int step = 0; step < 60; ++step) {
        const int n = *rc::gen::inRange(0, 6);
        const int m = *rc::gen::inRange(0, 6);
        switch (*rc::gen::inRange(0, 8)) {
        case 0:
        case 1:
        case 2: {
            if (!cluster.is_up(n))
                break;
            sent_request it;
            it.id = "r" + std::to_string(sent.size());
            it.ticket = cluster.core(n).mint_tickets(cluster.now(), 1)[0];
            it.answers.push_back(cluster.call(
                m, make_call("/front/work", "order", it.id, it.ticket)));
            sent.push_back(it);
            break;
        }
        case 3:
        case 4:
            if (!sent.empty()) {
                auto& it = sent[static_cast<std::size_t>(step) % sent.size()];
                it.answers.push_back(cluster.call(
                    n, make_call("/front/work", "order", it.id, it.ticket)));
            }
            break;
        case 5:
            if (n != m)
                cluster.cut_link(n, m);
            break;
        case 6:
            if (paused >= 0)
                cluster.resume(paused);
            paused = paused >= 0 ? -1 : n;
            if (paused >= 0)
                cluster.pause(paused);
            break;
        default:
            if (killed < 0 && step > 30) {
                killed = n;
                cluster.kill(n);
            }
        }
        cluster.run(std::chrono::milliseconds(*rc::gen::inRange(1, 60)));
    }
    if (paused >= 0)
        cluster.resume(paused);
    cluster.run(5s);
    for (const auto& it : sent) {
        const auto runs = executions_at(cluster, it.id, "front");
        RC_ASSERT(runs <= 1U);
        RC_ASSERT(executions_at(cluster, it.id, "back") <= 1U);
        bool was_told_not_run = !it.answers.empty();
        for (const auto& answer : it.answers)
            was_told_not_run = was_told_not_run && answer->has_come &&
                               answer->reply.what == outcome::not_run;
        if (was_told_not_run)
            RC_ASSERT(runs == 0U);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_leaving_target)

BOOST_AUTO_TEST_CASE(gets_no_new_work_after_three_seconds_and_loses_none) {
    chain c(13);
    c.cluster.set_policy(policy_with(false, 2));
    std::vector<std::shared_ptr<fake_answer>> answers;
    std::size_t started_then = 0;
    for (int n = 0; n < 500; ++n) {
        answers.push_back(c.cluster.call(
            n % 6, make_call("/front/work", "order", "r" + std::to_string(n))));
        c.cluster.run(10ms);
        if (n == 100)
            c.cluster.core(0).drain(c.cluster.now());
        if (n == 400)
            started_then = c.cluster.core(0).executions().counters().started;
    }
    c.cluster.run(1s);
    BOOST_TEST(c.cluster.core(0).executions().counters().started ==
               started_then);
    for (const auto& answer : answers)
        BOOST_TEST(int(answer->reply.what) == int(outcome::done));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_suspected_node)

BOOST_AUTO_TEST_CASE(gets_no_calls_while_another_serves) {
    call_router router({}, {"self"}, {"r"}, {"d"});
    const auto random = make_random(3);
    coordination::member_record record;
    record.region = {"r"};
    record.domain = {"d"};
    record.service = {"s"};
    record.slots = 4;
    record.target = coordination::target_state::ready;
    for (const auto* name : {"a", "b"}) {
        record.id = {{name}, {1}};
        router.on_member(record);
    }
    record.state = coordination::member_state::suspect;
    router.on_member(record);
    for (int n = 0; n < 20; ++n)
        BOOST_TEST(router.pick(time_point(9s), {"s"}, {}, random)->value ==
                   "a");
    record.id = {{"a"}, {1}};
    router.on_member(record);
    BOOST_TEST(router.pick(time_point(9s), {"s"}, {}, random).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(arrivals)

BOOST_AUTO_TEST_CASE(that_were_ruled_out_never_run) {
    arrival_log log;
    const call_origin origin{{{"n1"}, {1}}, 7};
    BOOST_TEST(log.rule_out(time_point(1s), origin));
    BOOST_TEST(!log.arrive(time_point(2s), origin));
}

BOOST_AUTO_TEST_CASE(that_were_forgotten_are_not_denied) {
    arrival_log log(1s);
    const call_origin origin{{{"n1"}, {1}}, 7};
    BOOST_TEST(log.arrive(time_point(1s), origin));
    log.remove_expired(time_point(10s));
    BOOST_TEST(!log.rule_out(time_point(10s), origin));
    BOOST_TEST(!log.arrive(time_point(10s), origin));
}

BOOST_AUTO_TEST_SUITE_END()
