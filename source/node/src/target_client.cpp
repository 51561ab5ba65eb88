#include "target_client.hpp"

#include <redwingwind/io/http.hpp>

#include <utility>

namespace redwingwind::node {

using engine::target_end;
using engine::target_result;
using io::stream_failure;

namespace {

constexpr std::string_view id_header = "Rww-Request-Id";
/// A call that its caller sent in time may arrive this much later.
constexpr duration most_transit_time = std::chrono::seconds(10);
/// Connections idle for longer are not used for calls that must run once: the
/// target may be closing them.
constexpr duration most_idle_once = std::chrono::seconds(1);
constexpr duration most_idle_repeatable = std::chrono::seconds(8);

target_end end_of(const io::stream_result& result) {
    if (result.failure == stream_failure::not_connected)
        return target_end::not_connected;
    if (result.failure != stream_failure::none)
        return target_end::cut_off;
    const auto told = io::find_header(result.response.headers, "Rww-Outcome");
    if (told == "not-run")
        return target_end::shed;
    return told == "unknown" ? target_end::unknown : target_end::answered;
}

target_result result_of(io::stream_result result) {
    return {end_of(result), static_cast<std::uint16_t>(result.response.status),
            io::find_header(result.response.headers, "Content-Type"),
            std::move(result.response.body)};
}

} // namespace

target_client::target_client(io::reactor& loop, std::size_t max_body_bytes)
    : loop_(loop), max_body_bytes_(max_body_bytes) {}

target_client::~target_client() {
    for (const auto& [execution, it] : running_)
        loop_.cancel(it.timer);
}

void target_client::set_address(const coordination::address& where) {
    if (client_ && where == where_)
        return;
    where_ = where;
    io::stream_client_options options;
    options.ip = where.ip;
    options.port = where.port;
    options.max_response_body_bytes = max_body_bytes_;
    client_ = std::make_shared<io::stream_client>(loop_, options);
}

io::stream_call target_client::stream_call_of(target_call call) const {
    io::stream_call out;
    out.request = {std::move(call.method), std::move(call.path),
                   std::move(call.headers), std::move(call.body)};
    out.request.headers.push_back({"Host", to_string(where_)});
    // The length is written for an empty body as well.
    out.request.headers.push_back({"Content-Length", ""});
    out.echo_header = id_header;
    out.echo_value = call.id;
    out.echo_lifetime = call.time_left + most_transit_time;
    out.may_share_connection = call.is_idempotent;
    out.max_idle = call.is_idempotent ? most_idle_repeatable : most_idle_once;
    return out;
}

void target_client::start(std::uint64_t execution, target_call call,
                          callback on_end) {
    if (!client_) {
        loop_.defer([on_end = std::move(on_end)] {
            on_end({target_end::not_connected, 0, {}, {}});
        });
        return;
    }
    auto& it = running_[execution];
    it.client = client_;
    it.on_end = std::move(on_end);
    it.timer = loop_.after(call.time_left,
                           [this, execution] { on_timeout(execution); });
    const bool is_idempotent = call.is_idempotent;
    auto out = stream_call_of(std::move(call));
    if (is_idempotent)
        it.again = out;
    send(execution, it, std::move(out));
}

void target_client::send(std::uint64_t execution, running_call& it,
                         io::stream_call call) {
    it.id = it.client->start(std::move(call),
                             [this, execution](io::stream_result result) {
                                 on_result(execution, std::move(result));
                             });
}

void target_client::on_result(std::uint64_t execution,
                              io::stream_result result) {
    const auto found = running_.find(execution);
    if (found == running_.end())
        return;
    auto& it = found->second;
    if (result.failure == stream_failure::cut_off && result.was_reused &&
        it.again) {
        auto call = *std::exchange(it.again, std::nullopt);
        call.max_idle = duration::zero();
        send(execution, it, std::move(call));
        return;
    }
    take(execution).on_end(result_of(std::move(result)));
}

void target_client::on_timeout(std::uint64_t execution) {
    auto it = take(execution);
    it.client->cancel(it.id);
    it.on_end({target_end::timed_out, 0, {}, {}});
}

void target_client::cancel(std::uint64_t execution) {
    if (!running_.contains(execution))
        return;
    const auto it = take(execution);
    it.client->cancel(it.id);
}

target_client::running_call target_client::take(std::uint64_t execution) {
    auto it = std::move(running_.extract(execution).mapped());
    loop_.cancel(it.timer);
    // A client that was replaced must not end inside its own callback.
    if (it.client != client_)
        loop_.defer([client = it.client] {});
    return it;
}

} // namespace redwingwind::node
