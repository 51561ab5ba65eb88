#include "port_block.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fstream>
#include <stdexcept>

namespace redwingwind::integration {
namespace {

/// Above what services of the machine usually have.
constexpr int first_port = 10240;
constexpr int last_port = 65535;
/// Of one block: its claim, and the ports of the largest test.
constexpr int block_size = 64;

/// A socket bound to the port of loopback; -1 when another has it.
int bind_to(int type, int port) {
    const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_port = htons(static_cast<std::uint16_t>(port));
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(fd, reinterpret_cast<sockaddr*>(&where), sizeof(where)) == 0)
        return fd;
    close(fd);
    return -1;
}

bool is_free(int type, int port) {
    const int fd = bind_to(type, port);
    if (fd < 0)
        return false;
    close(fd);
    return true;
}

bool is_free(int port) {
    return is_free(SOCK_STREAM, port) && is_free(SOCK_DGRAM, port);
}

std::vector<std::uint16_t> free_after(int claimed, std::size_t count) {
    std::vector<std::uint16_t> ports;
    for (int it = claimed + 1; it < claimed + block_size; ++it)
        if (ports.size() < count && is_free(it))
            ports.push_back(static_cast<std::uint16_t>(it));
    return ports;
}

bool meets(const own_range& range, int block) {
    return block <= range.last && block + block_size > range.first;
}

} // namespace

own_range system_port_range() {
    own_range range;
    std::ifstream file("/proc/sys/net/ipv4/ip_local_port_range");
    file >> range.first >> range.last;
    if (!file)
        throw std::runtime_error("the system's port range can't be read");
    return range;
}

port_block::port_block(std::size_t count) {
    const auto range = system_port_range();
    for (int it = first_port; it + block_size <= last_port; it += block_size) {
        if (meets(range, it))
            continue;
        claim_ = bind_to(SOCK_STREAM, it);
        if (claim_ < 0)
            continue;
        ports_ = free_after(it, count);
        if (ports_.size() == count)
            return;
        close(claim_);
    }
    throw std::runtime_error("no ports are left for the test");
}

port_block::~port_block() {
    close(claim_);
}

} // namespace redwingwind::integration
