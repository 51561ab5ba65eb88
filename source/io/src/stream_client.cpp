#include <redwingwind/io/stream_client.hpp>

#include <redwingwind/common/hash.hpp>
#include <redwingwind/io/http.hpp>
#include <redwingwind/io/http1.hpp>
#include <redwingwind/io/output_queue.hpp>

#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>

#include <netinet/tcp.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <unordered_map>
#include <utility>
#include <vector>

namespace redwingwind::io {
namespace {

/// Read from a connection at a time.
constexpr std::size_t read_bytes = 64U << 10U;
/// While memory is full, smaller incomplete responses are left to finish.
constexpr std::size_t min_dropped_bytes = 256U << 10U;
constexpr duration sweep_interval = std::chrono::milliseconds(250);
/// Part of the server's Keep-Alive timeout after which an idle connection is
/// closed here, so that no request is sent while the server is closing it.
constexpr double keep_alive_fraction = 0.8;

/// A server that sends more interim responses, or responses to other requests,
/// before the one expected is faulty.
constexpr std::uint32_t max_unexpected_responses = 64;

/// The timeout in the Keep-Alive header; zero when there is none.
duration keep_alive_timeout(const std::vector<http_header>& headers) {
    const auto value = find_header(headers, "keep-alive");
    const auto at = value.find("timeout=");
    if (at == std::string::npos)
        return duration::zero();
    constexpr std::size_t name_length = 8;
    const auto s = std::strtol(value.c_str() + at + name_length, nullptr, 10);
    return std::chrono::seconds(s);
}

} // namespace

class stream_client::impl {
  public:
    impl(reactor& loop, stream_client_options options)
        : loop_(loop), options_(std::move(options)) {
        sweep();
    }

    ~impl() {
        loop_.cancel(sweep_timer_);
        for (auto& [id, it] : connections_) {
            uncharge(*it);
            it->stream.close();
        }
    }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    call_id start(stream_call call, callback on_end) {
        const auto id = next_call_++;
        auto* carriers = remember(call);
        auto* it = may_reuse(call, carriers)
                       ? reuse_idle(call.max_idle, carriers)
                       : nullptr;
        if (it == nullptr)
            it = open();
        if (it == nullptr) {
            loop_.defer([on_end = std::move(on_end)] {
                on_end({stream_failure::not_connected, false, 0, 0, {}});
            });
            return id;
        }
        if (carriers != nullptr)
            carriers->push_back(it->id);
        it->call = id;
        it->on_end = std::move(on_end);
        it->echo_header = std::move(call.echo_header);
        it->echo_value = std::move(call.echo_value);
        it->out.clear();
        it->out.append(write_request_head(call.request));
        it->out.append(std::move(call.request.body));
        it->is_head = call.request.method == "HEAD";
        it->skipped_responses = 0;
        it->interim_responses = 0;
        it->reader.start(response_limits(), it->is_head);
        set_buffered(*it, it->in.size());
        calls_.emplace(id, it->id);
        flush(*it);
        return id;
    }

    void cancel(call_id id) {
        const auto found = calls_.find(id);
        if (found == calls_.end())
            return;
        const auto connection_id = found->second;
        calls_.erase(found);
        close(connection_id);
    }

    void close_idle() {
        for (const auto id : std::exchange(idle_, {}))
            close(id);
    }

    std::size_t open_connections() const { return connections_.size(); }
    stream_client_counters counters;

  private:
    struct connection {
        explicit connection(const http1_limits& limits)
            : reader(http1_role::response, limits) {}

        std::uint64_t id{};
        ACE_SOCK_Stream stream;
        descriptor_watch watch;
        http1_reader reader;
        std::string in;
        output_queue out;
        /// What the account has of it.
        std::size_t charged_request{};
        std::size_t charged_response{};
        /// Bytes read of the current response.
        std::size_t buffered_bytes{};
        /// Responses to other requests skipped during the current call.
        std::uint32_t skipped_responses{};
        std::uint32_t interim_responses{};
        /// The call that the connection serves; 0 while it is idle.
        call_id call{};
        callback on_end;
        std::string echo_header;
        std::string echo_value;
        bool is_connecting{};
        /// A write failed.
        bool is_broken{};
        bool is_head{};
        bool was_used{};
        duration idle_limit{};
        /// When the connection was opened, was connected or last became idle.
        time_point state_since;
    };

    http1_limits response_limits() const {
        return {options_.max_response_header_bytes,
                options_.max_response_body_bytes};
    }

    /// Numbers of the connections that carried a request.
    using carrier_list = std::vector<std::uint64_t>;
    struct sent_value {
        time_point until;
        carrier_list carriers;
    };

    /// Returns the connections that have carried the call's echo value; nullptr
    /// when the call has none.
    carrier_list* remember(const stream_call& call) {
        if (call.echo_header.empty() || call.echo_value.empty())
            return nullptr;
        auto& sent = sent_values_[digest(call.echo_value)];
        sent.until = std::max(sent.until, steady_now() + call.echo_lifetime);
        return &sent.carriers;
    }

    static bool may_reuse(const stream_call& call,
                          const carrier_list* carriers) {
        if (call.echo_header.empty())
            return true;
        // An empty value tells no requests apart.
        return carriers != nullptr &&
               (carriers->empty() || call.may_share_connection);
    }

    /// Returns the idle connection used last, so that few stay open; nullptr
    /// when none but the carriers was idle for less than max_idle and its own
    /// limit.
    connection* reuse_idle(duration max_idle, const carrier_list* carriers) {
        const auto now = steady_now();
        for (auto n = idle_.size(); n-- > 0;) {
            auto& it = *connections_.at(idle_[n]);
            const auto idle_for = now - it.state_since;
            if (idle_for >= max_idle)
                return nullptr;
            const bool is_carrier =
                carriers != nullptr &&
                std::find(carriers->begin(), carriers->end(), it.id) !=
                    carriers->end();
            if (is_carrier || idle_for >= it.idle_limit)
                continue;
            idle_.erase(idle_.begin() + static_cast<std::ptrdiff_t>(n));
            return &it;
        }
        return nullptr;
    }

    connection* open() {
        auto added = std::make_unique<connection>(response_limits());
        auto& it = *added;
        const ACE_INET_Addr where(options_.port, options_.ip.c_str());
        ACE_SOCK_Connector connector;
        const ACE_Time_Value no_wait(0, 0);
        const int result = connector.connect(it.stream, where, &no_wait);
        if (result != 0 && errno != EWOULDBLOCK && errno != EINPROGRESS &&
            errno != ETIME)
            return nullptr;
        ++counters.opened;
        it.id = next_connection_++;
        it.is_connecting = true;
        it.state_since = steady_now();
        it.idle_limit = options_.idle_timeout;
        int on = 1;
        it.stream.set_option(IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        it.stream.enable(ACE_NONBLOCK);
        it.watch = loop_.watch(
            it.stream.get_handle(),
            [this, id = it.id](bool r, bool w) { on_ready(id, r, w); });
        it.watch.set_interest(true, true);
        connections_.emplace(it.id, std::move(added));
        return &it;
    }

    void on_ready(std::uint64_t id, bool can_read, bool can_write) {
        const auto found = connections_.find(id);
        if (found == connections_.end())
            return;
        auto& it = *found->second;
        if (it.is_connecting) {
            int error = 0;
            int n = sizeof(error);
            it.stream.get_option(SOL_SOCKET, SO_ERROR, &error, &n);
            if (error != 0) {
                fail(id, stream_failure::not_connected);
                return;
            }
            if (!can_write)
                return;
            it.is_connecting = false;
            it.state_since = steady_now();
        }
        if (can_write)
            flush(it);
        if (can_read)
            read(id);
    }

    void flush(connection& it) {
        if (it.is_connecting)
            return;
        while (!it.out.empty()) {
            const auto next = it.out.front();
            const auto n = it.stream.send(next.data(), next.size());
            // The next read may find a response that arrived before the
            // connection broke, but no longer sees that it did.
            if (n <= 0) {
                it.is_broken = n < 0 && errno != EWOULDBLOCK && errno != EAGAIN;
                break;
            }
            it.out.consume(static_cast<std::size_t>(n));
        }
        charge(it);
        it.watch.set_interest(true, !it.out.empty());
    }

    void read(std::uint64_t id) {
        auto& it = *connections_.at(id);
        const auto n = it.stream.recv(scratch_.data(), read_bytes);
        if (n < 0 && (errno == EWOULDBLOCK || errno == EAGAIN))
            return;
        if (n < 0) {
            fail(id, stream_failure::cut_off);
            return;
        }
        if (it.call == 0) {
            // The connection is idle: no call expects bytes or the end.
            if (n > 0)
                ++counters.unmatched_responses;
            fail(id, stream_failure::cut_off);
            return;
        }
        if (n == 0) {
            const bool is_complete =
                !it.is_broken && it.reader.read_end() == http1_state::complete;
            if (is_complete && take_response(it) == response_kind::matching)
                finish(it, false);
            else
                fail(id, stream_failure::cut_off);
            return;
        }
        it.in.append(scratch_.data(), static_cast<std::size_t>(n));
        set_buffered(it, it.buffered_bytes + static_cast<std::size_t>(n));
        read_responses(it);
        while (total_buffered_bytes_ > options_.max_buffered_bytes)
            drop_largest_response(0);
        if (options_.memory != nullptr && options_.memory->is_full())
            drop_largest_response(min_dropped_bytes);
    }

    /// Sets the number of bytes buffered for a connection.
    void set_buffered(connection& it, std::size_t bytes) {
        total_buffered_bytes_ += bytes;
        total_buffered_bytes_ -= it.buffered_bytes;
        it.buffered_bytes = bytes;
        charge(it);
    }

    void charge(connection& it) {
        if (options_.memory == nullptr)
            return;
        options_.memory->update(memory_kind::target_requests,
                                it.charged_request, it.out.held());
        options_.memory->update(memory_kind::target_responses,
                                it.charged_response,
                                it.buffered_bytes + it.reader.held_bytes() -
                                    it.reader.body_bytes());
    }

    void uncharge(connection& it) {
        if (options_.memory == nullptr)
            return;
        options_.memory->update(memory_kind::target_requests,
                                it.charged_request, 0);
        options_.memory->update(memory_kind::target_responses,
                                it.charged_response, 0);
    }

    /// Fails the call whose incomplete response is the largest, if that holds
    /// more than min_bytes.
    void drop_largest_response(std::size_t min_bytes) {
        const auto largest = std::max_element(
            connections_.begin(), connections_.end(),
            [](const auto& a, const auto& b) {
                return a.second->buffered_bytes < b.second->buffered_bytes;
            });
        if (largest == connections_.end() ||
            largest->second->buffered_bytes <= min_bytes)
            return;
        ++counters.dropped_responses;
        fail(largest->first, stream_failure::malformed);
    }

    void read_responses(connection& it) {
        while (!it.in.empty()) {
            const auto state = it.reader.read(it.in);
            if (state == http1_state::empty || state == http1_state::partial)
                return;
            if (state != http1_state::complete) {
                fail(it.id, stream_failure::malformed);
                return;
            }
            const bool is_kept_alive = it.reader.is_keep_alive();
            const auto kind = take_response(it);
            if (kind == response_kind::matching) {
                finish(it, is_kept_alive);
                return;
            }
            const auto unexpected = it.skipped_responses + it.interim_responses;
            if (kind == response_kind::unidentified ||
                unexpected > max_unexpected_responses) {
                fail(it.id, stream_failure::malformed);
                return;
            }
            if (!is_kept_alive) {
                fail(it.id, stream_failure::cut_off);
                return;
            }
            it.reader.start(response_limits(), it.is_head);
            set_buffered(it, it.in.size());
        }
    }

    enum class response_kind : std::uint8_t {
        matching,
        /// An interim response, or the response to another request.
        skipped,
        /// Without the echo header on a reused connection: may be the late
        /// response to another request.
        unidentified
    };

    /// Moves the response from the reader to response_ and classifies it.
    response_kind take_response(connection& it) {
        response_ = it.reader.take_response();
        if (!is_final_status(response_.status)) {
            ++it.interim_responses;
            return response_kind::skipped;
        }
        const auto echo = find_header(response_.headers, it.echo_header);
        if (it.echo_header.empty() || echo == it.echo_value)
            return response_kind::matching;
        if (echo.empty() && !it.was_used)
            return response_kind::matching;
        ++counters.unmatched_responses;
        ++it.skipped_responses;
        return echo.empty() ? response_kind::unidentified
                            : response_kind::skipped;
    }

    void finish(connection& it, bool is_kept_alive) {
        ++counters.responses;
        stream_result result{stream_failure::none, it.was_used, it.id,
                             it.skipped_responses, std::move(response_)};
        calls_.erase(it.call);
        it.call = 0;
        set_buffered(it, 0);
        const auto on_end = std::move(it.on_end);
        const auto server_timeout = keep_alive_timeout(result.response.headers);
        // The connection cannot be reused when bytes follow the response, when
        // part of the request is unsent, or when the server does not name the
        // requests of its responses.
        const bool is_named =
            it.echo_header.empty() ||
            !find_header(result.response.headers, it.echo_header).empty();
        if (is_kept_alive && is_named && it.in.empty() && it.out.empty()) {
            it.was_used = true;
            it.state_since = steady_now();
            it.idle_limit = options_.idle_timeout;
            if (server_timeout > duration::zero())
                it.idle_limit = std::min(
                    it.idle_limit, std::chrono::duration_cast<duration>(
                                       server_timeout * keep_alive_fraction));
            idle_.push_back(it.id);
        } else {
            close(it.id);
        }
        on_end(std::move(result));
    }

    void fail(std::uint64_t id, stream_failure failure) {
        // The callback of another failed call may have ended this one.
        const auto found = connections_.find(id);
        if (found == connections_.end())
            return;
        auto& it = *found->second;
        const auto on_end = std::move(it.on_end);
        stream_result result{
            failure, it.was_used, id, it.skipped_responses, {}};
        const bool had_call = it.call != 0;
        calls_.erase(it.call);
        if (!had_call)
            std::erase(idle_, id);
        close(id);
        if (had_call)
            on_end(std::move(result));
    }

    void close(std::uint64_t id) {
        const auto found = connections_.find(id);
        const auto it = std::move(found->second);
        connections_.erase(found);
        total_buffered_bytes_ -= it->buffered_bytes;
        uncharge(*it);
        it->watch.reset();
        it->stream.close();
    }

    /// Fails connection attempts that exceed the connect timeout and closes
    /// connections that were idle for too long, every sweep_interval.
    void sweep() {
        const auto now = steady_now();
        std::vector<std::uint64_t> timed_out;
        for (const auto& [id, it] : connections_)
            if (it->is_connecting &&
                now - it->state_since > options_.connect_timeout)
                timed_out.push_back(id);
        for (const auto id : timed_out)
            fail(id, stream_failure::not_connected);
        std::vector<std::uint64_t> expired;
        for (const auto id : idle_)
            if (now - connections_.at(id)->state_since >=
                connections_.at(id)->idle_limit)
                expired.push_back(id);
        for (const auto id : expired) {
            std::erase(idle_, id);
            close(id);
        }
        std::erase_if(sent_values_,
                      [now](const auto& it) { return it.second.until <= now; });
        sweep_timer_ = loop_.after(sweep_interval, [this] { sweep(); });
    }

    reactor& loop_;
    stream_client_options options_;
    reactor::timer_id sweep_timer_{};
    std::uint64_t next_connection_{1};
    call_id next_call_{1};
    std::unordered_map<std::uint64_t, std::unique_ptr<connection>> connections_;
    std::unordered_map<call_id, std::uint64_t> calls_;
    /// Idle connections; the one used last is at the back.
    std::vector<std::uint64_t> idle_;
    /// By the digest of an echo value, those that may be sent again. Values
    /// with the same digest only cost a connection.
    std::unordered_map<std::uint64_t, sent_value> sent_values_;
    std::string scratch_ = std::string(read_bytes, '\0');
    std::size_t total_buffered_bytes_{};
    http_response response_;
};

stream_client::stream_client(reactor& loop, stream_client_options options)
    : impl_(std::make_unique<impl>(loop, std::move(options))) {}

stream_client::~stream_client() = default;

stream_client::call_id stream_client::start(stream_call call, callback on_end) {
    return impl_->start(std::move(call), std::move(on_end));
}

void stream_client::cancel(call_id id) {
    impl_->cancel(id);
}

void stream_client::close_idle() {
    impl_->close_idle();
}

std::size_t stream_client::open_connections() const {
    return impl_->open_connections();
}

const stream_client_counters& stream_client::counters() const {
    return impl_->counters;
}

} // namespace redwingwind::io
