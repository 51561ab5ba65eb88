#pragma once

#include "processes.hpp"

#include <redwingwind/io/stream_server.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace redwingwind::integration {

/// The key of all nodes.
constexpr auto keys = "1:000102030405060708090a0b0c0d0e0f";

/// What a target of the test saw of a request.
struct seen_request {
    http_request request;
    std::string caller;
    std::string instance;
    std::int64_t time_left_ms{};
};

/// A target that this test plays itself, speaking the platform's words.
class test_target {
  public:
    enum class manner {
        answers,
        /// Takes requests and answers when release() is called.
        holds,
        /// Says of each request that it was not run.
        full
    };

    /// Runs a request and ends it with a status, at once or later.
    using end_run = std::function<void(int status)>;
    using run_hook = std::function<void(const seen_request&, end_run)>;

    explicit test_target(io::reactor& loop);

    std::uint16_t port() const { return server_->port(); }
    void behave(manner how) { manner_ = how; }
    /// Requests are run by the hook instead.
    void run_by(run_hook run) { run_ = std::move(run); }
    /// Bytes that each response has behind its text.
    void pad(std::size_t bytes) { padding_ = bytes; }
    void release();
    /// Runs of the request with this id.
    std::size_t runs(const std::string& id) const;
    std::size_t runs() const { return seen_.size(); }
    const seen_request& last() const { return seen_.back(); }

  private:
    void on_request(io::stream_server::incoming_request arrival);
    void answer(io::stream_server::exchange_id exchange, const std::string& id,
                int status = 200);

    struct held_request {
        io::stream_server::exchange_id exchange{};
        std::string id;
    };

    manner manner_{manner::answers};
    run_hook run_;
    std::size_t padding_{};
    std::vector<seen_request> seen_;
    std::vector<held_request> held_;
    std::unique_ptr<io::stream_server> server_;
};

/// A node as the platform runs it, with a target beside it.
struct platform_place {
    std::string service;
    std::string domain;
    std::string instance;
    std::uint16_t outbound{};
    std::uint16_t readiness{};
    std::uint16_t announce{};
    std::uint16_t metrics{};
    std::uint16_t peer{};
    std::uint64_t sequence{};
    /// Start of the target's life, in milliseconds since 1970; left out when 0.
    std::uint64_t started_ms{};
    std::unique_ptr<test_target> target;
    /// Where the node sends the target's calls; a test that sets another port
    /// starts the node anew.
    std::uint16_t target_port{};
    std::unique_ptr<process> node;
    std::string settings_file;
    /// Lines of all its lives.
    std::string log_file;
};

/// An owner in the operator's configuration.
struct test_owner {
    std::string name;
    std::string credential;
    double rate_per_s{};
    double burst{};
};

/// What a test sets of the limits of its nodes.
struct node_limits {
    int memory_mb{256};
    int descriptors{1024};
    /// Largest body by the operator's configuration, in bytes; 0 leaves the
    /// product's default.
    std::size_t max_body_bytes{};
    /// Between heartbeats of a target, as the nodes are told.
    int heartbeat_s{30};
};

/// Nodes on the platform's path: a store, and a node and a target for each of
/// the services given.
class platform_deployment {
  public:
    /// A node that is told to stop may take grace_s.
    platform_deployment(http_caller& http, std::vector<std::string> services,
                        int grace_s = 4, node_limits limits = {});
    ~platform_deployment();
    platform_deployment(const platform_deployment&) = delete;
    platform_deployment& operator=(const platform_deployment&) = delete;

    platform_place& at(std::size_t n) { return *places_.at(n); }
    std::size_t size() const { return places_.size(); }
    void start_node(std::size_t n);
    /// Writes the operator's configuration: routes /SERVICE/ for each service,
    /// run once, and /again/SERVICE/, which may repeat. Some routes may lead
    /// elsewhere.
    void configure(std::uint64_t version,
                   const std::map<std::string, std::string>& moved = {});
    /// Owners of the configurations written from now on; without any, calls
    /// need no credential.
    void set_owners(std::vector<test_owner> owners) {
        owners_ = std::move(owners);
    }
    http_response beat(std::size_t n, const std::string& state = "ready");
    /// The target beside the node announces its departure.
    http_response leave(std::size_t n);
    bool is_ready(std::size_t n);
    bool wait_ready();
    /// Waits until each node is ready and knows all targets.
    bool wait_served();
    std::string metrics_of(std::size_t n);
    std::vector<std::string> log_files() const;
    void store_faults(const std::string& faults);
    /// Names of the store's objects of a kind.
    std::set<std::string> stored(const std::string& kind);

    io::http_call make_call(std::size_t n, const std::string& target,
                            const std::string& id) const;
    io::http_result send(std::size_t n, const std::string& target,
                         const std::string& id);

  private:
    bool knows_all(const std::string& metrics) const;

    http_caller& http_;
    process store_;
    std::string store_url_;
    std::vector<std::string> services_;
    int grace_s_;
    std::vector<test_owner> owners_;
    node_limits limits_;
    port_block ports_;
    std::vector<std::unique_ptr<platform_place>> places_;
};

} // namespace redwingwind::integration
