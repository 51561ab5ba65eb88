#include <redwingwind/io/stream_server.hpp>

#include "request_line.hpp"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Stream.h>

#include <netinet/tcp.h>

#include <cerrno>
#include <stdexcept>
#include <unordered_map>
#include <utility>
#include <vector>

namespace redwingwind::io {
namespace {

constexpr std::size_t read_bytes = 64U << 10U;
/// Bytes kept of requests that are not taken yet.
constexpr std::size_t most_untaken_bytes = 64U << 10U;
/// Nothing more is taken of a caller that leaves so much of its answers
/// unread.
constexpr std::size_t most_unread_bytes = 256U << 10U;
constexpr duration sweep_interval = std::chrono::milliseconds(250);
/// After an answer that closes, the caller's last bytes are read away for
/// this long: closing over unread bytes would reset the answer too.
constexpr duration linger = std::chrono::seconds(1);
constexpr int backlog = 1024;
/// The low bits of an exchange count the requests of one connection.
constexpr unsigned sequence_bits = 24;
constexpr std::uint64_t sequence_mask = (std::uint64_t{1} << sequence_bits) - 1;

constexpr int status_bad_request = 400;
constexpr int status_timeout = 408;
constexpr int status_body_too_large = 413;
constexpr int status_header_too_large = 431;
constexpr int status_unavailable = 503;

int status_of(http1_state state) {
    switch (state) {
    case http1_state::header_too_large:
        return status_header_too_large;
    case http1_state::body_too_large:
        return status_body_too_large;
    default:
        return status_bad_request;
    }
}

} // namespace

class stream_server::impl {
  public:
    impl(reactor& loop, const listen_address& where, stream_limits limits,
         hooks h)
        : loop_(loop), limits_(limits), hooks_(std::move(h)) {
        const ACE_INET_Addr address(where.port, where.ip.c_str());
        constexpr int reuse = 1;
        if (acceptor_.open(address, reuse, PF_INET, backlog) != 0)
            throw std::runtime_error("can't listen on " + where.ip + ":" +
                                     std::to_string(where.port));
        acceptor_.enable(ACE_NONBLOCK);
        accept_watch_ = loop_.watch(acceptor_.get_handle(),
                                    [this](bool, bool) { accept_all(); });
        accept_watch_.set_interest(true, false);
        sweep();
    }

    ~impl() {
        loop_.cancel(sweep_timer_);
        for (auto& [id, it] : connections_)
            it->stream.close();
        acceptor_.close();
    }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    void respond(exchange_id exchange, const http_response& response) {
        auto* it = find(exchange >> sequence_bits);
        if (it == nullptr ||
            !it->line.answer(exchange & sequence_mask, response))
            return;
        --open_exchanges_;
        recount(*it);
        write_answers(*it);
        if (has_more(*it))
            loop_.defer([this, id = it->id] { take_requests(id); });
        flush(it->id);
    }

    void set_limits(const stream_limits& limits) { limits_ = limits; }
    void close_gradually() { is_closing_ = true; }
    void stop_accepting() {
        accept_watch_.reset();
        acceptor_.close();
    }

    std::uint16_t port() const {
        ACE_INET_Addr where;
        acceptor_.get_local_addr(where);
        return where.get_port_number();
    }

    std::size_t open_exchanges() const { return open_exchanges_; }
    std::size_t buffered_bytes() const { return held_bytes_; }
    std::size_t open_connections() const { return connections_.size(); }

    stream_server_counters counters;

  private:
    struct connection {
        explicit connection(const http1_limits& limits)
            : reader(http1_role::request, limits) {}

        std::uint64_t id{};
        ACE_SOCK_Stream stream;
        descriptor_watch watch;
        std::string caller;
        http1_reader reader;
        std::string in;
        std::string out;
        request_line line;
        /// Read of the request that still arrives.
        std::size_t partial_bytes{};
        /// Counted in held_bytes_ for this connection.
        std::size_t held{};
        std::uint64_t sequence{};
        /// No request is taken behind the last one of the line.
        bool takes_no_more{};
        /// Closes once the answers are out.
        bool is_ending{};
        bool is_shut{};
        bool was_told_to_continue{};
        /// When a request last came, or its answer left.
        time_point last_used;
        /// When some of what waits for the caller last left.
        time_point last_sent;
        time_point request_since;
    };

    connection* find(std::uint64_t id) {
        const auto found = connections_.find(id);
        return found == connections_.end() ? nullptr : found->second.get();
    }

    void accept_all() {
        while (true) {
            ACE_SOCK_Stream stream;
            ACE_INET_Addr from;
            ACE_Time_Value no_wait(0, 0);
            if (acceptor_.accept(stream, &from, &no_wait) != 0)
                return;
            if (connections_.size() >= limits_.max_connections) {
                ++counters.rejected;
                stream.close();
                continue;
            }
            add(stream, from);
        }
    }

    void add(const ACE_SOCK_Stream& stream, const ACE_INET_Addr& from) {
        ++counters.accepted;
        auto added = std::make_unique<connection>(limits_.message);
        auto& it = *added;
        it.id = next_id_++;
        it.stream = stream;
        it.caller = from.get_host_addr();
        it.last_used = steady_now();
        int on = 1;
        it.stream.set_option(IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        it.stream.enable(ACE_NONBLOCK);
        it.watch = loop_.watch(
            it.stream.get_handle(),
            [this, id = it.id](bool r, bool w) { on_ready(id, r, w); });
        it.watch.set_interest(true, false);
        connections_.emplace(it.id, std::move(added));
    }

    void on_ready(std::uint64_t id, bool can_read, bool can_write) {
        if (can_write)
            flush(id);
        if (can_read)
            read(id);
    }

    void read(std::uint64_t id) {
        auto* it = find(id);
        if (it == nullptr)
            return;
        const auto n = it->stream.recv(scratch_.data(), read_bytes);
        if (n < 0 && (errno == EWOULDBLOCK || errno == EAGAIN))
            return;
        if (n <= 0) {
            close(id);
            return;
        }
        if (it->is_ending)
            return;
        it->in.append(scratch_.data(), static_cast<std::size_t>(n));
        take_requests(id);
    }

    bool may_take(const connection& it) const {
        return !it.is_ending && !it.takes_no_more &&
               it.line.size() < limits_.max_pipelined &&
               it.out.size() <= most_unread_bytes &&
               !(is_closing_ && it.line.has_started());
    }

    /// Something of another request is there.
    static bool has_more(const connection& it) {
        return !it.in.empty() || !it.line.empty() ||
               it.reader.state() == http1_state::partial;
    }

    /// Takes what arrived into the line, and starts what may run.
    void take_requests(std::uint64_t id) {
        auto* it = find(id);
        if (it == nullptr)
            return;
        while (may_take(*it) && take_one(*it)) {
        }
        recount(*it);
        start_requests(id);
        it = find(id);
        if (it == nullptr)
            return;
        tell_to_continue(*it);
        write_answers(*it);
        flush(id);
    }

    /// False when the next request is not whole.
    bool take_one(connection& it) {
        if (it.in.empty())
            return false;
        const auto now = steady_now();
        if (it.reader.state() == http1_state::empty)
            it.request_since = now - loop_.current_pause();
        it.last_used = now;
        const auto before = it.in.size();
        const auto state = it.reader.read(it.in);
        it.partial_bytes += before - it.in.size();
        switch (state) {
        case http1_state::empty:
        case http1_state::partial:
            recount(it);
            if (held_bytes_ > limits_.max_buffered_bytes)
                reject(it, status_unavailable);
            return false;
        case http1_state::complete:
            add_to_line(it);
            return true;
        default:
            counters.oversized += state == http1_state::malformed ? 0 : 1;
            reject(it, status_of(state));
            return false;
        }
    }

    void add_to_line(connection& it) {
        line_entry entry;
        entry.sequence = it.sequence = (it.sequence + 1) & sequence_mask;
        entry.arrived = it.request_since;
        entry.is_last = !it.reader.is_keep_alive();
        entry.request = it.reader.take_request();
        entry.is_head = entry.request.method == "HEAD";
        entry.is_idempotent =
            hooks_.is_idempotent && hooks_.is_idempotent(entry.request);
        entry.bytes = std::exchange(it.partial_bytes, 0);
        it.takes_no_more = entry.is_last;
        it.was_told_to_continue = false;
        it.reader.start(limits_.message);
        ++counters.requests;
        recount(it);
        if (held_bytes_ > limits_.max_buffered_bytes)
            entry.answer = {status_unavailable, {{"Retry-After", "0.5"}}, ""};
        it.line.add(std::move(entry));
    }

    void start_requests(std::uint64_t id) {
        // A request may be answered, and its connection end, at once.
        while (auto* it = find(id)) {
            if (it->is_ending)
                return;
            auto* next = it->line.start_next(is_closing_);
            if (next == nullptr)
                return;
            ++open_exchanges_;
            hooks_.on_request({(id << sequence_bits) | next->sequence,
                               it->caller, std::move(next->request),
                               next->arrived});
        }
    }

    void tell_to_continue(connection& it) {
        if (it.was_told_to_continue || !it.line.empty() || it.is_ending ||
            !it.reader.is_header_complete() || !it.reader.expects_continue())
            return;
        it.was_told_to_continue = true;
        append(it, "HTTP/1.1 100 Continue\r\n\r\n");
    }

    /// Turns away what arrives, behind the answers to what came before.
    void reject(connection& it, int status) {
        ++counters.rejected;
        line_entry entry;
        entry.answer = {status, {}, ""};
        entry.is_last = true;
        it.takes_no_more = true;
        it.partial_bytes = 0;
        it.in.clear();
        it.line.add(std::move(entry));
    }

    /// Answers that are next in the order of the requests leave.
    void write_answers(connection& it) {
        while (!it.is_ending) {
            const auto entry = it.line.take_answered();
            if (!entry)
                return;
            // What has not started counts as not read, and is sent elsewhere.
            const bool closes =
                entry->is_last || (is_closing_ && !it.line.has_started());
            append(it,
                   write_response(*entry->answer, {closes, entry->is_head}));
            it.last_used = steady_now();
            if (closes)
                end_after_answers(it);
            recount(it);
        }
    }

    void end_after_answers(connection& it) {
        it.is_ending = true;
        it.line.drop_all();
        it.in.clear();
        it.partial_bytes = 0;
    }

    /// Counts what is kept for a connection.
    void recount(connection& it) {
        const auto held =
            it.in.size() + it.partial_bytes + it.line.bytes() + it.out.size();
        held_bytes_ += held;
        held_bytes_ -= it.held;
        it.held = held;
    }

    void append(connection& it, const std::string& bytes) {
        if (it.out.empty())
            it.last_sent = steady_now();
        it.out.append(bytes);
    }

    void flush(std::uint64_t id) {
        auto* it = find(id);
        if (it == nullptr)
            return;
        std::size_t sent = 0;
        while (sent < it->out.size()) {
            const auto n =
                it->stream.send(it->out.data() + sent, it->out.size() - sent);
            if (n < 0 && errno != EWOULDBLOCK && errno != EAGAIN) {
                close(id);
                return;
            }
            if (n <= 0)
                break;
            sent += static_cast<std::size_t>(n);
            it->last_sent = steady_now();
        }
        const bool was_full = it->out.size() > most_unread_bytes;
        it->out.erase(0, sent);
        if (was_full && it->out.size() <= most_unread_bytes)
            loop_.defer([this, id] { take_requests(id); });
        if (it->out.empty() && it->is_ending && !it->is_shut) {
            it->is_shut = true;
            it->last_used = steady_now();
            it->stream.close_writer();
        }
        recount(*it);
        update_watch(*it);
    }

    static bool reads(const connection& it) {
        return it.is_ending || (it.in.size() <= most_untaken_bytes &&
                                it.out.size() <= most_unread_bytes);
    }

    static void update_watch(connection& it) {
        it.watch.set_interest(reads(it), !it.out.empty());
    }

    void close(std::uint64_t id) {
        const auto found = connections_.find(id);
        if (found == connections_.end())
            return;
        const auto it = std::move(found->second);
        connections_.erase(found);
        held_bytes_ -= it->held;
        it->watch.reset();
        it->stream.close();
        for (const auto sequence : it->line.drop_all()) {
            --open_exchanges_;
            ++counters.disconnected;
            hooks_.on_disconnect((id << sequence_bits) | sequence);
        }
    }

    void sweep() {
        const auto now = steady_now();
        std::vector<std::uint64_t> over;
        std::vector<std::uint64_t> late;
        for (const auto& [id, it] : connections_) {
            if (is_over(*it, now))
                over.push_back(id);
            else if (is_late(*it, now))
                late.push_back(id);
        }
        for (const auto id : over)
            close(id);
        for (const auto id : late) {
            auto& it = *connections_.at(id);
            reject(it, status_timeout);
            write_answers(it);
            flush(id);
        }
        sweep_timer_ = loop_.after(sweep_interval, [this] { sweep(); });
    }

    /// The rest of a request does not come, though it could.
    bool is_late(const connection& it, time_point now) const {
        return may_take(it) && it.reader.state() == http1_state::partial &&
               now - it.request_since > limits_.request_timeout;
    }

    bool is_over(const connection& it, time_point now) const {
        if (it.is_shut)
            return now - it.last_used > linger;
        if (!it.out.empty())
            return now - it.last_sent > limits_.write_timeout;
        return it.line.empty() && it.reader.state() == http1_state::empty &&
               now - it.last_used > limits_.idle_timeout;
    }

    reactor& loop_;
    stream_limits limits_;
    hooks hooks_;
    ACE_SOCK_Acceptor acceptor_;
    descriptor_watch accept_watch_;
    reactor::timer_id sweep_timer_{};
    std::uint64_t next_id_{1};
    std::unordered_map<std::uint64_t, std::unique_ptr<connection>> connections_;
    std::string scratch_ = std::string(read_bytes, '\0');
    std::size_t held_bytes_{};
    std::size_t open_exchanges_{};
    bool is_closing_{};
};

stream_server::stream_server(reactor& loop, const listen_address& where,
                             stream_limits limits, hooks h)
    : impl_(std::make_unique<impl>(loop, where, limits, std::move(h))) {}

stream_server::~stream_server() = default;

void stream_server::respond(exchange_id exchange,
                            const http_response& response) {
    impl_->respond(exchange, response);
}

void stream_server::set_limits(const stream_limits& limits) {
    impl_->set_limits(limits);
}

void stream_server::stop_accepting() {
    impl_->stop_accepting();
}

void stream_server::close_gradually() {
    impl_->close_gradually();
}

std::uint16_t stream_server::port() const {
    return impl_->port();
}

std::size_t stream_server::open_exchanges() const {
    return impl_->open_exchanges();
}

std::size_t stream_server::buffered_bytes() const {
    return impl_->buffered_bytes();
}

std::size_t stream_server::open_connections() const {
    return impl_->open_connections();
}

const stream_server_counters& stream_server::counters() const {
    return impl_->counters;
}

} // namespace redwingwind::io
