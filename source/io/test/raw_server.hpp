#pragma once

#include "raw_peers.hpp"

#include <redwingwind/io/http1.hpp>

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace redwingwind::io::test {

/// A request as a raw_server read it.
struct raw_request {
    /// Number of the connection, from 0.
    std::size_t connection{};
    /// Number of the request on its connection, from 0.
    std::size_t index{};
    http_request request;
};

struct raw_reply {
    enum class ending { keeps, closes, resets };

    std::string bytes;
    /// What happens to the connection after the bytes.
    ending end{ending::keeps};
};

/// A server that reads whole requests and writes whatever bytes its handler
/// returns, so that it can misbehave in any way.
class raw_server {
  public:
    using handler = std::function<raw_reply(const raw_request&)>;

    raw_server(reactor& loop, handler respond)
        : loop_(loop), respond_(std::move(respond)),
          listener_(socket(AF_INET, SOCK_STREAM, 0)) {
        auto address = loopback(0);
        socklen_t n = sizeof(address);
        auto* generic = reinterpret_cast<sockaddr*>(&address);
        constexpr int backlog = 256;
        BOOST_REQUIRE(bind(listener_, generic, n) == 0);
        BOOST_REQUIRE(listen(listener_, backlog) == 0);
        getsockname(listener_, generic, &n);
        port_ = ntohs(address.sin_port);
        accept_watch_ =
            loop_.watch(listener_, [this](bool, bool) { accept(); });
        accept_watch_.set_interest(true, false);
    }
    ~raw_server() {
        accept_watch_.reset();
        close(listener_);
        while (!peers_.empty())
            end(peers_.begin()->first, raw_reply::ending::closes);
    }
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    std::uint16_t port() const { return port_; }
    std::size_t connections() const { return accepted_; }

  private:
    struct peer {
        int fd{-1};
        descriptor_watch watch;
        http1_reader reader{http1_role::request, {}};
        std::string in;
        std::size_t requests{};
    };

    void accept() {
        const int fd = ::accept(listener_, nullptr, nullptr);
        const auto id = accepted_++;
        auto& it = peers_[id];
        it.fd = fd;
        it.watch = loop_.watch(fd, [this, id](bool, bool) { read(id); });
        it.watch.set_interest(true, false);
    }

    void read(std::size_t id) {
        auto& it = peers_.at(id);
        char buf[65536];
        const auto n = ::read(it.fd, buf, sizeof(buf));
        if (n <= 0) {
            end(id, raw_reply::ending::closes);
            return;
        }
        it.in.append(buf, static_cast<std::size_t>(n));
        while (it.reader.read(it.in) == http1_state::complete) {
            const auto reply =
                respond_({id, it.requests++, it.reader.take_request()});
            it.reader.start({});
            (void)!write(it.fd, reply.bytes.data(), reply.bytes.size());
            if (reply.end != raw_reply::ending::keeps) {
                end(id, reply.end);
                return;
            }
        }
    }

    void end(std::size_t id, raw_reply::ending how) {
        auto it = peers_.extract(id);
        it.mapped().watch.reset();
        if (how == raw_reply::ending::resets) {
            const linger now{1, 0};
            setsockopt(it.mapped().fd, SOL_SOCKET, SO_LINGER, &now,
                       sizeof(now));
        }
        close(it.mapped().fd);
    }

    reactor& loop_;
    handler respond_;
    int listener_;
    std::uint16_t port_{};
    descriptor_watch accept_watch_;
    std::size_t accepted_{};
    std::map<std::size_t, peer> peers_;
};

/// Calls the check with a server for each proper part of the response, which
/// ends by a close and by a reset.
inline void
for_each_part(const std::string& whole,
              const std::function<void(reactor&, std::uint16_t port,
                                       const std::string& part)>& check) {
    for (const auto end :
         {raw_reply::ending::closes, raw_reply::ending::resets})
        for (std::size_t n = 0; n < whole.size(); ++n) {
            const auto part = whole.substr(0, n);
            reactor loop;
            const raw_server server(loop, [&](const raw_request&) {
                return raw_reply{part, end};
            });
            check(loop, server.port(), part);
        }
}

} // namespace redwingwind::io::test
