#include "platform_agent.hpp"
#include "virtual_timers.hpp"

#include <redwingwind/coordination/config_replicator.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

using namespace redwingwind;
using namespace redwingwind::node;
using namespace std::chrono_literals;

namespace {

constexpr duration patience = 10s;
/// While a request is awaited, the virtual clock goes on by one step for each
/// real one.
constexpr duration real_step = 4ms;
constexpr duration virtual_step = 20ms;
const std::string config_path = "GET /objects/config/main";
const std::string watch_path = "GET /objects/config?watch=";
const std::string list_path = "GET /objects/redwingwind-nodes";
const std::string create_path = "POST /objects/redwingwind-nodes";
const std::string remove_path = "DELETE /objects/redwingwind-nodes/";

std::string object_text(const std::string& name, std::uint64_t revision,
                        const std::string& spec) {
    return R"({"metadata":{"name":")" + name + R"(","revision":)" +
           std::to_string(revision) + R"(},"spec":)" + spec + "}";
}

std::string config_text(std::uint64_t revision, std::uint64_t version) {
    return object_text("main", revision, std::to_string(version));
}

std::string list_of(const std::string& member, const std::string& items,
                    std::uint64_t at) {
    return "{\"" + member + "\":[" + items +
           "],\"has_more\":false,\"at\":" + std::to_string(at) + "}";
}

/// An agent on a virtual clock, and a store whose responses the test writes.
struct agent_and_store {
    agent_and_store()
        : server(loop, {},
                 [this](io::http_server::exchange it) {
                     pending.push_back(std::move(it));
                 }),
          client(loop, 4),
          agent({},
                {client,
                 {"http://127.0.0.1:" + std::to_string(server.port()), 60s}},
                {"127.0.0.1", 7001}, hooks()) {}

    platform_agent::hooks hooks() {
        platform_agent::hooks h;
        h.after = [this](duration delay, std::function<void()> callback) {
            timers.after(delay, std::move(callback));
        };
        h.random = make_random(1);
        h.on_config = [this](const std::string& text) {
            offered.push_back(text);
        };
        h.is_holder = [this] { return is_holder; };
        h.on_contact = [](const coordination::address&) {};
        h.on_list = [this](bool is_only) { lists.push_back(is_only); };
        h.live_peers = [this] { return live_peers; };
        h.on_store = [this](bool is_back, const absl::Status&) {
            losses += is_back ? 0 : 1;
        };
        h.on_era = [this](std::uint64_t, std::uint64_t now) {
            eras.push_back(now);
        };
        return h;
    }

    std::optional<io::http_server::exchange> find(const std::string& what) {
        const auto it =
            std::find_if(pending.begin(), pending.end(), [&](const auto& e) {
                return (e.request.method + " " + e.request.target)
                    .starts_with(what);
            });
        if (it == pending.end())
            return std::nullopt;
        auto found = std::move(*it);
        pending.erase(it);
        return found;
    }

    /// The next request of this kind, within some virtual seconds.
    io::http_server::exchange next(const std::string& what,
                                   duration within = 10s) {
        std::optional<io::http_server::exchange> found;
        const auto is_there = [&] {
            found = find(what);
            return found.has_value();
        };
        const auto end = timers.now() + within;
        while (timers.now() < end && !loop.run_until(is_there, real_step))
            timers.advance(virtual_step);
        if (!found)
            loop.run_until(is_there, patience);
        BOOST_REQUIRE_MESSAGE(found.has_value(), "no " << what);
        return *std::move(found);
    }

    /// An era of 0 sends no header.
    static void answer(const io::http_server::exchange& to, std::uint64_t era,
                       int status, const std::string& body) {
        auto response = io::json_response(status, body);
        if (era != 0)
            response.headers.push_back({"Store-Era", std::to_string(era)});
        to.respond(response);
    }

    bool wait_until(const std::function<bool()>& condition) {
        return loop.run_until(condition, patience);
    }

    /// Until the agent watches from revision 15 and its entry is written.
    io::http_server::exchange start(std::uint64_t era) {
        agent.start();
        for (int n = 0; n < 2; ++n)
            answer(next(config_path), era, 200, config_text(15, 7));
        answer(next(list_path), era, 200, list_of("items", "", 15));
        answer(next(create_path), era, 201, object_text("self", 16, "{}"));
        BOOST_REQUIRE(
            wait_until([&] { return agent.counters().listings == 1; }));
        return next(watch_path + "15");
    }

    io::reactor loop;
    std::vector<io::http_server::exchange> pending;
    io::http_server server;
    io::http_client client;
    test::virtual_timers timers;
    bool is_holder{true};
    std::size_t live_peers{3};
    std::vector<std::string> offered;
    /// For each list that was read, whether it named this node only.
    std::vector<bool> lists;
    std::vector<std::uint64_t> eras;
    int losses{};
    platform_agent agent;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(an_agent_whose_store_restarts_from_a_copy,
                         agent_and_store)

BOOST_AUTO_TEST_SUITE(while_it_watches)

// Guards against missing changes between the copy and the revision that the
// watch began from, when the store has issued that revision anew.
BOOST_AUTO_TEST_CASE(reads_when_the_result_tells_another_era) {
    const auto watch = start(1);
    answer(watch, 2, 200, list_of("events", "", 20));
    answer(next(config_path), 2, 200, config_text(12, 8));
    next(watch_path + "12");
    BOOST_TEST(offered.back() == "8");
    BOOST_TEST(!find(watch_path + "20").has_value());
    BOOST_TEST((eras == std::vector<std::uint64_t>{2}));
}

BOOST_AUTO_TEST_CASE(reads_when_its_revision_is_unknown_there) {
    const auto watch = start(1);
    answer(watch, 2, 410, "");
    answer(next(config_path), 2, 200, config_text(12, 5));
    next(watch_path + "12");
    // The store answered, so it is not told as lost.
    BOOST_TEST(losses == 0);
}

// Guards against thousands of nodes that all read at the same time.
BOOST_AUTO_TEST_CASE(reads_within_seconds_when_it_is_no_holder) {
    is_holder = false;
    const auto watch = start(1);
    answer(watch, 2, 410, "");
    answer(next(config_path, 3100ms), 2, 200, config_text(12, 7));
    next(watch_path + "12");
}

// Guards against a watch that stays open, and silent, in a new era.
BOOST_AUTO_TEST_CASE(reads_when_another_response_tells_of_it) {
    const auto watch = start(1);
    // A look at the list, which a restart that was seen first causes.
    answer(watch, 2, 200, list_of("events", "", 20));
    answer(next(config_path), 2, 200, config_text(12, 7));
    const auto open = next(watch_path + "12");
    answer(next(list_path), 3, 200, list_of("items", "", 9));
    answer(next(config_path), 3, 200, config_text(8, 7));
    next(watch_path + "8");
    BOOST_TEST((eras == std::vector<std::uint64_t>{2, 3}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(while_a_response_of_the_era_before_is_under_way)

// Guards against a late read that undoes what the new era reported.
BOOST_AUTO_TEST_CASE(ignores_it_and_reads_again) {
    const auto watch = start(1);
    answer(watch, 2, 410, "");
    answer(next(config_path), 1, 200, config_text(15, 7));
    const auto again = next(config_path);
    BOOST_TEST(offered.size() == 1U);
    answer(again, 2, 200, config_text(12, 8));
    next(watch_path + "12");
    BOOST_TEST(offered.back() == "8");
    BOOST_TEST(agent.counters().late_responses == 1U);
}

// Guards against trusting the acknowledgement of a write that was lost.
BOOST_AUTO_TEST_CASE(writes_again_what_it_acknowledged) {
    agent.start();
    answer(next(list_path), 1, 200, list_of("items", "", 15));
    const auto create = next(create_path);
    for (int n = 0; n < 2; ++n)
        answer(next(config_path), 2, 200, config_text(12, 7));
    next(watch_path + "12");
    answer(create, 1, 201, object_text("self", 16, "{}"));
    answer(next(list_path), 2, 200, list_of("items", "", 12));
    next(create_path);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(and_has_lost_the_list_of_nodes)

BOOST_AUTO_TEST_CASE(writes_its_entry_again_within_seconds) {
    const auto watch = start(1);
    answer(watch, 2, 410, "");
    answer(next(list_path, 5s), 2, 200, list_of("items", "", 12));
    answer(next(create_path), 2, 201, object_text("self", 13, "{}"));
    BOOST_TEST(wait_until([&] { return agent.counters().listings == 2; }));
}

// Guards against an empty list when others fill it with entries of their own.
BOOST_AUTO_TEST_CASE(writes_its_entry_though_others_are_listed) {
    const auto watch = start(1);
    answer(watch, 2, 410, "");
    std::string others = object_text("o0", 2, "{}");
    for (int n = 1; n < 6; ++n)
        others += "," + object_text("o" + std::to_string(n), 2, "{}");
    answer(next(list_path), 2, 200, list_of("items", others, 12));
    next(create_path);
    BOOST_TEST((lists == std::vector<bool>{false, false}));
}

BOOST_AUTO_TEST_CASE(writes_nothing_when_its_entry_is_there) {
    const auto watch = start(1);
    answer(watch, 2, 410, "");
    answer(next(list_path), 2, 200,
           list_of("items", object_text("127.0.0.1-7001", 2, "{}"), 12));
    answer(next(config_path), 2, 200, config_text(12, 7));
    next(watch_path + "12");
    timers.advance(20s);
    loop.run_until([] { return false; }, 100ms);
    BOOST_TEST(!find(create_path).has_value());
    BOOST_TEST((lists == std::vector<bool>{false, true}));
}

// Guards against giving up when the store fails partway.
BOOST_AUTO_TEST_CASE(tries_again_when_the_store_fails_meanwhile) {
    const auto watch = start(1);
    answer(watch, 2, 410, "");
    answer(next(list_path), 2, 503, "");
    answer(next(list_path), 2, 200, list_of("items", "", 12));
    answer(next(create_path), 2, 503, "");
    answer(next(list_path), 2, 200, list_of("items", "", 12));
    answer(next(create_path), 2, 201, object_text("self", 13, "{}"));
    BOOST_TEST(wait_until([&] { return agent.counters().listings == 2; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(an_agent_that_finds_a_full_list, agent_and_store)

namespace {

std::string six_others() {
    std::string others = object_text("o0", 2, "{}");
    for (int n = 1; n < 6; ++n)
        others += "," + object_text("o" + std::to_string(n), 2, "{}");
    return others;
}

} // namespace

// Guards against nodes that never meet once all that are listed were replaced.
BOOST_AUTO_TEST_CASE(takes_a_place_on_it_when_it_meets_nobody) {
    live_peers = 0;
    agent.start();
    std::optional<io::http_server::exchange> create;
    int looks = 0;
    while (!create && looks < 10) {
        answer(next(list_path), 0, 200, list_of("items", six_others(), 15));
        ++looks;
        timers.advance(virtual_step);
        loop.run_until([&] { return (create = find(create_path)).has_value(); },
                       50ms);
    }
    BOOST_REQUIRE(create.has_value());
    // Nodes that restart together meet without it.
    BOOST_TEST(looks > 3);
    BOOST_TEST(looks <= 8);
    answer(*create, 0, 201, object_text("self", 16, "{}"));
    const auto remove = next(remove_path);
    BOOST_TEST(remove.request.target.find("/o") != std::string::npos);
    answer(remove, 0, 200, object_text("o1", 2, "{}"));
    answer(next(list_path), 0, 200, list_of("items", six_others(), 17));
    timers.advance(20s);
    loop.run_until([] { return false; }, 100ms);
    BOOST_TEST(!find(create_path).has_value());
    BOOST_TEST(!find(remove_path).has_value());
}

BOOST_AUTO_TEST_CASE(leaves_it_as_it_is_when_it_meets_a_node) {
    live_peers = 0;
    agent.start();
    for (int n = 0; n < 3; ++n)
        answer(next(list_path), 0, 200, list_of("items", six_others(), 15));
    live_peers = 1;
    timers.advance(20s);
    loop.run_until([] { return false; }, 100ms);
    BOOST_TEST(!find(create_path).has_value());
    BOOST_TEST(!find(remove_path).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(an_agent_whose_store_tells_no_era, agent_and_store)

// Guards against reads and writes that older stores did not cause before.
BOOST_AUTO_TEST_CASE(watches_on_from_the_revision_told) {
    const auto watch = start(0);
    answer(watch, 0, 200, list_of("events", "", 20));
    next(watch_path + "20");
    BOOST_TEST(!find(config_path).has_value());
    BOOST_TEST(eras.empty());
}

BOOST_AUTO_TEST_CASE(reads_when_the_history_is_gone) {
    const auto watch = start(0);
    answer(watch, 0, 410, "");
    answer(next(config_path), 0, 200, config_text(12, 7));
    next(watch_path + "12");
    BOOST_TEST(losses == 1);
}

BOOST_AUTO_TEST_SUITE_END()
