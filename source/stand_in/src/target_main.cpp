// A stand-in for a target: slots, service times, calls to other services,
// shedding, cancellation, deadlines, cold start and drain. It records every
// execution, so that what callers were told can be checked.

#include "main_support.hpp"

#include <redwingwind/common/time.hpp>

#include <absl/flags/flag.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <exception>
#include <fstream>
#include <memory>
#include <random>
#include <unordered_map>

ABSL_FLAG(std::string, config, "", "Experiment's configuration file");
ABSL_FLAG(std::string, service, "", "Which of its services this is");
ABSL_FLAG(std::int64_t, port, 0, "Port; 0 takes any and prints it");
ABSL_FLAG(std::int64_t, node_port, 7302, "The node's local port");
ABSL_FLAG(std::int64_t, seed, 1, "Seed of the service times");

namespace redwingwind::stand_in {
namespace {

constexpr auto heartbeat = std::chrono::seconds(1);
constexpr auto load_lag = std::chrono::seconds(3);
constexpr auto drain_poll = std::chrono::milliseconds(50);

struct child_call {
    std::string service;
    std::string path;
};

struct route {
    std::string path;
    double service_ms{};
    std::vector<child_call> calls;
};

struct plan {
    std::string service;
    std::uint32_t slots{1};
    std::size_t most_queued{100000};
    /// "fixed" or "exponential".
    std::string distribution{"exponential"};
    std::int64_t warm_up_ms{};
    double cold_factor{1};
    std::vector<route> routes;
};

struct record {
    std::string root;
    std::string id;
    std::string path;
    double work_ms{};
    /// completed, failed or stopped.
    std::string end;
};

struct execution {
    std::uint64_t id{};
    io::http_server::exchange exchange;
    const route* way{};
    time_point deadline;
    std::size_t next_child{};
    std::size_t record_index{};
    io::reactor::timer_id timer{};
    io::http_client::call_id child{};
    time_point work_from;
    bool is_running{};
};

plan read_plan(const std::string& file, const std::string& service) {
    std::ifstream in(file);
    const auto json = nlohmann::json::parse(in, nullptr, true, true);
    for (const auto& it : json.at("services")) {
        if (it.at("name") != service)
            continue;
        plan p;
        p.service = service;
        p.slots = it.at("slots").get<std::uint32_t>();
        p.most_queued = it.value("most_queued", p.most_queued);
        p.distribution = it.value("distribution", p.distribution);
        p.warm_up_ms = it.value("warm_up_ms", p.warm_up_ms);
        p.cold_factor = it.value("cold_factor", p.cold_factor);
        for (const auto& r : it.at("routes")) {
            route way{r.at("path").get<std::string>(),
                      r.at("service_ms").get<double>(),
                      {}};
            for (const auto& c : r.value("calls", nlohmann::json::array()))
                way.calls.push_back({c.at("service").get<std::string>(),
                                     c.at("path").get<std::string>()});
            p.routes.push_back(way);
        }
        return p;
    }
    throw std::runtime_error("no service " + service + " in " + file);
}

class target {
  public:
    target(io::reactor& loop, plan p, std::uint64_t seed)
        : loop_(loop), plan_(std::move(p)), client_(loop, 256), random_(seed),
          started_(steady_now()),
          instance_(std::to_string(wall_microseconds())) {}

    void start(std::uint16_t port) {
        address_ = "127.0.0.1:" + std::to_string(port);
        announce();
        publish_load();
    }

    void handle(io::http_server::exchange exchange) {
        const auto path = io::path_of(exchange.request.target);
        if (path == "/control")
            control(exchange);
        else if (path == "/records")
            exchange.respond(io::json_response(200, records().dump()));
        else if (path == "/load")
            exchange.respond(io::json_response(200, lagging_load_.dump()));
        else
            arrive(std::move(exchange));
    }

    /// Tells the node, finishes what runs, then stops the loop.
    void drain() {
        if (is_draining_)
            return;
        is_draining_ = true;
        to_node("/drain", nlohmann::json::object());
        drain_from_ = steady_now();
        stop_when_idle();
    }

  private:
    void control(const io::http_server::exchange& exchange) {
        const auto json = body_of(exchange.request);
        slow_factor_ = json.value("slow_factor", slow_factor_);
        cut_answers_ = json.value("cut_answers", cut_answers_);
        load_override_ = json.value("load", load_override_);
        exchange.respond(io::json_response(200, "{}"));
    }

    nlohmann::json records() const {
        auto list = nlohmann::json::array();
        for (const auto& it : records_)
            list.push_back(nlohmann::json::array(
                {it.root, it.id, it.path, it.work_ms, it.end}));
        return {{"service", plan_.service}, {"records", list}};
    }

    void to_node(const std::string& path, const nlohmann::json& body) {
        io::http_call call;
        call.method = "POST";
        call.url = node_url() + path;
        call.body = body.dump();
        call.timeout = std::chrono::seconds(1);
        client_.start(call, [](const io::http_result&) {});
    }

    static std::string node_url() {
        return "http://127.0.0.1:" +
               std::to_string(absl::GetFlag(FLAGS_node_port));
    }

    void announce() {
        if (!is_draining_)
            to_node("/announce", {{"service", plan_.service},
                                  {"address", address_},
                                  {"slots", plan_.slots},
                                  {"connections", plan_.slots * 6},
                                  {"instance", instance_},
                                  {"warm_up_ms", plan_.warm_up_ms}});
        loop_.after(heartbeat, [this] { announce(); });
    }

    /// What /load says is as old as load_lag, as with real targets.
    void publish_load() {
        lagging_load_ = next_load_;
        next_load_ = load_override_.is_null()
                         ? nlohmann::json{{"running", running_},
                                          {"queued", queue_.size()}}
                         : load_override_;
        loop_.after(load_lag, [this] { publish_load(); });
    }

    const route* find_route(const std::string& path) const {
        const route* best = nullptr;
        for (const auto& it : plan_.routes)
            if (path.starts_with(it.path) &&
                (best == nullptr || it.path.size() > best->path.size()))
                best = &it;
        return best;
    }

    /// Each response names its request.
    static void name_responses(io::http_server::exchange& exchange) {
        exchange.respond =
            [respond = std::move(exchange.respond),
             id = io::find_header(exchange.request.headers, "Rww-Request-Id")](
                http_response response) {
                response.headers.push_back({"Rww-Request-Id", id});
                respond(std::move(response));
            };
    }

    void arrive(io::http_server::exchange exchange) {
        name_responses(exchange);
        const auto* way = find_route(io::path_of(exchange.request.target));
        if (way == nullptr) {
            exchange.respond({404, {}, "no such route\n"});
            return;
        }
        if (queue_.size() >= plan_.most_queued) {
            exchange.respond(not_run("shedding"));
            return;
        }
        const auto deadline_ms = std::strtoll(
            io::find_header(exchange.request.headers, "Rww-Deadline-Ms")
                .c_str(),
            nullptr, 10);
        const auto id = next_id_++;
        auto it = std::make_unique<execution>();
        it->id = id;
        it->way = way;
        it->deadline = steady_now() +
                       (deadline_ms > 0 ? std::chrono::milliseconds(deadline_ms)
                                        : std::chrono::seconds(60));
        *exchange.on_disconnect = [this, id] { cancel(id); };
        it->exchange = std::move(exchange);
        executions_.emplace(id, std::move(it));
        queue_.push_back(id);
        start_waiting();
    }

    static http_response not_run(const std::string& why) {
        return {503, {{"Rww-Outcome", "not-run"}}, why + "\n"};
    }

    void start_waiting() {
        while (running_ < plan_.slots && !queue_.empty()) {
            const auto id = queue_.front();
            queue_.pop_front();
            auto& it = *executions_.at(id);
            if (it.deadline <= steady_now()) {
                it.exchange.respond(not_run("too late"));
                executions_.erase(id);
                continue;
            }
            start(it);
        }
    }

    double draw(double mean) {
        if (plan_.distribution == "fixed" || mean <= 0)
            return mean;
        return std::exponential_distribution<double>(1.0 / mean)(random_);
    }

    void start(execution& it) {
        ++running_;
        it.is_running = true;
        const auto& headers = it.exchange.request.headers;
        it.record_index = records_.size();
        records_.push_back({io::find_header(headers, "Rww-Root-Id"),
                            io::find_header(headers, "Rww-Request-Id"),
                            it.way->path, 0, "started"});
        const bool is_cold =
            milliseconds(steady_now() - started_) < plan_.warm_up_ms;
        const double ms = draw(it.way->service_ms) * slow_factor_ *
                          (is_cold ? plan_.cold_factor : 1);
        it.work_from = steady_now();
        it.timer = loop_.after(duration(static_cast<duration::rep>(ms * 1000)),
                               [this, id = it.id] { on_worked(id); });
    }

    void add_work(execution& it) {
        records_[it.record_index].work_ms =
            seconds(steady_now() - it.work_from) * 1000;
    }

    void on_worked(std::uint64_t id) {
        auto& it = *executions_.at(id);
        it.timer = 0;
        add_work(it);
        call_next(it);
    }

    void call_next(execution& it) {
        if (it.next_child == it.way->calls.size()) {
            finish(it, "completed", answer(it));
            return;
        }
        const auto& child = it.way->calls[it.next_child++];
        const auto& headers = it.exchange.request.headers;
        const auto left = milliseconds(it.deadline - steady_now());
        if (left < 1) {
            fail(it);
            return;
        }
        io::http_call call;
        call.method = "POST";
        call.url = node_url() + "/" + child.service + child.path;
        call.headers = {
            {"Rww-Context", io::find_header(headers, "Rww-Context")},
            {"Rww-Deadline-Ms", std::to_string(left)}};
        call.body = "{}";
        call.timeout = std::chrono::milliseconds(left + 500);
        call.may_resend = false;
        it.child = client_.start(
            call, [this, id = it.id](const io::http_result& result) {
                on_child(id, result);
            });
    }

    void on_child(std::uint64_t id, const io::http_result& result) {
        auto& it = *executions_.at(id);
        it.child = 0;
        const bool is_good = result.failure == io::http_failure::none &&
                             result.response.status == 200;
        if (is_good)
            call_next(it);
        else
            fail(it);
    }

    void fail(execution& it) {
        finish(it, "failed",
               {503, {{"Rww-Outcome", "unknown"}}, "a call below failed\n"});
    }

    http_response answer(const execution& it) const {
        const auto& headers = it.exchange.request.headers;
        const nlohmann::json body{
            {"service", plan_.service},
            {"id", io::find_header(headers, "Rww-Request-Id")},
            {"root", io::find_header(headers, "Rww-Root-Id")}};
        return io::json_response(200, body.dump());
    }

    void finish(execution& it, const std::string& end, http_response response) {
        records_[it.record_index].end = end;
        if (cut_answers_) {
            // Claims more bytes than it sends.
            response.headers.push_back({"Content-Length", "100000"});
        }
        it.exchange.respond(std::move(response));
        executions_.erase(it.id);
        --running_;
        start_waiting();
    }

    void cancel(std::uint64_t id) {
        const auto found = executions_.find(id);
        if (found == executions_.end())
            return;
        auto& it = *found->second;
        if (!it.is_running) {
            std::erase(queue_, id);
            executions_.erase(found);
            return;
        }
        if (it.timer != 0) {
            loop_.cancel(it.timer);
            add_work(it);
        }
        if (it.child != 0)
            client_.cancel(it.child);
        records_[it.record_index].end = "stopped";
        executions_.erase(found);
        --running_;
        start_waiting();
    }

    void stop_when_idle() {
        // Work may still come while the other nodes hear of the drain.
        constexpr auto least = std::chrono::seconds(3);
        if (executions_.empty() && steady_now() - drain_from_ > least) {
            loop_.stop();
            return;
        }
        loop_.after(drain_poll, [this] { stop_when_idle(); });
    }

    io::reactor& loop_;
    plan plan_;
    io::http_client client_;
    std::mt19937_64 random_;
    time_point started_;
    std::string instance_;
    std::string address_;
    double slow_factor_{1};
    bool cut_answers_{};
    bool is_draining_{};
    time_point drain_from_;
    nlohmann::json load_override_;
    nlohmann::json lagging_load_ = nlohmann::json::object();
    nlohmann::json next_load_ = nlohmann::json::object();
    std::uint64_t next_id_{1};
    std::uint32_t running_{};
    std::deque<std::uint64_t> queue_;
    std::unordered_map<std::uint64_t, std::unique_ptr<execution>> executions_;
    std::vector<record> records_;
};

} // namespace
} // namespace redwingwind::stand_in

int main(int argc, char** argv) {
    using namespace redwingwind;
    if (!stand_in::read_flags(argc, argv))
        return 2;
    try {
        io::reactor loop;
        stand_in::target target(
            loop,
            stand_in::read_plan(absl::GetFlag(FLAGS_config),
                                absl::GetFlag(FLAGS_service)),
            static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seed)));
        io::http_server_options options;
        options.port = static_cast<std::uint16_t>(absl::GetFlag(FLAGS_port));
        options.max_connections = 8000;
        io::http_server server(loop, options, [&](auto exchange) {
            target.handle(std::move(exchange));
        });
        std::cout << server.port() << std::endl;
        target.start(server.port());
        loop.on_stop_signal([&] { target.drain(); });
        loop.run();
    } catch (const std::exception& e) {
        std::cerr << argv[0] << ": " << e.what() << "\n";
        return 1;
    }
    return EXIT_SUCCESS;
}
