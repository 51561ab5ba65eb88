#include "endless_target.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <stdexcept>

namespace redwingwind::integration {
namespace {

constexpr int backlog = 256;
/// Size of a chunk, in hexadecimal digits as they stand before it.
constexpr auto chunk_size_line = "4000\r\n";
constexpr std::size_t chunk_bytes = 0x4000;
constexpr std::size_t field_bytes = 1000;

std::string value_of(const std::string& request, const std::string& name) {
    const auto at = request.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return {};
    const auto from = at + name.size() + 4;
    return request.substr(from, request.find("\r\n", from) - from);
}

} // namespace

endless_target::endless_target(io::reactor& loop, part what)
    : loop_(loop), what_(what),
      listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    socklen_t n = sizeof(address);
    if (bind(listener_, generic, n) != 0 || listen(listener_, backlog) != 0)
        throw std::runtime_error("can't listen on 127.0.0.1");
    getsockname(listener_, generic, &n);
    port_ = ntohs(address.sin_port);
    accept_watch_ = loop_.watch(listener_, [this](bool, bool) { accept(); });
    accept_watch_.set_interest(true, false);
}

endless_target::~endless_target() {
    accept_watch_.reset();
    close(listener_);
    for (auto& [id, it] : peers_) {
        it.watch.reset();
        close(it.fd);
    }
}

std::string endless_target::begin(const std::string& id) const {
    std::string head =
        "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nRequest-Id: " + id + "\r\n";
    std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    switch (what_) {
    case part::status_line:
        return "HTTP/1.1 200 ";
    case part::header_field:
        return head + "X: ";
    case part::header_fields:
        return head;
    case part::body_without_length:
        return head + "\r\n";
    case part::body_in_chunks:
        return chunked;
    case part::chunk_extension:
        return chunked + "1;x=";
    case part::fields_behind_chunks:
        return chunked + "0\r\n";
    case part::interim_responses:
    case part::other_responses:
        break;
    }
    return {};
}

std::string endless_target::next() const {
    switch (what_) {
    case part::status_line:
    case part::header_field:
    case part::body_without_length:
    case part::chunk_extension:
        return std::string(chunk_bytes, 'x');
    case part::header_fields:
    case part::fields_behind_chunks:
        return "X: " + std::string(field_bytes, 'x') + "\r\n";
    case part::body_in_chunks:
        break;
    case part::interim_responses:
        return "HTTP/1.1 103 x\r\nX: " + std::string(field_bytes, 'x') +
               "\r\n\r\n";
    case part::other_responses:
        return "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: " +
               std::to_string(chunk_bytes) + "\r\n\r\n" +
               std::string(chunk_bytes, 'x');
    }
    return chunk_size_line + std::string(chunk_bytes, 'x') + "\r\n";
}

void endless_target::accept() {
    const int fd = ::accept(listener_, nullptr, nullptr);
    if (fd < 0)
        return;
    fcntl(fd, F_SETFL, O_NONBLOCK);
    const auto id = accepted_++;
    auto& it = peers_[id];
    it.fd = fd;
    it.watch = loop_.watch(fd, [this, id](bool r, bool) { on_ready(id, r); });
    it.watch.set_interest(true, false);
}

void endless_target::on_ready(std::size_t id, bool can_read) {
    auto& it = peers_.at(id);
    if ((!can_read || read(it)) && write(it))
        return;
    it.watch.reset();
    close(it.fd);
    peers_.erase(id);
}

bool endless_target::read(peer& it) {
    char buf[16384];
    const auto n = ::read(it.fd, buf, sizeof(buf));
    if (n <= 0)
        return n < 0 && errno == EAGAIN;
    it.request.append(buf, static_cast<std::size_t>(n));
    const auto end = it.request.find("\r\n\r\n");
    if (end == std::string::npos)
        return true;
    it.out = begin(value_of(it.request, "Request-Id")) + next();
    it.watch.set_interest(true, true);
    return true;
}

bool endless_target::write(peer& it) {
    if (it.out.empty())
        return true;
    // One chunk a turn, so that the loop also serves others.
    const auto n = send(it.fd, it.out.data(), it.out.size(), MSG_NOSIGNAL);
    if (n < 0)
        return errno == EAGAIN;
    written_ += static_cast<std::size_t>(n);
    it.out.erase(0, static_cast<std::size_t>(n));
    if (it.out.size() < chunk_bytes)
        it.out.append(next());
    return true;
}

} // namespace redwingwind::integration
