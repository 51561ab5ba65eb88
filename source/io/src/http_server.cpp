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
                       handle_request(std::move(a));
                   },
                   [this](stream_server::exchange_id id) {
                       handle_disconnect(id);
                   }}) {}

    stream_server& server() { return server_; }
    const stream_server& server() const { return server_; }

  private:
    void handle_request(stream_server::incoming_request incoming) {
        const auto id = incoming.exchange;
        auto on_disconnect = std::make_shared<std::function<void()>>();
        pending_[id] = on_disconnect;
        on_request_({std::move(incoming.request),
                     [this, id](const http_response& response) {
                         pending_.erase(id);
                         server_.respond(id, response);
                     },
                     std::move(on_disconnect)});
    }

    void handle_disconnect(stream_server::exchange_id id) {
        const auto it = pending_.find(id);
        if (it == pending_.end())
            return;
        const auto on_disconnect = std::move(it->second);
        pending_.erase(it);
        if (*on_disconnect)
            (*on_disconnect)();
    }

    handler on_request_;
    /// Called when the client of an exchange disconnects before the response.
    std::unordered_map<stream_server::exchange_id,
                       std::shared_ptr<std::function<void()>>>
        pending_;
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
