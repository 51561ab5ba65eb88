#include <redwingwind/io/http.hpp>
#include <redwingwind/io/stream_server.hpp>

#include <unordered_map>
#include <utility>

namespace redwingwind::io {
namespace {

stream_limits limits_of(const http_server_options& options) {
    stream_limits limits;
    limits.message = {options.max_header_bytes, options.max_body_bytes};
    limits.idle_timeout = options.idle_timeout;
    limits.max_connections = options.max_connections;
    return limits;
}

} // namespace

class http_server::impl {
  public:
    impl(reactor& loop, const http_server_options& options, handler on_request)
        : on_request_(std::move(on_request)),
          server_(loop, {options.ip, options.port}, limits_of(options),
                  {[this](stream_server::incoming_request a) {
                       take(std::move(a));
                   },
                   [this](stream_server::exchange_id id) { left(id); }}) {}

    stream_server& server() { return server_; }
    const stream_server& server() const { return server_; }

  private:
    void take(stream_server::incoming_request arrival) {
        const auto id = arrival.exchange;
        auto on_disconnect = std::make_shared<std::function<void()>>();
        waiting_[id] = on_disconnect;
        on_request_({std::move(arrival.request),
                     [this, id](const http_response& response) {
                         waiting_.erase(id);
                         server_.respond(id, response);
                     },
                     std::move(on_disconnect)});
    }

    void left(stream_server::exchange_id id) {
        const auto it = waiting_.find(id);
        if (it == waiting_.end())
            return;
        const auto on_disconnect = std::move(it->second);
        waiting_.erase(it);
        if (*on_disconnect)
            (*on_disconnect)();
    }

    handler on_request_;
    /// What to call when the caller of an exchange leaves.
    std::unordered_map<stream_server::exchange_id,
                       std::shared_ptr<std::function<void()>>>
        waiting_;
    stream_server server_;
};

http_server::http_server(reactor& loop, const http_server_options& options,
                         handler on_request)
    : impl_(std::make_unique<impl>(loop, options, std::move(on_request))) {}

http_server::~http_server() = default;

std::uint16_t http_server::port() const {
    return impl_->server().port();
}

http_server_counters http_server::counters() const {
    const auto& it = impl_->server().counters();
    return {it.requests, it.oversized, it.disconnected};
}

void http_server::stop_accepting() {
    impl_->server().stop_accepting();
}

} // namespace redwingwind::io
