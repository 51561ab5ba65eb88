#define BOOST_TEST_MODULE io
#include <redwingwind/io/http.hpp>
#include <redwingwind/io/reactor.hpp>

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <optional>
#include <thread>

using namespace redwingwind;
using namespace redwingwind::io;
using namespace std::chrono_literals;

namespace {

/// A server of one thread that speaks raw bytes: what it answers to each
/// request on a connection, "" to end the connection instead.
class raw_server {
  public:
    explicit raw_server(std::vector<std::string> answers)
        : answers_(std::move(answers)), fd_(socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in where{};
        where.sin_family = AF_INET;
        where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t n = sizeof(where);
        auto* generic = reinterpret_cast<sockaddr*>(&where);
        BOOST_REQUIRE(bind(fd_, generic, n) == 0);
        listen(fd_, 8);
        getsockname(fd_, generic, &n);
        port_ = ntohs(where.sin_port);
        thread_ = std::thread([this] { run(); });
    }

    ~raw_server() {
        shutdown(fd_, SHUT_RDWR);
        thread_.join();
        for (const int peer : peers_)
            shutdown(peer, SHUT_RDWR);
        for (auto& it : connections_)
            it.join();
        close(fd_);
    }

    std::string url() const {
        return "http://127.0.0.1:" + std::to_string(port_) + "/";
    }
    int requests() const { return requests_; }

  private:
    void run() {
        while (true) {
            const int peer = accept(fd_, nullptr, nullptr);
            if (peer < 0)
                return;
            peers_.push_back(peer);
            connections_.emplace_back([this, peer] { serve(peer); });
        }
    }

    void serve(int peer) {
        while (read_request(peer)) {
            const auto n = static_cast<std::size_t>(requests_++);
            const auto answer = n < answers_.size() ? answers_[n] : "";
            if (answer.empty())
                break;
            (void)!write(peer, answer.data(), answer.size());
        }
        close(peer);
    }

    static bool read_request(int peer) {
        std::string text;
        char c = 0;
        while (text.find("\r\n\r\n") == std::string::npos) {
            if (read(peer, &c, 1) != 1)
                return false;
            text += c;
        }
        const auto place = text.find("Content-Length: ");
        int left = place == std::string::npos
                       ? 0
                       : std::atoi(text.c_str() + place + 16);
        while (left-- > 0)
            if (read(peer, &c, 1) != 1)
                return false;
        return true;
    }

    std::vector<std::string> answers_;
    int fd_;
    std::uint16_t port_{};
    std::atomic<int> requests_{};
    std::vector<int> peers_;
    std::vector<std::thread> connections_;
    std::thread thread_;
};

constexpr auto good_answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr auto cut_answer = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart";

struct fixture {
    fixture() : client(loop, 8) {}

    http_result call(const std::string& url, const std::string& body,
                     bool may_resend) {
        http_call c;
        c.method = "POST";
        c.url = url;
        c.body = body;
        c.may_resend = may_resend;
        std::optional<http_result> result;
        client.start(c, [&](http_result r) { result = std::move(r); });
        loop.run_until([&] { return result.has_value(); }, 10s);
        return result.value_or(http_result{http_failure::timed_out, {}});
    }

    reactor loop;
    http_client client;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(the_client, fixture)

// A connection that was used before ends without an answer to the second
// request, which the server may have run.
BOOST_AUTO_TEST_CASE(never_sends_twice_what_must_not_repeat) {
    for (const std::string body : {"body", ""}) {
        raw_server server({good_answer, "", good_answer});
        BOOST_TEST(int(call(server.url(), body, false).failure) ==
                   int(http_failure::none));
        const auto second = call(server.url(), body, false);
        BOOST_TEST(int(second.failure) != int(http_failure::none));
        BOOST_TEST(int(second.failure) != int(http_failure::not_connected));
        BOOST_TEST(server.requests() == 2);
    }
}

BOOST_AUTO_TEST_CASE(tells_a_cut_answer_from_a_whole_one) {
    raw_server server({cut_answer});
    // The server thread ends the connection after its next read fails.
    http_call c;
    c.url = server.url();
    c.timeout = 300ms;
    std::optional<http_result> result;
    client.start(c, [&](http_result r) { result = std::move(r); });
    loop.run_until([&] { return result.has_value(); }, 10s);
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(int(result->failure) != int(http_failure::none));
}

BOOST_AUTO_TEST_CASE(knows_when_nothing_was_sent) {
    BOOST_TEST(int(call("http://127.0.0.1:1/", "x", false).failure) ==
               int(http_failure::not_connected));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(the_server, fixture)

BOOST_AUTO_TEST_CASE(answers_now_or_later) {
    http_server server(loop, {}, [&](const http_server::exchange& e) {
        if (e.request.body == "now") {
            e.respond({200, {}, "at once"});
            return;
        }
        loop.after(20ms, [respond = e.respond] {
            respond({200, {}, "later"});
        });
    });
    const auto url = "http://127.0.0.1:" + std::to_string(server.port());
    BOOST_TEST(call(url, "now", true).response.body == "at once");
    BOOST_TEST(call(url, "wait", true).response.body == "later");
}

BOOST_AUTO_TEST_CASE(gets_what_the_client_was_given_and_no_more) {
    http_request seen;
    http_server server(loop, {}, [&](const http_server::exchange& e) {
        seen = e.request;
        e.respond({200, {}, ""});
    });
    const auto url = "http://127.0.0.1:" + std::to_string(server.port()) +
                     "/catalogue/a%2Fb%20c/../d?x=%26y";
    call(url, "body", true);
    BOOST_TEST(seen.target == "/catalogue/a%2Fb%20c/../d?x=%26y");
    BOOST_TEST(find_header(seen.headers, "accept").empty());
    BOOST_TEST(find_header(seen.headers, "content-type").empty());
}

BOOST_AUTO_TEST_CASE(refuses_a_body_over_the_limit) {
    http_server_options options;
    options.max_body_bytes = 1000;
    http_server server(loop, options, [](const http_server::exchange& e) {
        e.respond({200, {}, ""});
    });
    const auto url = "http://127.0.0.1:" + std::to_string(server.port());
    BOOST_TEST(call(url, std::string(1001, 'x'), true).response.status == 413);
    BOOST_TEST(server.counters().oversized == 1U);
    BOOST_TEST(call(url, std::string(1000, 'x'), true).response.status == 200);
}

BOOST_AUTO_TEST_CASE(tells_when_a_caller_left) {
    bool is_gone = false;
    http_server server(loop, {}, [&](const http_server::exchange& e) {
        *e.on_disconnect = [&] { is_gone = true; };
    });
    http_call c;
    c.method = "POST";
    c.url = "http://127.0.0.1:" + std::to_string(server.port());
    const auto id = client.start(c, [](const http_result&) {});
    loop.run_until([] { return false; }, 100ms);
    client.cancel(id);
    BOOST_TEST(loop.run_until([&] { return is_gone; }, 5s));
}

BOOST_AUTO_TEST_SUITE_END()
