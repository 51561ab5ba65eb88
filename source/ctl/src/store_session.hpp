#pragma once

#include <redwingwind/io/http.hpp>
#include <redwingwind/io/reactor.hpp>
#include <redwingwind/platform_adapter/object_store.hpp>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace redwingwind::ctl {

/// The store and one node, one call at a time.
class store_session {
  public:
    store_session(const std::string& store_url, std::string node_url);

    /// For tests: any store, driven by run_once.
    store_session(platform_adapter::object_store store,
                  std::function<void()> run_once);

    absl::StatusOr<platform_adapter::stored_object> get(const std::string& key);
    absl::StatusOr<std::uint64_t> put(const std::string& key,
                                      const std::string& value,
                                      std::uint64_t over_version);
    absl::StatusOr<platform_adapter::listing> list(const std::string& prefix);

    /// The operator's configuration, as text. Only with a session on a URL.
    absl::StatusOr<std::string> get_operator_configuration();

    /// Errors: store_unavailable when the node does not answer, bad_input
    /// with its words when it refuses.
    absl::StatusOr<nlohmann::json> ask_node(const std::string& method,
                                            const std::string& path);

  private:
    template <class Value, class Start>
    absl::StatusOr<Value> wait_for(Start start);

    std::unique_ptr<io::reactor> loop_;
    std::unique_ptr<io::http_client> client_;
    /// Nothing in a session on a store of a test.
    std::optional<platform_adapter::object_client> objects_;
    platform_adapter::object_store store_;
    std::function<void()> run_once_;
    std::string node_url_;
};

} // namespace redwingwind::ctl
