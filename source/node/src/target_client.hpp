#pragma once

#include <redwingwind/coordination/member.hpp>
#include <redwingwind/engine/target_result.hpp>
#include <redwingwind/io/stream_client.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace redwingwind::node {

struct target_call {
    std::string method;
    std::string path;
    /// Without Host and Content-Length.
    std::vector<http_header> headers;
    std::string body;
    /// Returned by the target in Rww-Request-Id.
    std::string id;
    /// Until the call is given up.
    duration time_left{};
    /// Sent once more when a kept connection ends without a response.
    bool is_idempotent{};
};

/// Sends calls to the target beside this node, at the address that it announced
/// last, and tells what became of them.
class target_client {
  public:
    using callback = std::function<void(engine::target_result)>;

    target_client(io::reactor& loop, std::size_t max_body_bytes);
    ~target_client();
    target_client(const target_client&) = delete;
    target_client& operator=(const target_client&) = delete;

    /// Calls that were started before end at the address that they went to.
    void set_address(const coordination::address& where);
    /// The callback is called from the loop, never from inside start().
    void start(std::uint64_t execution, target_call call, callback on_end);
    /// Ends the call without calling back. Does nothing when it has ended.
    void cancel(std::uint64_t execution);

  private:
    struct running_call {
        std::shared_ptr<io::stream_client> client;
        io::stream_client::call_id id{};
        io::reactor::timer_id timer{};
        callback on_end;
        /// What may be sent once more.
        std::optional<io::stream_call> again;
    };

    io::stream_call stream_call_of(target_call call) const;
    void send(std::uint64_t execution, running_call& it, io::stream_call call);
    void on_result(std::uint64_t execution, io::stream_result result);
    void on_timeout(std::uint64_t execution);
    running_call take(std::uint64_t execution);

    io::reactor& loop_;
    std::size_t max_body_bytes_;
    coordination::address where_;
    std::shared_ptr<io::stream_client> client_;
    std::unordered_map<std::uint64_t, running_call> running_;
};

} // namespace redwingwind::node
