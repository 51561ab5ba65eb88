#include "store_session.hpp"

#include <redwingwind/common/error.hpp>

#include <optional>
#include <utility>

namespace redwingwind::ctl {
namespace {

constexpr auto turn = std::chrono::milliseconds(100);
constexpr duration store_timeout = std::chrono::seconds(2);
constexpr long idle_connections = 2;

} // namespace

store_session::store_session(const std::string& store_url, std::string node_url)
    : loop_(std::make_unique<io::reactor>()),
      client_(std::make_unique<io::http_client>(*loop_, idle_connections)),
      objects_(
          std::in_place, *client_,
          platform_adapter::object_client::options{store_url, store_timeout}),
      store_(platform_adapter::connect_store(*objects_)), run_once_([] {}),
      node_url_(std::move(node_url)) {}

store_session::store_session(platform_adapter::object_store store,
                             std::function<void()> run_once)
    : store_(std::move(store)), run_once_(std::move(run_once)) {}

template <class Value, class Start>
absl::StatusOr<Value> store_session::wait_for(Start start) {
    auto result = std::make_shared<std::optional<absl::StatusOr<Value>>>();
    start(
        [result](absl::StatusOr<Value> value) { *result = std::move(value); });
    while (!*result) {
        if (loop_)
            loop_->run_until([&] { return result->has_value(); }, turn);
        else
            run_once_();
    }
    return **result;
}

absl::StatusOr<platform_adapter::stored_object>
store_session::get(const std::string& key) {
    return wait_for<platform_adapter::stored_object>(
        [&](auto done) { store_.get(key, done); });
}

absl::StatusOr<std::string> store_session::get_operator_configuration() {
    if (!objects_)
        return make_error(error_code::store_unavailable, "no store to ask");
    const auto read = wait_for<platform_adapter::object>([&](auto done) {
        objects_->get(platform_adapter::operator_configuration(),
                      platform_adapter::freshness::latest, done);
    });
    if (!read.ok())
        return read.status();
    return read->content;
}

absl::StatusOr<std::uint64_t> store_session::put(const std::string& key,
                                                 const std::string& value,
                                                 std::uint64_t over_version) {
    return wait_for<std::uint64_t>(
        [&](auto done) { store_.put(key, value, over_version, done); });
}

absl::StatusOr<platform_adapter::listing>
store_session::list(const std::string& prefix) {
    return wait_for<platform_adapter::listing>(
        [&](auto done) { store_.list(prefix, done); });
}

absl::StatusOr<nlohmann::json>
store_session::ask_node(const std::string& method, const std::string& path) {
    io::http_call call;
    call.method = method;
    call.url = node_url_ + path;
    return wait_for<nlohmann::json>([&](auto done) {
        client_->start(
            call, [done, url = call.url](const io::http_result& result) {
                if (result.failure != io::http_failure::none) {
                    done(make_error(error_code::unreachable,
                                    "no node answers at " + url));
                    return;
                }
                auto json =
                    nlohmann::json::parse(result.response.body, nullptr, false);
                if (result.response.status != 200 || json.is_discarded())
                    done(make_error(error_code::bad_input,
                                    "the node says: " + result.response.body));
                else
                    done(json);
            });
    });
}

} // namespace redwingwind::ctl
