#include <redwingwind/io/stream_server.hpp>

#include <redwingwind/io/output_queue.hpp>

#include "request_pipeline.hpp"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Stream.h>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <cerrno>
#include <optional>
#include <stdexcept>
#include <unordered_map>
#include <utility>
#include <vector>

namespace redwingwind::io {
namespace {

/// Read from a connection at a time.
constexpr std::size_t read_bytes = 64U << 10U;
/// A connection is not read while more bytes than this wait to be parsed.
constexpr std::size_t max_unparsed_bytes = 64U << 10U;
/// A connection is not read while more response bytes than this are unsent.
constexpr std::size_t max_unsent_bytes = 256U << 10U;
constexpr duration sweep_interval = std::chrono::milliseconds(250);
/// After the last response, incoming bytes are read and discarded for this
/// long: closing a socket with unread bytes resets the connection, and the
/// client may lose the response.
constexpr duration linger_time = std::chrono::seconds(1);
/// While memory is short, a client is waited for at least this long before its
/// progress is judged.
constexpr duration min_wait = std::chrono::seconds(1);
/// Connections that hold less are not worth closing for their memory.
constexpr std::size_t min_relief_bytes = 8U << 10U;
constexpr int listen_backlog = 1024;
/// The low bits of an exchange id are the sequence number of the request in its
/// connection, the high bits are the connection's id.
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
        if (acceptor_.open(address, reuse, PF_INET, listen_backlog) != 0)
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
        loop_.cancel(relief_timer_);
        for (auto& [id, it] : connections_) {
            uncharge(*it);
            it->stream.close();
        }
        acceptor_.close();
    }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    void respond(exchange_id exchange, http_response response) {
        auto* it = find(exchange >> sequence_bits);
        if (it == nullptr || !it->pipeline.respond(exchange & sequence_mask,
                                                   std::move(response)))
            return;
        --open_exchanges_;
        update_buffered(*it);
        write_responses(*it);
        if (has_pending_input(*it))
            loop_.defer([this, id = it->id] { read_requests(id); });
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
    bool has_unsent_responses() {
        return std::any_of(
            connections_.begin(), connections_.end(),
            [](const auto& it) { return is_unsent(*it.second); });
    }
    std::size_t buffered_bytes() const { return total_buffered_bytes_; }
    std::size_t open_connections() const { return connections_.size(); }

    stream_server_counters counters;

  private:
    struct connection {
        explicit connection(const http1_limits& limits)
            : reader(http1_role::request, limits) {}

        std::uint64_t id{};
        ACE_SOCK_Stream stream;
        descriptor_watch watch;
        std::string client_ip;
        http1_reader reader;
        std::string in;
        output_queue out;
        request_pipeline pipeline;
        /// Bytes read of the request that is still incomplete.
        std::size_t partial_bytes{};
        /// This connection's part of total_buffered_bytes_.
        std::size_t buffered_bytes{};
        /// What the account has of it.
        std::size_t charged_requests{};
        std::size_t charged_responses{};
        std::size_t charged_connection{};
        /// Since when bytes of out wait for the client, and how many it has
        /// taken since.
        time_point waiting_since;
        std::size_t taken_bytes{};
        std::uint64_t sequence{};
        /// The pipeline holds the last request; none is read after it.
        bool has_last_request{};
        /// Closes once the responses in out are sent.
        bool closes_after_responses{};
        bool is_write_shut_down{};
        /// Bytes were sent whose acknowledgement has not been seen.
        bool is_unacknowledged{};
        bool has_sent_continue{};
        /// When request bytes were last parsed, a response was last appended to
        /// out, or the write side was shut down.
        time_point last_active;
        /// When bytes of out were last sent, or appended while it was empty.
        time_point last_sent;
        /// When the first byte of the current request arrived.
        time_point request_started;
    };

    static bool is_unsent(connection& it) {
        if (!it.out.empty())
            return true;
        if (!it.is_unacknowledged)
            return false;
        int bytes = 0;
        if (ioctl(it.stream.get_handle(), SIOCOUTQ, &bytes) != 0)
            bytes = 0;
        it.is_unacknowledged = bytes > 0;
        return it.is_unacknowledged;
    }

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
        it.client_ip = from.get_host_addr();
        it.last_active = steady_now();
        int on = 1;
        it.stream.set_option(IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        it.stream.enable(ACE_NONBLOCK);
        it.watch = loop_.watch(
            it.stream.get_handle(),
            [this, id = it.id](bool r, bool w) { on_ready(id, r, w); });
        it.watch.set_interest(true, false);
        connections_.emplace(it.id, std::move(added));
        charge(it);
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
        if (it->closes_after_responses)
            return;
        it->in.append(scratch_.data(), static_cast<std::size_t>(n));
        read_requests(id);
    }

    bool may_read_request(const connection& it) const {
        return !it.closes_after_responses && !it.has_last_request &&
               it.pipeline.size() < limits_.max_pipelined &&
               it.out.size() <= max_unsent_bytes &&
               !(is_closing_ && it.pipeline.has_started());
    }

    /// Bytes of a further request have been read, or requests are pending.
    static bool has_pending_input(const connection& it) {
        return !it.in.empty() || !it.pipeline.empty() ||
               it.reader.state() == http1_state::partial;
    }

    /// Adds the requests that were read to the pipeline and starts those that
    /// may run.
    void read_requests(std::uint64_t id) {
        auto* it = find(id);
        if (it == nullptr)
            return;
        while (may_read_request(*it) && read_one(*it)) {
        }
        update_buffered(*it);
        start_requests(id);
        it = find(id);
        if (it == nullptr)
            return;
        send_continue(*it);
        write_responses(*it);
        flush(id);
    }

    /// False when the next request is incomplete or was rejected.
    bool read_one(connection& it) {
        if (it.in.empty())
            return false;
        const auto now = steady_now();
        if (it.reader.state() == http1_state::empty)
            it.request_started = now - loop_.current_pause();
        it.last_active = now;
        const auto before = it.in.size();
        const auto state = it.reader.read(it.in);
        it.partial_bytes += before - it.in.size();
        switch (state) {
        case http1_state::empty:
        case http1_state::partial:
            update_buffered(it);
            // Small ones, as of nested calls, are read to their end.
            if (is_over_limit() ||
                (is_short() && it.buffered_bytes >= min_relief_bytes)) {
                ++counters.rejected_for_memory;
                reject(it, status_unavailable);
            }
            return false;
        case http1_state::complete:
            enqueue(it);
            return true;
        default:
            counters.oversized += state == http1_state::malformed ? 0 : 1;
            reject(it, status_of(state));
            return false;
        }
    }

    void enqueue(connection& it) {
        pipelined_request entry;
        entry.sequence = it.sequence = (it.sequence + 1) & sequence_mask;
        entry.arrived = it.request_started;
        entry.is_last = !it.reader.is_keep_alive();
        entry.request = it.reader.take_request();
        entry.is_head = entry.request.method == "HEAD";
        entry.is_idempotent =
            hooks_.is_idempotent && hooks_.is_idempotent(entry.request);
        entry.bytes = std::exchange(it.partial_bytes, 0);
        it.has_last_request = entry.is_last;
        it.has_sent_continue = false;
        it.reader.start(limits_.message);
        ++counters.requests;
        update_buffered(it);
        if (is_over_limit() || is_short_for(entry.request)) {
            ++counters.rejected_for_memory;
            entry.response = {status_unavailable, {{"Retry-After", "0.5"}}, ""};
            entry.request = {};
            entry.bytes = 0;
        }
        it.pipeline.add(std::move(entry));
    }

    void start_requests(std::uint64_t id) {
        // on_request may respond at once, and the connection may close then.
        while (auto* it = find(id)) {
            if (it->closes_after_responses)
                return;
            auto* next = it->pipeline.start_next(is_closing_);
            if (next == nullptr)
                return;
            ++open_exchanges_;
            hooks_.on_request({(id << sequence_bits) | next->sequence,
                               it->client_ip, std::move(next->request),
                               next->arrived});
        }
    }

    void send_continue(connection& it) {
        if (it.has_sent_continue || !it.pipeline.empty() ||
            it.closes_after_responses || !it.reader.is_header_complete() ||
            !it.reader.expects_continue())
            return;
        it.has_sent_continue = true;
        append(it, "HTTP/1.1 100 Continue\r\n\r\n");
    }

    /// Rejects the incoming request; the rejection is written after the
    /// responses to the requests before it and closes the connection.
    void reject(connection& it, int status) {
        ++counters.rejected;
        pipelined_request entry;
        entry.response = {status, {}, ""};
        entry.is_last = true;
        it.has_last_request = true;
        it.partial_bytes = 0;
        std::string().swap(it.in);
        it.reader.start(limits_.message);
        it.pipeline.add(std::move(entry));
    }

    /// Writes the responses that are next in the order of the requests.
    void write_responses(connection& it) {
        while (!it.closes_after_responses) {
            auto entry = it.pipeline.pop_responded();
            if (!entry)
                return;
            // Requests that have not started are treated as unread: their
            // client sends them on another connection.
            const bool closes =
                entry->is_last || (is_closing_ && !it.pipeline.has_started());
            append(it, write_response_head(*entry->response,
                                           {closes, entry->is_head}));
            if (!entry->is_head)
                append(it, std::move(entry->response->body));
            it.last_active = steady_now();
            if (closes)
                close_after_responses(it);
            update_buffered(it);
        }
    }

    void close_after_responses(connection& it) {
        it.closes_after_responses = true;
        it.pipeline.drop_all();
        std::string().swap(it.in);
        it.partial_bytes = 0;
    }

    /// Updates the number of bytes buffered for a connection.
    void update_buffered(connection& it) {
        const auto buffered_bytes = it.in.size() + it.partial_bytes +
                                    it.pipeline.bytes() + it.out.held();
        total_buffered_bytes_ += buffered_bytes;
        total_buffered_bytes_ -= it.buffered_bytes;
        it.buffered_bytes = buffered_bytes;
        charge(it);
    }

    void charge(connection& it) {
        if (limits_.memory == nullptr)
            return;
        auto& account = *limits_.memory;
        const auto responses = it.pipeline.response_bytes() + it.out.held();
        account.update(memory_kind::responses, it.charged_responses, responses);
        account.update(memory_kind::requests, it.charged_requests,
                       it.buffered_bytes - responses);
        account.update(memory_kind::connections, it.charged_connection,
                       connection_bytes);
        if (account.is_short() && !std::exchange(is_relief_due_, true))
            relief_timer_ =
                loop_.after(duration::zero(), [this] { relieve(); });
    }

    void uncharge(connection& it) {
        if (limits_.memory == nullptr)
            return;
        auto& account = *limits_.memory;
        account.update(memory_kind::responses, it.charged_responses, 0);
        account.update(memory_kind::requests, it.charged_requests, 0);
        account.update(memory_kind::connections, it.charged_connection, 0);
    }

    bool is_over_limit() const {
        return total_buffered_bytes_ > limits_.max_buffered_bytes;
    }
    bool is_short() const {
        return limits_.memory != nullptr && limits_.memory->is_short();
    }
    bool is_full() const {
        return limits_.memory != nullptr && limits_.memory->is_full();
    }
    bool is_short_for(const http_request& request) const {
        if (!is_short())
            return false;
        return is_full() || !hooks_.is_nested || !hooks_.is_nested(request);
    }

    /// A connection that holds memory for a client that is waited for.
    struct slow_client {
        std::uint64_t id{};
        /// In bytes a second.
        std::size_t progress{};
        bool is_reader{};

        bool operator<(const slow_client& other) const {
            return progress < other.progress;
        }
    };

    /// Nothing when the connection is not waited for, or not yet for long
    /// enough.
    std::optional<slow_client> judge(const connection& it,
                                     time_point now) const {
        if (it.buffered_bytes < min_relief_bytes)
            return std::nullopt;
        const bool is_reader = !it.out.empty();
        // Responses that wait for an earlier one of their connection.
        if (!is_reader && it.pipeline.response_bytes() >= min_relief_bytes &&
            (is_full() || now - it.last_active >= min_wait))
            return slow_client{it.id, 0, true};
        const bool is_partial = it.reader.state() == http1_state::partial &&
                                !it.closes_after_responses;
        if (!is_reader && !is_partial)
            return std::nullopt;
        const auto waited =
            now - (is_reader ? it.waiting_since : it.request_started);
        if (waited < min_wait && !(is_reader && is_full()))
            return std::nullopt;
        const auto moved = is_reader ? it.taken_bytes : it.partial_bytes;
        const auto time = std::max(seconds(waited), seconds(min_wait) / 10);
        return slow_client{
            it.id, static_cast<std::size_t>(static_cast<double>(moved) / time),
            is_reader};
    }

    /// While memory is short, closes the connections that made the least
    /// progress, slowest first; those above min_progress only when the account
    /// is full.
    void relieve() {
        is_relief_due_ = false;
        if (!is_short())
            return;
        const auto now = steady_now();
        std::vector<slow_client> slow;
        for (const auto& [id, it] : connections_)
            if (const auto found = judge(*it, now))
                slow.push_back(*found);
        std::sort(slow.begin(), slow.end());
        for (const auto& it : slow) {
            if (!is_short() ||
                (it.progress >= limits_.min_progress && !is_full()))
                return;
            give_up(it);
        }
    }

    void give_up(const slow_client& slow) {
        auto* it = find(slow.id);
        if (it == nullptr)
            return;
        if (hooks_.on_relief)
            hooks_.on_relief(slow.is_reader ? "slow_reader" : "slow_request",
                             it->client_ip, it->buffered_bytes, slow.progress);
        if (slow.is_reader) {
            ++counters.slow_readers;
            abort(*it);
            return;
        }
        ++counters.slow_requests;
        reject(*it, status_unavailable);
        write_responses(*it);
        flush(slow.id);
    }

    /// Closes with a reset, so that the kernel frees its unsent bytes too.
    void abort(connection& it) {
        linger none{1, 0};
        it.stream.set_option(SOL_SOCKET, SO_LINGER, &none, sizeof(none));
        close(it.id);
    }

    void append(connection& it, std::string bytes) {
        if (it.out.empty()) {
            it.last_sent = it.waiting_since = steady_now();
            it.taken_bytes = 0;
        }
        it.out.append(std::move(bytes));
    }

    void flush(std::uint64_t id) {
        auto* it = find(id);
        if (it == nullptr)
            return;
        const bool was_blocked = it->out.size() > max_unsent_bytes;
        while (!it->out.empty()) {
            const auto next = it->out.front();
            const auto n = it->stream.send(next.data(), next.size());
            if (n < 0 && errno != EWOULDBLOCK && errno != EAGAIN) {
                close(id);
                return;
            }
            if (n <= 0)
                break;
            it->out.consume(static_cast<std::size_t>(n));
            it->taken_bytes += static_cast<std::size_t>(n);
            it->last_sent = steady_now();
            it->is_unacknowledged = true;
        }
        if (was_blocked && it->out.size() <= max_unsent_bytes)
            loop_.defer([this, id] { read_requests(id); });
        if (it->out.empty() && it->closes_after_responses &&
            !it->is_write_shut_down) {
            it->is_write_shut_down = true;
            it->last_active = steady_now();
            it->stream.close_writer();
        }
        update_buffered(*it);
        update_watch(*it);
    }

    static bool wants_read(const connection& it) {
        return it.closes_after_responses ||
               (it.in.size() <= max_unparsed_bytes &&
                it.out.size() <= max_unsent_bytes);
    }

    static void update_watch(connection& it) {
        it.watch.set_interest(wants_read(it), !it.out.empty());
    }

    void close(std::uint64_t id) {
        const auto found = connections_.find(id);
        if (found == connections_.end())
            return;
        const auto it = std::move(found->second);
        connections_.erase(found);
        total_buffered_bytes_ -= it->buffered_bytes;
        uncharge(*it);
        it->watch.reset();
        it->stream.close();
        for (const auto sequence : it->pipeline.drop_all()) {
            --open_exchanges_;
            ++counters.disconnected;
            hooks_.on_disconnect((id << sequence_bits) | sequence);
        }
    }

    /// Closes expired connections and rejects late requests, every
    /// sweep_interval.
    void sweep() {
        const auto now = steady_now();
        std::vector<std::uint64_t> expired;
        std::vector<std::uint64_t> late;
        for (const auto& [id, it] : connections_) {
            if (is_expired(*it, now))
                expired.push_back(id);
            else if (is_request_late(*it, now))
                late.push_back(id);
        }
        for (const auto id : expired)
            close(id);
        for (const auto id : late) {
            auto& it = *connections_.at(id);
            reject(it, status_timeout);
            write_responses(it);
            flush(id);
        }
        relieve();
        sweep_timer_ = loop_.after(sweep_interval, [this] { sweep(); });
    }

    /// The rest of a request has not arrived in time, although the server is
    /// ready to read it.
    bool is_request_late(const connection& it, time_point now) const {
        return may_read_request(it) &&
               it.reader.state() == http1_state::partial &&
               now - it.request_started > limits_.request_timeout;
    }

    bool is_expired(const connection& it, time_point now) const {
        if (it.is_write_shut_down)
            return now - it.last_active > linger_time;
        if (!it.out.empty())
            return now - it.last_sent > limits_.write_timeout;
        return it.pipeline.empty() && it.reader.state() == http1_state::empty &&
               now - it.last_active > limits_.idle_timeout;
    }

    reactor& loop_;
    stream_limits limits_;
    hooks hooks_;
    ACE_SOCK_Acceptor acceptor_;
    descriptor_watch accept_watch_;
    reactor::timer_id sweep_timer_{};
    reactor::timer_id relief_timer_{};
    bool is_relief_due_{};
    std::uint64_t next_id_{1};
    std::unordered_map<std::uint64_t, std::unique_ptr<connection>> connections_;
    std::string scratch_ = std::string(read_bytes, '\0');
    std::size_t total_buffered_bytes_{};
    std::size_t open_exchanges_{};
    bool is_closing_{};
};

stream_server::stream_server(reactor& loop, const listen_address& where,
                             stream_limits limits, hooks h)
    : impl_(std::make_unique<impl>(loop, where, limits, std::move(h))) {}

stream_server::~stream_server() = default;

void stream_server::respond(exchange_id exchange, http_response response) {
    impl_->respond(exchange, std::move(response));
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

bool stream_server::has_unsent_responses() const {
    return impl_->has_unsent_responses();
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
