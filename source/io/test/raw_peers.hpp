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

/// Callers and targets that send and keep plain bytes, in the loop of a test.
namespace redwingwind::io::test {

/// A test that waits for longer has failed.
constexpr duration patience = std::chrono::seconds(5);

inline sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_port = htons(port);
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return where;
}

/// A raw caller in the loop of the test: what it sends is sent at once, what
/// comes back is kept.
class raw_caller {
  public:
    raw_caller(reactor& loop, std::uint16_t port)
        : loop_(loop), fd_(socket(AF_INET, SOCK_STREAM, 0)) {
        const auto where = loopback(port);
        BOOST_REQUIRE(connect(fd_, reinterpret_cast<const sockaddr*>(&where),
                              sizeof(where)) == 0);
        watch_ = loop_.watch(fd_, [this](bool, bool) { take(); });
        watch_.set_interest(true, false);
    }
    ~raw_caller() { leave(); }
    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;

    void send(const std::string& bytes) const {
        BOOST_REQUIRE(write(fd_, bytes.data(), bytes.size()) ==
                      static_cast<ssize_t>(bytes.size()));
    }
    void leave() {
        if (fd_ < 0)
            return;
        watch_.reset();
        close(fd_);
        fd_ = -1;
    }
    void stop_reading() { watch_.set_interest(false, false); }
    bool wait_for(const std::string& text) {
        return loop_.run_until(
            [&] { return got.find(text) != std::string::npos; }, patience);
    }
    bool wait_for_end() {
        return loop_.run_until([&] { return is_over; }, patience);
    }

    std::string got;
    bool is_over{};

  private:
    void take() {
        char buf[4096];
        const auto n = read(fd_, buf, sizeof(buf));
        if (n > 0)
            got.append(buf, static_cast<std::size_t>(n));
        is_over = n <= 0;
        if (is_over)
            watch_.reset();
    }

    reactor& loop_;
    int fd_;
    descriptor_watch watch_;
};

/// A server that keeps what it was asked and answers "ok" by itself.
struct kept_server {
    explicit kept_server(reactor& loop, stream_limits limits = {})
        : it(loop, {}, limits,
             {[this](const stream_server::incoming_request& a) {
                  asked.push_back(a);
                  if (answers)
                      it.respond(a.exchange, {200, {}, usual_body});
              },
              [this](stream_server::exchange_id id) { gone.push_back(id); },
              [](const http_request& request) {
                  return request.method == "GET" || request.method == "HEAD";
              }}) {}

    bool wait_for_requests(reactor& loop, std::size_t n) const {
        return loop.run_until([&] { return asked.size() >= n; }, patience);
    }
    void answer(std::size_t place, const std::string& body) {
        it.respond(asked.at(place).exchange, {200, {}, body});
    }

    bool answers{true};
    std::string usual_body{"ok"};
    std::vector<stream_server::incoming_request> asked;
    std::vector<stream_server::exchange_id> gone;
    stream_server it;
};

/// A raw target: gives the next of its answers to each thing that it reads,
/// "" to end the connection, "reset" to reset it.
class raw_target {
  public:
    raw_target(reactor& loop, std::vector<std::string> answers)
        : loop_(loop), answers_(std::move(answers)),
          listener_(socket(AF_INET, SOCK_STREAM, 0)) {
        auto where = loopback(0);
        socklen_t n = sizeof(where);
        auto* generic = reinterpret_cast<sockaddr*>(&where);
        BOOST_REQUIRE(bind(listener_, generic, n) == 0);
        BOOST_REQUIRE(listen(listener_, 8) == 0);
        getsockname(listener_, generic, &n);
        port = ntohs(where.sin_port);
        accept_watch_ = loop_.watch(listener_, [this](bool, bool) { take(); });
        accept_watch_.set_interest(true, false);
    }
    ~raw_target() {
        accept_watch_.reset();
        close(listener_);
        for (auto& it : peers_) {
            it.watch.reset();
            if (it.fd >= 0)
                close(it.fd);
        }
    }
    raw_target(const raw_target&) = delete;
    raw_target& operator=(const raw_target&) = delete;

    std::uint16_t port{};
    std::vector<std::string> read_bytes;

  private:
    struct peer {
        int fd{-1};
        descriptor_watch watch;
    };

    void take() {
        const int fd = accept(listener_, nullptr, nullptr);
        const auto n = peers_.size();
        peers_.push_back({fd, loop_.watch(fd, [this, n](bool, bool) {
                              answer(peers_[n]);
                          })});
        peers_.back().watch.set_interest(true, false);
    }

    void answer(peer& to) {
        char buf[65536];
        const auto n = read(to.fd, buf, sizeof(buf));
        const auto place = read_bytes.size();
        if (n > 0)
            read_bytes.emplace_back(buf, static_cast<std::size_t>(n));
        std::string text =
            n > 0 && place < answers_.size() ? answers_[place] : "";
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
    std::vector<std::string> answers_;
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

inline std::string answer_to(const std::string& id, const std::string& body) {
    return "HTTP/1.1 200 OK\r\nId: " + id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

inline stream_result ask(reactor& loop, stream_client& client,
                         stream_call call) {
    std::optional<stream_result> result;
    client.start(std::move(call),
                 [&](stream_result r) { result = std::move(r); });
    BOOST_REQUIRE(loop.run_until([&] { return result.has_value(); }, patience));
    return *result;
}

inline stream_client_options to_port(std::uint16_t port) {
    stream_client_options options;
    options.ip = "127.0.0.1";
    options.port = port;
    return options;
}

} // namespace redwingwind::io::test
