// A stand-in for the platform's object API: versions, conditional updates,
// lists and watches, in memory, with faults that /control switches on.

#include "main_support.hpp"

#include <absl/flags/flag.h>

#include <cstdlib>
#include <exception>
#include <map>

ABSL_FLAG(std::int64_t, port, 0, "Port; 0 takes any and prints it");

namespace redwingwind::stand_in {
namespace {

constexpr std::size_t most_value_bytes = 1U << 20U;

struct object {
    std::uint64_t version{};
    std::uint64_t revision{};
    std::string value;
};

struct faults {
    std::int64_t delay_ms{};
    /// Answers nothing and applies nothing.
    bool outage{};
    /// Applies writes, but their answers are lost.
    bool lose_answers{};
};

struct counters {
    std::uint64_t reads{};
    std::uint64_t writes{};
    std::uint64_t watches{};
    std::uint64_t conflicts{};
};

struct watcher {
    std::string prefix;
    std::uint64_t since{};
    io::http_server::responder respond;
};

class platform {
  public:
    explicit platform(io::reactor& loop) : loop_(loop) {}

    void handle(io::http_server::exchange exchange) {
        const auto path = io::path_of(exchange.request.target);
        if (path == "/control") {
            control(exchange);
            return;
        }
        if (path == "/counters") {
            exchange.respond(io::json_response(
                200, nlohmann::json{{"reads", counters_.reads},
                                    {"writes", counters_.writes},
                                    {"watches", counters_.watches},
                                    {"conflicts", counters_.conflicts}}
                         .dump()));
            return;
        }
        const auto delay = std::chrono::milliseconds(faults_.delay_ms);
        if (faults_.delay_ms == 0) {
            serve(exchange);
            return;
        }
        auto later =
            std::make_shared<io::http_server::exchange>(std::move(exchange));
        loop_.after(delay, [this, later] { serve(*later); });
    }

  private:
    void control(const io::http_server::exchange& exchange) {
        const auto json = body_of(exchange.request);
        faults_.delay_ms = json.value("delay_ms", faults_.delay_ms);
        faults_.outage = json.value("outage", faults_.outage);
        faults_.lose_answers = json.value("lose_answers", faults_.lose_answers);
        exchange.respond(io::json_response(200, "{}"));
    }

    void serve(const io::http_server::exchange& exchange) {
        if (faults_.outage)
            return; // The caller's timeout ends it.
        const auto& request = exchange.request;
        const auto path = io::path_of(request.target);
        if (path.starts_with("/objects/"))
            serve_object(exchange, path.substr(sizeof("/objects/") - 1));
        else if (path == "/list")
            list(exchange);
        else if (path == "/watch")
            watch(exchange);
        else
            exchange.respond({404, {}, "no such path\n"});
    }

    void serve_object(const io::http_server::exchange& exchange,
                      const std::string& key) {
        if (exchange.request.method == "PUT") {
            put(exchange, key);
            return;
        }
        ++counters_.reads;
        const auto it = objects_.find(key);
        if (it == objects_.end())
            exchange.respond({404, {}, "no such object\n"});
        else
            exchange.respond(
                io::json_response(200, to_json(key, it->second).dump()));
    }

    void put(const io::http_server::exchange& exchange,
             const std::string& key) {
        ++counters_.writes;
        const auto& request = exchange.request;
        if (request.body.size() > most_value_bytes) {
            exchange.respond({413, {}, "larger than a megabyte\n"});
            return;
        }
        const auto over = std::strtoull(
            io::find_header(request.headers, "If-Version").c_str(), nullptr,
            10);
        auto& it = objects_[key];
        if (it.version != over) {
            ++counters_.conflicts;
            if (it.version == 0)
                objects_.erase(key);
            exchange.respond({409, {}, "the version has changed\n"});
            return;
        }
        ++it.version;
        it.revision = ++revision_;
        it.value = request.body;
        const auto version = it.version;
        tell_watchers(key);
        if (!faults_.lose_answers)
            exchange.respond(io::json_response(
                200, nlohmann::json{{"version", version}}.dump()));
    }

    void list(const io::http_server::exchange& exchange) {
        ++counters_.reads;
        const auto prefix =
            io::query_parameter(exchange.request.target, "prefix");
        exchange.respond(changes(prefix, 0));
    }

    void watch(const io::http_server::exchange& exchange) {
        ++counters_.watches;
        const auto& target = exchange.request.target;
        const auto prefix = io::query_parameter(target, "prefix");
        const auto since = std::strtoull(
            io::query_parameter(target, "since").c_str(), nullptr, 10);
        const auto wait_ms = std::strtoll(
            io::query_parameter(target, "wait_ms").c_str(), nullptr, 10);
        if (has_changes(prefix, since)) {
            exchange.respond(changes(prefix, since));
            return;
        }
        const auto id = next_watcher_++;
        watchers_[id] = {prefix, since, exchange.respond};
        loop_.after(std::chrono::milliseconds(wait_ms), [this, id] {
            const auto found = watchers_.find(id);
            if (found == watchers_.end())
                return;
            const auto waiting = std::move(found->second);
            watchers_.erase(found);
            if (!faults_.outage)
                waiting.respond(changes(waiting.prefix, waiting.since));
        });
    }

    void tell_watchers(const std::string& key) {
        for (auto it = watchers_.begin(); it != watchers_.end();) {
            if (!key.starts_with(it->second.prefix)) {
                ++it;
                continue;
            }
            const auto waiting = std::move(it->second);
            it = watchers_.erase(it);
            waiting.respond(changes(waiting.prefix, waiting.since));
        }
    }

    bool has_changes(const std::string& prefix, std::uint64_t since) const {
        for (const auto& [key, it] : objects_)
            if (key.starts_with(prefix) && it.revision > since)
                return true;
        return false;
    }

    http_response changes(const std::string& prefix,
                          std::uint64_t since) const {
        auto list = nlohmann::json::array();
        for (const auto& [key, it] : objects_)
            if (key.starts_with(prefix) && it.revision > since)
                list.push_back(to_json(key, it));
        return io::json_response(
            200,
            nlohmann::json{{"revision", revision_}, {"objects", list}}.dump());
    }

    static nlohmann::json to_json(const std::string& key, const object& it) {
        return {{"key", key}, {"version", it.version}, {"value", it.value}};
    }

    io::reactor& loop_;
    faults faults_;
    counters counters_;
    std::uint64_t revision_{};
    std::map<std::string, object> objects_;
    std::uint64_t next_watcher_{1};
    std::map<std::uint64_t, watcher> watchers_;
};

} // namespace
} // namespace redwingwind::stand_in

int main(int argc, char** argv) {
    using namespace redwingwind;
    if (!stand_in::read_flags(argc, argv))
        return 2;
    try {
        io::reactor loop;
        stand_in::platform platform(loop);
        io::http_server_options options;
        options.port = static_cast<std::uint16_t>(absl::GetFlag(FLAGS_port));
        options.most_body_bytes = 2U << 20U;
        io::http_server server(loop, options, [&](auto exchange) {
            platform.handle(std::move(exchange));
        });
        std::cout << server.port() << std::endl;
        loop.on_stop_signal([&] { loop.stop(); });
        loop.run();
    } catch (const std::exception& e) {
        std::cerr << argv[0] << ": " << e.what() << "\n";
        return 1;
    }
    return EXIT_SUCCESS;
}
