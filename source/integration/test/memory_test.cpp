#define BOOST_TEST_MODULE memory
#include "client_crowd.hpp"
#include "endless_target.hpp"
#include "platform_places.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>

using namespace redwingwind;
using namespace redwingwind::integration;
using namespace std::chrono_literals;

namespace {

constexpr int grace_s = 4;
constexpr duration crowd_time = 5s;

/// A figure of /proc/PID/status, in kB; 0 when the process is gone.
long status_kb(int pid, const std::string& name) {
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(file, line))
        if (line.starts_with(name + ":"))
            return std::stol(line.substr(name.size() + 1));
    return 0;
}

int open_descriptors(int pid) {
    std::error_code gone;
    const std::filesystem::directory_iterator all(
        "/proc/" + std::to_string(pid) + "/fd", gone);
    return gone ? 0 : static_cast<int>(std::distance(begin(all), end(all)));
}

std::string head_of(const std::string& method, const std::string& path,
                    const std::string& id) {
    return method + " " + path +
           " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id +
           "\r\nRequest-Deadline: 4000\r\n";
}

std::string get(const std::string& path, const std::string& id) {
    return head_of("GET", path, id) + "\r\n";
}

/// Nodes with little memory, and what they used of it.
struct limited_nodes {
    struct usage {
        long peak_kb{};
        int descriptors{};
    };

    limited_nodes(std::vector<std::string> services, node_limits with)
        : limits(with), places(http, std::move(services), grace_s, limits),
          used(places.size()) {}

    void serve() {
        places.configure(1);
        BOOST_REQUIRE(places.wait_served());
    }

    void replace_target(std::size_t n, std::uint16_t port) {
        auto& place = places.at(n);
        place.target_port = port;
        place.node->signal(SIGKILL);
        place.node->wait(5s);
        places.start_node(n);
    }

    void measure() {
        for (std::size_t n = 0; n < places.size(); ++n) {
            const int pid = places.at(n).node->id();
            auto& it = used[n];
            it.peak_kb = std::max(it.peak_kb, status_kb(pid, "VmHWM"));
            it.descriptors = std::max(it.descriptors, open_descriptors(pid));
        }
    }

    void measure_for(duration time) {
        const auto until = steady_now() + time;
        while (steady_now() < until) {
            http.sleep(50ms);
            measure();
        }
    }

    void run(crowd_options crowd) {
        if (crowd.port == 0)
            crowd.port = places.at(0).outbound;
        const client_crowd clients(http.loop(), std::move(crowd));
        measure_for(crowd_time);
    }

    void check_usage() {
        measure();
        for (std::size_t n = 0; n < places.size(); ++n) {
            BOOST_TEST_MESSAGE("node " << n << ": peak " << used[n].peak_kb
                                       << " kB, descriptors "
                                       << used[n].descriptors);
            BOOST_TEST(used[n].peak_kb <= limits.memory_mb * 1024L);
            BOOST_TEST(used[n].descriptors <= limits.descriptors);
        }
    }

    /// An ordinary request is answered, after the crowd's calls have ended.
    void check_answers(std::size_t n, const std::string& path) {
        places.at(n).target->pad(0);
        int tries = 0;
        BOOST_TEST(http.wait_until(
            [&] {
                for (std::size_t k = 0; k < places.size(); ++k)
                    if (places.at(k).node->is_running())
                        places.beat(k);
                return places
                           .send(n, path, "ordinary-" + std::to_string(++tries))
                           .response.status == 200;
            },
            10s));
    }

    void check_all() {
        for (std::size_t n = 0; n < places.size(); ++n)
            BOOST_TEST(places.at(n).node->is_running());
        check_usage();
        check_answers(0, "/again/front/");
    }

    http_caller http;
    node_limits limits;
    platform_deployment places;
    std::vector<usage> used;
};

constexpr node_limits small{64, 1024, 0};

struct one_node : limited_nodes {
    one_node() : limited_nodes({"front"}, small) { serve(); }
};

struct two_nodes : limited_nodes {
    two_nodes() : limited_nodes({"front", "back"}, small) { serve(); }
};

std::function<std::string(std::size_t)> each_gets(const std::string& path) {
    return [path](std::size_t n) { return get(path, std::to_string(n)); };
}

crowd_options slow_readers(const std::string& path) {
    crowd_options it;
    it.clients = 300;
    it.request = each_gets(path);
    return it;
}

constexpr std::size_t long_response = 1'000'000;

} // namespace

BOOST_AUTO_TEST_SUITE(a_node_with_little_memory)

BOOST_AUTO_TEST_SUITE(whose_clients_read_long_responses_slowly)

// Guards against a process that holds what its clients do not read.
BOOST_FIXTURE_TEST_CASE(stays_within_it_next_to_the_target, one_node) {
    places.at(0).target->pad(long_response);
    run(slow_readers("/again/front/"));
    check_all();
}

BOOST_FIXTURE_TEST_CASE(stays_within_it_through_two_nodes, two_nodes) {
    places.at(1).target->pad(long_response);
    run(slow_readers("/again/back/"));
    check_all();
}

// Guards against few responses that are large each.
BOOST_FIXTURE_TEST_CASE(stays_within_it_when_few_are_large, two_nodes) {
    places.at(1).target->pad(4'000'000);
    auto crowd = slow_readers("/again/back/");
    crowd.clients = 40;
    run(std::move(crowd));
    check_all();
}

// Guards against a stop that hangs, or adds what it flushes to what is held.
BOOST_FIXTURE_TEST_CASE(stays_within_it_during_a_planned_stop, two_nodes) {
    places.at(1).target->pad(long_response);
    auto crowd = slow_readers("/again/back/");
    crowd.port = places.at(0).outbound;
    const client_crowd clients(http.loop(), std::move(crowd));
    measure_for(crowd_time / 2);
    BOOST_REQUIRE(places.at(0).node->is_running());
    places.at(0).node->signal(SIGTERM);
    const auto end = steady_now() + std::chrono::seconds(2 * grace_s);
    while (places.at(0).node->is_running() && steady_now() < end)
        measure_for(50ms);
    BOOST_TEST(places.at(0).node->wait(duration::zero()) == 0);
    check_usage();
    check_answers(1, "/again/back/");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_target_writes_without_end)

// Guards against a response that is read to its end before it is passed on.
BOOST_AUTO_TEST_CASE(stays_within_it_beside_slow_readers) {
    limited_nodes it({"front", "back"}, small);
    const endless_target target(it.http.loop());
    it.replace_target(1, target.port());
    it.serve();
    auto crowd = slow_readers("/again/back/");
    crowd.clients = 20;
    it.run(std::move(crowd));
    BOOST_TEST(target.written() > 0U);
    it.check_all();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_target_writes_what_is_no_response)

namespace {

/// Many callers at once, whose requests may be repeated and may not; the target
/// writes without end to each.
void write_without_end(endless_target::part what) {
    limited_nodes it({"front", "back"}, small);
    const endless_target target(it.http.loop(), what);
    it.replace_target(1, target.port());
    it.serve();
    crowd_options crowd;
    crowd.clients = 40;
    crowd.request = [](std::size_t n) {
        const auto* path = n % 2 == 0 ? "/again/back/" : "/back/";
        return get(path, std::to_string(n));
    };
    it.run(std::move(crowd));
    BOOST_TEST(target.written() > 0U);
    it.check_all();
    // The node beside the target goes on with its work, too.
    it.check_answers(1, "/again/front/");
}

} // namespace

// Each guards against a process that keeps all that its target sends.
BOOST_AUTO_TEST_CASE(stays_within_it_in_a_status_line) {
    write_without_end(endless_target::part::status_line);
}

BOOST_AUTO_TEST_CASE(stays_within_it_in_a_header_field) {
    write_without_end(endless_target::part::header_field);
}

BOOST_AUTO_TEST_CASE(stays_within_it_in_header_fields) {
    write_without_end(endless_target::part::header_fields);
}

BOOST_AUTO_TEST_CASE(stays_within_it_in_a_body_without_length) {
    write_without_end(endless_target::part::body_without_length);
}

BOOST_AUTO_TEST_CASE(stays_within_it_in_chunks) {
    write_without_end(endless_target::part::body_in_chunks);
}

BOOST_AUTO_TEST_CASE(stays_within_it_in_a_chunk_extension) {
    write_without_end(endless_target::part::chunk_extension);
}

BOOST_AUTO_TEST_CASE(stays_within_it_in_fields_behind_chunks) {
    write_without_end(endless_target::part::fields_behind_chunks);
}

BOOST_AUTO_TEST_CASE(stays_within_it_in_interim_responses) {
    write_without_end(endless_target::part::interim_responses);
}

BOOST_AUTO_TEST_CASE(stays_within_it_in_responses_to_another_request) {
    write_without_end(endless_target::part::other_responses);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_clients_send_and_do_not_finish)

// Guards against bodies that are held for clients that do not send the rest.
BOOST_FIXTURE_TEST_CASE(stays_within_it_when_uploads_stall, one_node) {
    crowd_options crowd;
    crowd.clients = 200;
    crowd.request = [](std::size_t n) {
        return head_of("POST", "/again/front/", std::to_string(n)) +
               "Content-Length: 1000000\r\n\r\n" + std::string(500'000, 'b');
    };
    run(std::move(crowd));
    check_all();
}

BOOST_FIXTURE_TEST_CASE(stays_within_it_when_headers_are_partial, one_node) {
    crowd_options crowd;
    crowd.clients = 800;
    crowd.request = [](std::size_t n) {
        return head_of("GET", "/again/front/", std::to_string(n)) +
               "X-Long: " + std::string(12'000, 'h');
    };
    crowd.trickle_bytes = 1;
    crowd.max_trickled_bytes = 1'000;
    run(std::move(crowd));
    check_all();
}

// Guards against connections that take the descriptors of targets and nodes.
BOOST_AUTO_TEST_CASE(keeps_descriptors_when_they_only_connect) {
    limited_nodes it({"front"}, {64, 256, 0});
    it.serve();
    crowd_options crowd;
    crowd.clients = 600;
    it.run(std::move(crowd));
    it.check_all();
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against responses that pile up behind one that is not read.
BOOST_FIXTURE_TEST_CASE(stays_within_it_when_clients_pipeline_and_do_not_read,
                        one_node) {
    places.at(0).target->pad(100'000);
    crowd_options crowd;
    crowd.clients = 40;
    crowd.request = [](std::size_t n) {
        std::string all;
        for (int k = 0; k < 60; ++k)
            all += get("/again/front/",
                       std::to_string(n) + "-" + std::to_string(k));
        return all;
    };
    run(std::move(crowd));
    check_all();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_node_of_160_mb)

namespace {

constexpr node_limits usual{160, 4096, std::size_t{64} << 20U};

/// Sends one request through a node and returns the response.
http_response send_one(limited_nodes& it, const std::string& path,
                       const std::string& body) {
    auto call = it.places.make_call(0, path, "single");
    call.method = body.empty() ? "GET" : "POST";
    call.body = body;
    call.max_body_bytes = std::size_t{64} << 20U;
    auto response = it.http.call(call).response;
    it.check_usage();
    return response;
}

} // namespace

// Guards against copies of a body that exceed the memory or a frame's limit.
BOOST_AUTO_TEST_CASE(passes_on_a_response_of_30_mb) {
    constexpr std::size_t size = 30'000'000;
    for (const std::string service : {"front", "back"}) {
        limited_nodes it({"front", "back"}, usual);
        it.serve();
        it.places.at(service == "front" ? 0 : 1).target->pad(size);
        const auto response = send_one(it, "/again/" + service + "/", {});
        BOOST_TEST_CONTEXT(service) {
            BOOST_TEST(response.status == 200);
            BOOST_TEST(response.body.size() > size);
        }
    }
}

BOOST_AUTO_TEST_CASE(passes_on_an_upload_of_60_mb) {
    constexpr std::size_t size = 60'000'000;
    for (const std::string service : {"front", "back"}) {
        limited_nodes it({"front", "back"}, usual);
        it.serve();
        const auto response =
            send_one(it, "/again/" + service + "/", std::string(size, 'u'));
        const auto& target = *it.places.at(service == "front" ? 0 : 1).target;
        BOOST_TEST_CONTEXT(service) {
            BOOST_TEST(response.status == 200);
            BOOST_REQUIRE(target.runs() == 1U);
            BOOST_TEST(target.last().request.body.size() == size);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
