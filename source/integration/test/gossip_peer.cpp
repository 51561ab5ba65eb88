#include "gossip_peer.hpp"

#include <redwingwind/coordination/codec.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <string>

namespace redwingwind::integration {
namespace {

constexpr auto context = "datagram";
constexpr duration patience = std::chrono::seconds(5);

sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_port = htons(port);
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return where;
}

} // namespace

gossip_peer::gossip_peer(io::reactor& loop, const std::string& keys)
    : loop_(loop), keys_(*coordination::keyring::parse(keys)),
      fd_(::socket(AF_INET, SOCK_DGRAM, 0)) {
    auto where = loopback(0);
    socklen_t n = sizeof(where);
    auto* generic = reinterpret_cast<sockaddr*>(&where);
    if (fd_ < 0 || ::bind(fd_, generic, n) != 0 ||
        ::getsockname(fd_, generic, &n) != 0)
        throw std::runtime_error("no socket for a gossip peer");
    self_.id = {{"gossip-peer"}, {1}};
    self_.endpoint = {"127.0.0.1", ntohs(where.sin_port)};
    self_.region = {"r"};
    self_.domain = {"d0"};
    watch_ = loop_.watch(fd_, [this](bool, bool) { read(); });
    watch_.set_interest(true, false);
}

gossip_peer::~gossip_peer() {
    watch_.reset();
    ::close(fd_);
}

std::optional<coordination::member_record>
gossip_peer::ask(std::uint16_t port) {
    coordination::datagram probe;
    probe.kind = coordination::datagram_kind::probe;
    probe.sequence = 1;
    probe.sender = self_;
    answered_.reset();
    send(port, probe);
    loop_.run_until([this] { return answered_.has_value(); }, patience);
    return answered_;
}

void gossip_peer::tell(std::uint16_t port,
                       const coordination::member_record& news) {
    coordination::datagram message;
    message.kind = coordination::datagram_kind::gossip;
    message.sender = self_;
    message.members.push_back(news);
    send(port, message);
}

void gossip_peer::send(std::uint16_t port,
                       const coordination::datagram& message) const {
    const auto sealed = keys_.seal(coordination::encode(message), context);
    const auto where = loopback(port);
    ::sendto(fd_, sealed.data(), sealed.size(), 0,
             reinterpret_cast<const sockaddr*>(&where), sizeof(where));
}

void gossip_peer::read() {
    char buf[4096];
    const auto n = ::recv(fd_, buf, sizeof(buf), 0);
    if (n <= 0)
        return;
    const auto payload =
        keys_.open({buf, static_cast<std::size_t>(n)}, context);
    if (!payload.ok())
        return;
    const auto message = coordination::decode<coordination::datagram>(*payload);
    if (message.ok() &&
        message->kind == coordination::datagram_kind::probe_reply)
        answered_ = message->sender;
}

} // namespace redwingwind::integration
