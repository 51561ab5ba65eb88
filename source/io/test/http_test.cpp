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

/// A server in threads of its own that responds to each request with the next
/// of its raw responses; "" closes the connection instead.
class raw_server {
  public:
    explicit raw_server(std::vector<std::string> responses)
        : responses_(std::move(responses)),
          fd_(socket(AF_INET, SOCK_STREAM, 0)) {
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
            const auto response = n < responses_.size() ? responses_[n] : "";
            if (response.empty())
                break;
            (void)!write(peer, response.data(), response.size());
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

    std::vector<std::string> responses_;
    int fd_;
    std::uint16_t port_{};
    std::atomic<int> requests_{};
    std::vector<int> peers_;
    std::vector<std::thread> connections_;
    std::thread thread_;
};

constexpr auto complete_response =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr auto truncated_response =
    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart";

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

// The second request is sent on a reused connection, which the server closes
// without a response. The server may have run the request, so it must not be
// resent, which libcurl does by default.
BOOST_AUTO_TEST_CASE(never_resends_a_request_that_must_not_be_repeated) {
    for (const std::string body : {"body", ""}) {
        raw_server server({complete_response, "", complete_response});
        BOOST_TEST(int(call(server.url(), body, false).failure) ==
                   int(http_failure::none));
        const auto second = call(server.url(), body, false);
        BOOST_TEST(int(second.failure) != int(http_failure::none));
        BOOST_TEST(int(second.failure) != int(http_failure::not_connected));
        BOOST_TEST(server.requests() == 2);
    }
}

BOOST_AUTO_TEST_CASE(reports_a_truncated_response_as_a_failure) {
    raw_server server({truncated_response});
    // The server keeps the connection open, so the call ends by its timeout.
    http_call c;
    c.url = server.url();
    c.timeout = 300ms;
    std::optional<http_result> result;
    client.start(c, [&](http_result r) { result = std::move(r); });
    loop.run_until([&] { return result.has_value(); }, 10s);
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(int(result->failure) != int(http_failure::none));
}

BOOST_AUTO_TEST_CASE(reports_a_refused_connection_as_not_connected) {
    BOOST_TEST(int(call("http://127.0.0.1:1/", "x", false).failure) ==
               int(http_failure::not_connected));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(the_server, fixture)

BOOST_AUTO_TEST_CASE(responds_at_once_or_later) {
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

BOOST_AUTO_TEST_CASE(receives_only_what_the_client_was_given) {
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

BOOST_AUTO_TEST_CASE(rejects_a_body_over_the_limit) {
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

BOOST_AUTO_TEST_CASE(reports_a_client_that_disconnects) {
    bool has_disconnected = false;
    http_server server(loop, {}, [&](const http_server::exchange& e) {
        *e.on_disconnect = [&] { has_disconnected = true; };
    });
    http_call c;
    c.method = "POST";
    c.url = "http://127.0.0.1:" + std::to_string(server.port());
    const auto id = client.start(c, [](const http_result&) {});
    loop.run_until([] { return false; }, 100ms);
    client.cancel(id);
    BOOST_TEST(loop.run_until([&] { return has_disconnected; }, 5s));
}

BOOST_AUTO_TEST_SUITE_END()
