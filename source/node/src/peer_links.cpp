#include "peer_links.hpp"

#include <redwingwind/common/error.hpp>
#include <redwingwind/io/output_queue.hpp>

#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>

#include <netinet/tcp.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <map>
#include <stdexcept>
#include <unordered_map>
#include <utility>
#include <vector>

namespace redwingwind::node {

using coordination::frame;
using coordination::hello_frame;
using coordination::member_record;

namespace {

constexpr std::size_t length_bytes = 4;
constexpr std::size_t most_hello_bytes = 512;
constexpr std::size_t read_bytes = 64U << 10U;
constexpr std::size_t growth_factor = 4;
/// In one turn of the loop, so that memory is given up between the frames of a
/// peer that sends faster than clients read.
constexpr std::size_t max_reads = 4;
constexpr std::string_view hello_context = "redwingwind/hello";
constexpr auto sweep_interval = std::chrono::seconds(1);

void append_number(std::string& buf, std::uint64_t n) {
    buf.append(reinterpret_cast<const char*>(&n), sizeof(n));
}

/// What the MAC of a frame covers besides the frame: the connection, by both
/// sides' nonces, the direction and the frame's place in it.
std::string frame_context(std::uint64_t opener, std::uint64_t acceptor,
                          bool is_from_opener, std::uint64_t number) {
    std::string context;
    append_number(context, opener);
    append_number(context, acceptor);
    append_number(context, is_from_opener ? 1 : 0);
    append_number(context, number);
    return context;
}

} // namespace

namespace {

/// A peer that no longer answers on a connection, as behind a cut, is given
/// up after about this long.
constexpr int silence_ms = 1500;
constexpr int probe_after_s = 1;
constexpr int probes = 2;

void end_when_silent(ACE_SOCK_Stream& stream, int on) {
    int timeout = silence_ms;
    int after = probe_after_s;
    int count = probes;
    stream.set_option(IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
    stream.set_option(SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    stream.set_option(IPPROTO_TCP, TCP_KEEPIDLE, &after, sizeof(after));
    stream.set_option(IPPROTO_TCP, TCP_KEEPINTVL, &after, sizeof(after));
    stream.set_option(IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
}

} // namespace

class peer_links::link {
  public:
    ACE_SOCK_Stream stream;
    io::descriptor_watch watch;
    std::uint64_t id{};
    bool is_opener{};
    bool is_connecting{};
    bool is_greeted{};
    bool is_flush_due{};
    /// Whether an accepted link is the one in use with its peer. The peer shows
    /// by a first frame that it opened the link to this life: its greeting
    /// doesn't name the receiver.
    bool is_in_use{};
    node_incarnation peer;
    /// Where an opened link leads, and since when.
    coordination::address endpoint;
    time_point opened_at;
    std::uint64_t own_nonce{};
    std::uint64_t peer_nonce{};
    std::uint64_t sent_frames{};
    std::uint64_t received_frames{};
    std::string in;
    io::output_queue out;
    /// When the peer last took bytes of out, or bytes came to wait for it.
    time_point last_sent;
    /// What the account has of the link.
    std::size_t charged_in{};
    std::size_t charged_out{};
    std::size_t charged_connection{};
    /// Frames for after the greeting.
    std::vector<std::string> waiting;
    std::size_t waiting_bytes{};
    time_point last_used;
};

class peer_links::impl {
  public:
    impl(io::reactor& loop, const coordination::keyring& keys,
         node_incarnation self, const coordination::address& listen_on,
         link_options options, hooks h)
        : loop_(loop), keys_(keys), self_(std::move(self)), options_(options),
          hooks_(std::move(h)) {
        const ACE_INET_Addr where(listen_on.port, listen_on.ip.c_str());
        constexpr int reuse = 1;
        constexpr int backlog = 1024;
        if (acceptor_.open(where, reuse, PF_INET, backlog) != 0)
            throw std::runtime_error("can't listen on " +
                                     coordination::to_string(listen_on));
        acceptor_.enable(ACE_NONBLOCK);
        accept_watch_ = loop_.watch(acceptor_.get_handle(),
                                    [this](bool, bool) { accept_all(); });
        accept_watch_.set_interest(true, false);
        sweep();
    }

    ~impl() {
        loop_.cancel(sweep_timer_);
        for (auto& [id, it] : links_) {
            uncharge(*it);
            it->stream.close();
        }
        acceptor_.close();
    }

    std::uint16_t port() const {
        ACE_INET_Addr where;
        acceptor_.get_local_addr(where);
        return where.get_port_number();
    }

    void send(const member_record& to, const frame& message) {
        auto found = opened_.find(to.id);
        if (found == opened_.end())
            found = opened_.emplace(to.id, open(to)).first;
        queue(*links_.at(found->second), message);
    }

    void send_back(const node_incarnation& to, const frame& message) {
        const auto found = accepted_.find(to);
        if (found == accepted_.end()) {
            if (hooks_.on_undelivered)
                hooks_.on_undelivered(to);
            return;
        }
        queue(*links_.at(found->second), message);
    }

    void send_if_open(const node_incarnation& to, const frame& message) {
        const auto found = opened_.find(to);
        if (found != opened_.end())
            queue(*links_.at(found->second), message);
    }

    void drop(const node_incarnation& node) {
        if (const auto it = opened_.find(node); it != opened_.end())
            close(it->second);
        if (const auto it = accepted_.find(node); it != accepted_.end())
            close(it->second);
    }

    link_counters counters;
    std::size_t open_links() const { return links_.size(); }
    bool has_unsent_frames() const {
        return std::any_of(links_.begin(), links_.end(), [](const auto& it) {
            return it.second->is_greeted && !it.second->out.empty();
        });
    }

  private:
    link& add(bool is_opener) {
        auto it = std::make_unique<link>();
        it->id = next_id_++;
        it->is_opener = is_opener;
        it->own_nonce = hooks_.random();
        it->last_used = steady_now();
        auto& added = *it;
        links_.emplace(added.id, std::move(it));
        return added;
    }

    void start_watch(link& it) {
        int on = 1;
        it.stream.set_option(IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        end_when_silent(it.stream, on);
        it.stream.enable(ACE_NONBLOCK);
        it.watch = loop_.watch(
            it.stream.get_handle(),
            [this, id = it.id](bool r, bool w) { on_ready(id, r, w); });
    }

    /// One that can't be connected is closed right after the current event, as
    /// the caller of send() is not ready for on_down yet. Until then it takes
    /// frames like any other, so that all of them share its fate.
    std::uint64_t open(const member_record& to) {
        const bool is_full = links_.size() >= options_.most_links;
        auto& it = add(true);
        it.peer = to.id;
        it.endpoint = to.endpoint;
        it.opened_at = steady_now();
        if (is_full || !connect(it, to.endpoint)) {
            close_later(it.id);
            return it.id;
        }
        ++counters.opened;
        it.is_connecting = true;
        start_watch(it);
        it.watch.set_interest(true, true);
        append_sealed(it, hello_frame{self_, it.own_nonce}, hello_context);
        return it.id;
    }

    static bool connect(link& it, const coordination::address& endpoint) {
        const ACE_INET_Addr where(endpoint.port, endpoint.ip.c_str());
        ACE_SOCK_Connector connector;
        const ACE_Time_Value no_wait(0, 0);
        return connector.connect(it.stream, where, &no_wait) == 0 ||
               errno == EWOULDBLOCK || errno == EINPROGRESS || errno == ETIME;
    }

    void accept_all() {
        while (true) {
            ACE_SOCK_Stream stream;
            const ACE_Time_Value no_wait(0, 0);
            if (acceptor_.accept(stream, nullptr,
                                 const_cast<ACE_Time_Value*>(&no_wait)) != 0)
                return;
            if (links_.size() >= options_.most_links) {
                stream.close();
                ++counters.rejected;
                continue;
            }
            ++counters.accepted;
            auto& it = add(false);
            it.stream = stream;
            start_watch(it);
            it.watch.set_interest(true, false);
        }
    }

    void queue(link& it, const frame& message) {
        auto payload = coordination::encode(message);
        counters.bytes_by_kind[message.index()] += payload.size();
        it.last_used = steady_now();
        if (it.is_greeted) {
            append_frame(it, std::move(payload));
            charge(it);
            flush_soon(it);
            return;
        }
        // The handshake timeout bounds how long they wait.
        it.waiting_bytes += payload.size();
        it.waiting.push_back(std::move(payload));
        charge(it);
    }

    std::string context_of(const link& it, bool is_own, std::uint64_t n) const {
        const auto opener = it.is_opener ? it.own_nonce : it.peer_nonce;
        const auto acceptor = it.is_opener ? it.peer_nonce : it.own_nonce;
        return frame_context(opener, acceptor, is_own == it.is_opener, n);
    }

    void append_frame(link& it, std::string payload) {
        const auto head =
            keys_.seal_head(payload, context_of(it, true, it.sent_frames++));
        append_bytes(it, head, std::move(payload));
        ++counters.frames_sent;
    }

    void append_sealed(link& it, const hello_frame& hello,
                       std::string_view context) {
        append_bytes(it, keys_.seal(coordination::encode(hello), context), {});
    }

    void append_bytes(link& it, const std::string& head, std::string payload) {
        if (it.out.empty())
            it.last_sent = steady_now();
        const auto n = static_cast<std::uint32_t>(head.size() + payload.size());
        it.out.append(
            std::string(reinterpret_cast<const char*>(&n), length_bytes) +
            head);
        it.out.append(std::move(payload));
        counters.bytes_sent += n + length_bytes;
    }

    void charge(link& it) {
        if (options_.memory == nullptr)
            return;
        auto& account = *options_.memory;
        // A frame and what is decoded from it exist side by side for a moment.
        account.update(io::memory_kind::frames_received, it.charged_in,
                       2 * it.in.size());
        account.update(io::memory_kind::frames_unsent, it.charged_out,
                       it.out.held() + it.waiting_bytes);
        account.update(io::memory_kind::connections, it.charged_connection,
                       io::connection_bytes);
    }

    void uncharge(link& it) {
        if (options_.memory == nullptr)
            return;
        auto& account = *options_.memory;
        account.update(io::memory_kind::frames_received, it.charged_in, 0);
        account.update(io::memory_kind::frames_unsent, it.charged_out, 0);
        account.update(io::memory_kind::connections, it.charged_connection, 0);
    }

    /// What one round of events makes for a peer leaves in one write.
    void flush_soon(link& it) {
        if (std::exchange(it.is_flush_due, true))
            return;
        loop_.defer([this, id = it.id] {
            const auto found = links_.find(id);
            if (found == links_.end())
                return;
            found->second->is_flush_due = false;
            flush(*found->second);
        });
    }

    void flush(link& it) {
        if (it.is_connecting)
            return;
        while (!it.out.empty()) {
            const auto next = it.out.front();
            const auto n = it.stream.send(next.data(), next.size());
            if (n <= 0)
                break;
            it.out.consume(static_cast<std::size_t>(n));
            it.last_sent = steady_now();
        }
        charge(it);
        it.watch.set_interest(true, !it.out.empty());
    }

    void close_later(std::uint64_t id) {
        loop_.after(duration::zero(), [this, id] { close(id); });
    }

    void on_ready(std::uint64_t id, bool can_read, bool can_write) {
        const auto found = links_.find(id);
        if (found == links_.end())
            return;
        auto& it = *found->second;
        if (it.is_connecting && !finish_connect(it)) {
            close(id);
            return;
        }
        if (can_write)
            flush(it);
        if (can_read)
            read(id);
    }

    static bool finish_connect(link& it) {
        int error = 0;
        int n = sizeof(error);
        it.stream.get_option(SOL_SOCKET, SO_ERROR, &error, &n);
        it.is_connecting = false;
        return error == 0;
    }

    void read(std::uint64_t id) {
        auto& it = *links_.at(id);
        for (std::size_t reads = 0; reads < max_reads; ++reads) {
            const auto n = it.stream.recv(scratch_.data(), read_bytes);
            if (n > 0)
                append_input(it, static_cast<std::size_t>(n));
            if (n < 0 && (errno == EWOULDBLOCK || errno == EAGAIN))
                break;
            if (n <= 0) {
                // What came before the end still counts.
                if (take_frames(id))
                    close(id);
                return;
            }
            if (n < static_cast<ssize_t>(read_bytes))
                break;
        }
        take_frames(id);
    }

    /// Makes room for the whole frame once a quarter of it is there, so that a
    /// peer that announces more than it sends takes little.
    void append_input(link& it, std::size_t n) {
        const auto needed = it.in.size() + n;
        if (it.is_greeted && needed > it.in.capacity() &&
            it.in.size() >= length_bytes) {
            std::uint32_t length = 0;
            std::memcpy(&length, it.in.data(), length_bytes);
            const std::size_t whole =
                length_bytes + length + max_reads * read_bytes;
            if (whole <= options_.most_frame_bytes && needed < whole)
                it.in.reserve(std::min(whole, needed * growth_factor));
        }
        it.in.append(scratch_.data(), n);
        charge(it);
    }

    /// False when the link is gone.
    bool take_frames(std::uint64_t id) {
        auto* it = links_.at(id).get();
        it->last_used = steady_now();
        std::size_t from = 0;
        while (it->in.size() - from >= length_bytes) {
            std::uint32_t n = 0;
            std::memcpy(&n, it->in.data() + from, length_bytes);
            const auto most =
                it->is_greeted ? options_.most_frame_bytes : most_hello_bytes;
            if (n > most) {
                reject(id, "oversized frame");
                return false;
            }
            if (it->in.size() - from - length_bytes < n)
                break;
            // The hooks may end the link, and the bytes with it. A frame that
            // is most of them is not copied.
            const auto end = from + length_bytes + n;
            std::string owned;
            std::string_view sealed;
            if (n >= it->in.size() / 2) {
                owned = std::exchange(it->in, {});
                it->in.assign(owned, end);
                sealed = std::string_view(owned).substr(from + length_bytes, n);
                from = 0;
            } else {
                owned = it->in.substr(from + length_bytes, n);
                sealed = owned;
                from = end;
            }
            charge(*it);
            if (!take(id, sealed, owned))
                return false;
            const auto found = links_.find(id);
            if (found == links_.end())
                return false;
            it = found->second.get();
        }
        it->in.erase(0, from);
        if (it->in.empty() && it->in.capacity() > read_bytes)
            std::string().swap(it->in);
        charge(*it);
        return true;
    }

    /// `sealed` points into `owned`, which is freed once the frame is decoded.
    bool take(std::uint64_t id, std::string_view sealed, std::string& owned) {
        auto& it = *links_.at(id);
        if (!it.is_greeted)
            return greet(id, sealed);
        const auto payload =
            keys_.open(sealed, context_of(it, false, it.received_frames++));
        if (!payload.ok()) {
            reject(id, "wrong MAC");
            return false;
        }
        auto message = coordination::decode<frame>(*payload);
        std::string().swap(owned);
        if (!message.ok()) {
            reject(id, std::string(message.status().message()));
            return false;
        }
        ++counters.frames_received;
        const auto peer = it.peer;
        if (!it.is_opener && !it.is_in_use)
            use(it);
        hooks_.on_frame(peer, *std::move(message));
        return true;
    }

    bool greet(std::uint64_t id, std::string_view sealed) {
        auto& it = *links_.at(id);
        const auto payload = keys_.open(sealed, hello_context);
        const auto hello = payload.ok()
                               ? coordination::decode<hello_frame>(*payload)
                               : absl::StatusOr<hello_frame>(payload.status());
        if (!hello.ok()) {
            reject(id, "no valid greeting");
            return false;
        }
        const auto endpoint = it.endpoint;
        const auto opened_at = it.opened_at;
        if (it.is_opener && hello->node != it.peer) {
            // Another life has the address now; nothing was sent to it.
            ++counters.answered_by_other_life;
            close(id);
            report_greeting(hello->node, endpoint, opened_at);
            return false;
        }
        it.peer = hello->node;
        it.peer_nonce = hello->nonce;
        it.is_greeted = true;
        if (!it.is_opener)
            append_sealed(it, hello_frame{self_, it.own_nonce}, hello_context);
        for (auto& message : std::exchange(it.waiting, {}))
            append_frame(it, std::move(message));
        it.waiting_bytes = 0;
        flush(it);
        if (!it.is_opener)
            return true;
        report_greeting(hello->node, endpoint, opened_at);
        return links_.contains(id);
    }

    void report_greeting(const node_incarnation& node,
                         const coordination::address& endpoint,
                         time_point opened_at) {
        if (hooks_.on_greeted)
            hooks_.on_greeted(node, endpoint, opened_at);
    }

    /// Who opens again and sends has given up the link before. Its end may be
    /// seen late, when calls came on the new one already.
    void use(link& it) {
        if (const auto before = accepted_.find(it.peer);
            before != accepted_.end()) {
            ++counters.superseded;
            close(before->second);
        }
        it.is_in_use = true;
        accepted_[it.peer] = it.id;
    }

    void reject(std::uint64_t id, const std::string& why) {
        ++counters.rejected;
        if (hooks_.on_rejected)
            hooks_.on_rejected(why);
        close(id);
    }

    void close(std::uint64_t id) {
        const auto found = links_.find(id);
        if (found == links_.end())
            return;
        const auto it = std::move(found->second);
        links_.erase(found);
        uncharge(*it);
        it->watch.reset();
        it->stream.close();
        auto& index = it->is_opener ? opened_ : accepted_;
        const auto named = index.find(it->peer);
        if (named != index.end() && named->second == id)
            index.erase(named);
        if (it->is_opener)
            hooks_.on_down(it->peer, it->is_greeted);
        else if (it->is_in_use && hooks_.on_caller_gone)
            hooks_.on_caller_gone(it->peer);
    }

    void sweep() {
        const auto now = steady_now();
        std::vector<std::uint64_t> old;
        for (const auto& [id, it] : links_) {
            const auto limit = it->is_greeted ? options_.idle_timeout
                                              : options_.handshake_timeout;
            // The side that opened a link closes it when idle.
            const bool is_mine = it->is_opener || !it->is_in_use;
            if (is_mine && now - it->last_used > limit)
                old.push_back(id);
            else if (is_stalled(*it, now)) {
                old.push_back(id);
                if (hooks_.on_stalled)
                    hooks_.on_stalled(it->peer, it->out.size());
            }
        }
        for (const auto id : old)
            close(id);
        sweep_timer_ = loop_.after(sweep_interval, [this] { sweep(); });
    }

    bool is_stalled(const link& it, time_point now) const {
        return it.out.size() > options_.most_waiting_bytes &&
               now - it.last_sent > options_.stall_timeout;
    }

    io::reactor& loop_;
    const coordination::keyring& keys_;
    node_incarnation self_;
    link_options options_;
    hooks hooks_;
    ACE_SOCK_Acceptor acceptor_;
    io::descriptor_watch accept_watch_;
    io::reactor::timer_id sweep_timer_{};
    std::uint64_t next_id_{1};
    std::unordered_map<std::uint64_t, std::unique_ptr<link>> links_;
    /// One buffer for all links: thousands of idle ones must stay small.
    std::string scratch_ = std::string(read_bytes, '\0');
    std::map<node_incarnation, std::uint64_t> opened_;
    std::map<node_incarnation, std::uint64_t> accepted_;
};

peer_links::peer_links(io::reactor& loop, const coordination::keyring& keys,
                       node_incarnation self,
                       const coordination::address& listen_on,
                       link_options options, hooks h)
    : impl_(std::make_unique<impl>(loop, keys, std::move(self), listen_on,
                                   options, std::move(h))) {}

peer_links::~peer_links() = default;

std::uint16_t peer_links::port() const {
    return impl_->port();
}

void peer_links::send(const member_record& to, const frame& message) {
    impl_->send(to, message);
}

void peer_links::send_back(const node_incarnation& to, const frame& message) {
    impl_->send_back(to, message);
}

void peer_links::send_if_open(const node_incarnation& to,
                              const frame& message) {
    impl_->send_if_open(to, message);
}

void peer_links::drop(const node_incarnation& node) {
    impl_->drop(node);
}

const link_counters& peer_links::counters() const {
    return impl_->counters;
}

std::size_t peer_links::open_links() const {
    return impl_->open_links();
}

bool peer_links::has_unsent_frames() const {
    return impl_->has_unsent_frames();
}

} // namespace redwingwind::node
