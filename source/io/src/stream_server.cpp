#include <redwingwind/io/stream_server.hpp>

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
/// Bytes of later requests kept while one is being answered.
constexpr std::size_t most_pipelined_bytes = 64U << 10U;
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
    impl(reactor& loop, const stream_listen& where, stream_limits limits,
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
        accept_watch_.want(true, false);
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
        const auto found = connections_.find(exchange >> sequence_bits);
        if (found == connections_.end())
            return;
        auto& it = *found->second;
        if (!it.is_busy || (exchange & sequence_mask) != it.sequence)
            return;
        it.is_busy = false;
        --open_exchanges_;
        hold(it, it.in.size());
        const bool closes = !it.may_stay || is_closing_;
        append(it, write_response(response, {closes, it.is_head}));
        it.reader.start(limits_.message);
        it.last_used = steady_now();
        if (closes)
            it.is_ending = true;
        else if (!it.in.empty())
            loop_.defer([this, id = it.id] { take_requests(id); });
        flush(it.id);
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
        /// Read of the request that arrives or is being answered.
        std::size_t held{};
        std::uint64_t sequence{};
        /// A request waits for its answer.
        bool is_busy{};
        bool is_head{};
        /// The connection may take another request after this one.
        bool may_stay{true};
        /// Closes once the answer is out.
        bool is_ending{};
        bool is_shut{};
        bool was_told_to_continue{};
        time_point last_used;
        time_point request_since;
    };

    void accept_all() {
        while (true) {
            ACE_SOCK_Stream stream;
            ACE_INET_Addr from;
            ACE_Time_Value no_wait(0, 0);
            if (acceptor_.accept(stream, &from, &no_wait) != 0)
                return;
            if (connections_.size() >= limits_.most_connections) {
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
        it.watch.want(true, false);
        connections_.emplace(it.id, std::move(added));
    }

    void on_ready(std::uint64_t id, bool can_read, bool can_write) {
        if (can_write)
            flush(id);
        if (can_read)
            read(id);
    }

    void read(std::uint64_t id) {
        const auto found = connections_.find(id);
        if (found == connections_.end())
            return;
        auto& it = *found->second;
        const auto n = it.stream.recv(scratch_.data(), read_bytes);
        if (n < 0 && (errno == EWOULDBLOCK || errno == EAGAIN))
            return;
        if (n <= 0) {
            close(id);
            return;
        }
        if (it.is_ending)
            return;
        it.in.append(scratch_.data(), static_cast<std::size_t>(n));
        hold(it, it.held + static_cast<std::size_t>(n));
        if (it.is_busy) {
            if (it.in.size() > most_pipelined_bytes)
                update_watch(it);
            return;
        }
        take_requests(id);
    }

    void take_requests(std::uint64_t id) {
        const auto found = connections_.find(id);
        if (found == connections_.end())
            return;
        auto& it = *found->second;
        if (it.is_busy || it.is_ending)
            return;
        update_watch(it);
        if (it.in.empty())
            return;
        const auto now = steady_now();
        if (it.reader.state() == http1_state::empty)
            it.request_since = now;
        it.last_used = now;
        const auto state = it.reader.read(it.in);
        switch (state) {
        case http1_state::empty:
        case http1_state::partial:
            if (held_bytes_ > limits_.most_held_bytes)
                reject(it, status_unavailable);
            else
                tell_to_continue(it);
            return;
        case http1_state::complete:
            hand_over(it);
            return;
        default:
            counters.oversized += state == http1_state::malformed ? 0 : 1;
            reject(it, status_of(state));
        }
    }

    void tell_to_continue(connection& it) {
        if (it.was_told_to_continue || !it.reader.has_header() ||
            !it.reader.expects_continue())
            return;
        it.was_told_to_continue = true;
        append(it, "HTTP/1.1 100 Continue\r\n\r\n");
        flush(it.id);
    }

    void hand_over(connection& it) {
        ++counters.requests;
        it.may_stay = it.reader.is_keep_alive();
        it.was_told_to_continue = false;
        it.sequence = (it.sequence + 1) & sequence_mask;
        arrival a{(it.id << sequence_bits) | it.sequence, it.caller,
                  it.reader.take_request()};
        it.is_head = a.request.method == "HEAD";
        it.is_busy = true;
        ++open_exchanges_;
        if (held_bytes_ > limits_.most_held_bytes) {
            respond(a.exchange,
                    {status_unavailable, {{"Retry-After", "0.5"}}, ""});
            return;
        }
        hooks_.on_request(std::move(a));
    }

    void reject(connection& it, int status) {
        ++counters.rejected;
        append(it, write_response({status, {}, ""}, {true, false}));
        it.is_ending = true;
        flush(it.id);
    }

    /// Counts what is kept of a connection's requests.
    void hold(connection& it, std::size_t bytes) {
        held_bytes_ += bytes;
        held_bytes_ -= it.held;
        it.held = bytes;
    }

    void append(connection& it, const std::string& bytes) {
        held_bytes_ += bytes.size();
        it.out.append(bytes);
    }

    void flush(std::uint64_t id) {
        const auto found = connections_.find(id);
        if (found == connections_.end())
            return;
        auto& it = *found->second;
        std::size_t sent = 0;
        while (sent < it.out.size()) {
            const auto n =
                it.stream.send(it.out.data() + sent, it.out.size() - sent);
            if (n < 0 && errno != EWOULDBLOCK && errno != EAGAIN) {
                close(id);
                return;
            }
            if (n <= 0)
                break;
            sent += static_cast<std::size_t>(n);
            it.last_used = steady_now();
        }
        held_bytes_ -= sent;
        it.out.erase(0, sent);
        if (it.out.empty() && it.is_ending && !it.is_shut) {
            it.is_shut = true;
            it.last_used = steady_now();
            it.stream.close_writer();
        }
        update_watch(it);
    }

    void update_watch(connection& it) {
        const bool reads = !it.is_busy || it.in.size() <= most_pipelined_bytes;
        it.watch.want(reads, !it.out.empty());
    }

    void close(std::uint64_t id) {
        const auto found = connections_.find(id);
        if (found == connections_.end())
            return;
        const auto it = std::move(found->second);
        connections_.erase(found);
        held_bytes_ -= it->out.size() + it->held;
        it->watch.reset();
        it->stream.close();
        if (!it->is_busy)
            return;
        --open_exchanges_;
        ++counters.left;
        hooks_.on_gone((id << sequence_bits) | it->sequence);
    }

    void sweep() {
        const auto now = steady_now();
        std::vector<std::uint64_t> over;
        std::vector<std::uint64_t> late;
        for (const auto& [id, it] : connections_) {
            if (is_over(*it, now))
                over.push_back(id);
            else if (!it->is_busy && !it->is_ending &&
                     it->reader.state() == http1_state::partial &&
                     now - it->request_since > limits_.request_timeout)
                late.push_back(id);
        }
        for (const auto id : over)
            close(id);
        for (const auto id : late)
            reject(*connections_.at(id), status_timeout);
        sweep_timer_ = loop_.after(sweep_interval, [this] { sweep(); });
    }

    bool is_over(const connection& it, time_point now) const {
        const auto quiet = now - it.last_used;
        if (it.is_shut)
            return quiet > linger;
        if (!it.out.empty())
            return quiet > limits_.write_timeout;
        return !it.is_busy && it.reader.state() == http1_state::empty &&
               quiet > limits_.idle_timeout;
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

stream_server::stream_server(reactor& loop, const stream_listen& where,
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

std::size_t stream_server::open_connections() const {
    return impl_->open_connections();
}

const stream_server_counters& stream_server::counters() const {
    return impl_->counters;
}

} // namespace redwingwind::io
