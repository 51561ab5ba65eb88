#pragma once

#include <redwingwind/coordination/keyring.hpp>
#include <redwingwind/coordination/messages.hpp>
#include <redwingwind/io/reactor.hpp>

#include <ace/SOCK_Dgram.h>

#include <cstdint>
#include <functional>

namespace redwingwind::node {

struct datagram_counters {
    std::uint64_t sent{};
    std::uint64_t bytes_sent{};
    std::uint64_t received{};
    /// Wrong key, malformed or oversized.
    std::uint64_t rejected{};
};

/// Sealed datagrams with other nodes.
class datagram_socket {
  public:
    using receiver = std::function<void(const coordination::address&,
                                        const coordination::datagram&)>;

    /// Throws std::runtime_error when the address can't be bound.
    datagram_socket(io::reactor& loop, const coordination::keyring& keys,
                    const coordination::address& listen_on,
                    receiver on_datagram);
    ~datagram_socket();
    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;

    void send(const coordination::address& to,
              const coordination::datagram& message);
    const datagram_counters& counters() const { return counters_; }

  private:
    void read_all();

    const coordination::keyring& keys_;
    receiver on_datagram_;
    ACE_SOCK_Dgram socket_;
    io::descriptor_watch watch_;
    datagram_counters counters_;
};

} // namespace redwingwind::node
