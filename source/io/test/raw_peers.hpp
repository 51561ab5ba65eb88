#pragma once

#include <redwingwind/io/stream_client.hpp>
#include <redwingwind/io/stream_server.hpp>

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>
#include <string>
#include <vector>

/// Clients and servers for tests that exchange raw bytes; they run in the event
/// loop of the test.
namespace redwingwind::io::test {

/// A test that waits longer for an event fails.
constexpr duration test_timeout = std::chrono::seconds(5);

inline sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// A client that sends raw bytes at once and records the bytes it receives.
class raw_client {
  public:
    raw_client(reactor& loop, std::uint16_t port)
        : loop_(loop), fd_(socket(AF_INET, SOCK_STREAM, 0)) {
        const auto address = loopback(port);
        BOOST_REQUIRE(connect(fd_, reinterpret_cast<const sockaddr*>(&address),
                              sizeof(address)) == 0);
        watch_ = loop_.watch(fd_, [this](bool, bool) { on_readable(); });
        watch_.set_interest(true, false);
    }
    ~raw_client() { disconnect(); }
    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;

    void send(const std::string& bytes) const {
        BOOST_REQUIRE(write(fd_, bytes.data(), bytes.size()) ==
                      static_cast<ssize_t>(bytes.size()));
    }
    void disconnect() {
        if (fd_ < 0)
            return;
        watch_.reset();
        close(fd_);
        fd_ = -1;
    }
    void stop_reading() { watch_.set_interest(false, false); }
    bool wait_for(const std::string& text) {
        return loop_.run_until(
            [&] { return received.find(text) != std::string::npos; },
            test_timeout);
    }
    bool wait_for_end() {
        return loop_.run_until([&] { return is_closed; }, test_timeout);
    }

    std::string received;
    bool is_closed{};

  private:
    void on_readable() {
        char buf[4096];
        const auto n = read(fd_, buf, sizeof(buf));
        if (n > 0)
            received.append(buf, static_cast<std::size_t>(n));
        is_closed = n <= 0;
        if (is_closed)
            watch_.reset();
    }

    reactor& loop_;
    int fd_;
    descriptor_watch watch_;
};

/// A stream_server that records its requests and, while responds is set,
/// responds to them with default_body. GET and HEAD are idempotent.
struct recording_server {
    explicit recording_server(reactor& loop, stream_limits limits = {})
        : it(loop, {}, limits,
             {[this](const stream_server::incoming_request& a) {
                  requests.push_back(a);
                  if (responds)
                      it.respond(a.exchange, {200, {}, default_body});
              },
              [this](stream_server::exchange_id id) {
                  disconnected_exchanges.push_back(id);
              },
              [](const http_request& request) {
                  return request.method == "GET" || request.method == "HEAD";
              }}) {}

    bool wait_for_requests(reactor& loop, std::size_t n) const {
        return loop.run_until([&] { return requests.size() >= n; },
                              test_timeout);
    }
    void respond(std::size_t index, const std::string& body) {
        it.respond(requests.at(index).exchange, {200, {}, body});
    }

    bool responds{true};
    std::string default_body{"ok"};
    std::vector<stream_server::incoming_request> requests;
    std::vector<stream_server::exchange_id> disconnected_exchanges;
    stream_server it;
};

/// A server that responds to each read with the next of its scripted responses.
/// "" closes the connection, "reset" resets it, and a response that ends in
/// "|reset" is sent and followed by a reset. A response without a
/// Content-Length closes the connection.
class scripted_server {
  public:
    scripted_server(reactor& loop, std::vector<std::string> responses)
        : loop_(loop), responses_(std::move(responses)),
          listener_(socket(AF_INET, SOCK_STREAM, 0)) {
        auto address = loopback(0);
        socklen_t n = sizeof(address);
        auto* generic = reinterpret_cast<sockaddr*>(&address);
        BOOST_REQUIRE(bind(listener_, generic, n) == 0);
        BOOST_REQUIRE(listen(listener_, 8) == 0);
        getsockname(listener_, generic, &n);
        port = ntohs(address.sin_port);
        accept_watch_ =
            loop_.watch(listener_, [this](bool, bool) { on_readable(); });
        accept_watch_.set_interest(true, false);
    }
    ~scripted_server() {
        accept_watch_.reset();
        close(listener_);
        for (auto& it : peers_) {
            it.watch.reset();
            if (it.fd >= 0)
                close(it.fd);
        }
    }
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    std::uint16_t port{};
    std::vector<std::string> read_bytes;

  private:
    struct peer {
        int fd{-1};
        descriptor_watch watch;
    };

    void on_readable() {
        const int fd = accept(listener_, nullptr, nullptr);
        const auto n = peers_.size();
        peers_.push_back({fd, loop_.watch(fd, [this, n](bool, bool) {
                              respond(peers_[n]);
                          })});
        peers_.back().watch.set_interest(true, false);
    }

    void respond(peer& to) {
        char buf[65536];
        const auto n = read(to.fd, buf, sizeof(buf));
        const auto index = read_bytes.size();
        if (n > 0)
            read_bytes.emplace_back(buf, static_cast<std::size_t>(n));
        std::string text =
            n > 0 && index < responses_.size() ? responses_[index] : "";
        const bool is_reset = text == "reset";
        const auto cut = text.find("|reset");
        if (cut != std::string::npos)
            text.resize(cut);
        if (!text.empty() && !is_reset)
            (void)!write(to.fd, text.data(), text.size());
        const bool ends = text.empty() || is_reset ||
                          cut != std::string::npos ||
                          text.find("Content-Length") == std::string::npos;
        if (!ends)
            return;
        if (is_reset || cut != std::string::npos) {
            const linger now{1, 0};
            setsockopt(to.fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        }
        to.watch.reset();
        close(to.fd);
        to.fd = -1;
    }

    reactor& loop_;
    std::vector<std::string> responses_;
    int listener_;
    descriptor_watch accept_watch_;
    std::vector<peer> peers_;
};

inline stream_call call_with_id(const std::string& id) {
    stream_call call;
    call.request = {"GET", "/a", {{"Id", id}}, ""};
    call.echo_header = "Id";
    call.echo_value = id;
    return call;
}

inline std::string response_to(const std::string& id, const std::string& body) {
    return "HTTP/1.1 200 OK\r\nId: " + id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

inline stream_result run_call(reactor& loop, stream_client& client,
                              stream_call call) {
    std::optional<stream_result> result;
    client.start(std::move(call),
                 [&](stream_result r) { result = std::move(r); });
    BOOST_REQUIRE(
        loop.run_until([&] { return result.has_value(); }, test_timeout));
    return *result;
}

inline stream_client_options options_for_port(std::uint16_t port) {
    stream_client_options options;
    options.ip = "127.0.0.1";
    options.port = port;
    return options;
}

} // namespace redwingwind::io::test
