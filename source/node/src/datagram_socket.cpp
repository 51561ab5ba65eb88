#include "datagram_socket.hpp"

#include <ace/INET_Addr.h>

#include <array>
#include <stdexcept>
#include <utility>

namespace redwingwind::node {
namespace {

/// Larger than any datagram that nodes send.
constexpr std::size_t most_datagram_bytes = 4096;
constexpr int most_reads = 256;

} // namespace

datagram_socket::datagram_socket(io::reactor& loop,
                                 const coordination::keyring& keys,
                                 const coordination::address& listen_on,
                                 receiver on_datagram)
    : keys_(keys), on_datagram_(std::move(on_datagram)) {
    const ACE_INET_Addr where(listen_on.port, listen_on.ip.c_str());
    if (socket_.open(where) != 0)
        throw std::runtime_error("can't receive datagrams on " +
                                 coordination::to_string(listen_on));
    socket_.enable(ACE_NONBLOCK);
    watch_ =
        loop.watch(socket_.get_handle(), [this](bool, bool) { read_all(); });
    watch_.set_interest(true, false);
}

datagram_socket::~datagram_socket() {
    watch_.reset();
    socket_.close();
}

void datagram_socket::send(const coordination::address& to,
                           const coordination::datagram& message) {
    const auto sealed = keys_.seal(coordination::encode(message), "datagram");
    const ACE_INET_Addr where(to.port, to.ip.c_str());
    socket_.send(sealed.data(), sealed.size(), where);
    ++counters_.sent;
    counters_.bytes_sent += sealed.size();
}

void datagram_socket::read_all() {
    std::array<char, most_datagram_bytes> buf{};
    for (int reads = 0; reads < most_reads; ++reads) {
        ACE_INET_Addr from;
        const auto n = socket_.recv(buf.data(), buf.size(), from);
        if (n < 0)
            return;
        const std::string_view sealed(buf.data(), static_cast<std::size_t>(n));
        const auto payload = keys_.open(sealed, "datagram");
        const auto message =
            payload.ok()
                ? coordination::decode<coordination::datagram>(*payload)
                : absl::StatusOr<coordination::datagram>(payload.status());
        if (!message.ok()) {
            ++counters_.rejected;
            continue;
        }
        ++counters_.received;
        on_datagram_({from.get_host_addr(), from.get_port_number()}, *message);
    }
}

} // namespace redwingwind::node
