// A stand-in for the platform's store: objects by kind and name with
// revisions, conditions, pages and watches, in memory, with faults that
// /control switches on. /control also takes {"snapshot":true}, and
// {"restore":true}, which goes back to the snapshot and raises the era.

#include "main_support.hpp"

#include <absl/flags/flag.h>
#include <absl/strings/numbers.h>

#include <algorithm>
#include <cstdlib>
#include <exception>
#include <map>
#include <optional>
#include <vector>

ABSL_FLAG(std::int64_t, port, 0, "Port; 0 takes any and prints it");

namespace redwingwind::stand_in {
namespace {

using nlohmann::json;
using exchange_t = io::http_server::exchange;

constexpr std::size_t most_object_bytes = 1U << 20U;
constexpr std::size_t objects_per_page = 500;
constexpr std::string_view root = "/objects/";

struct object_path {
    std::string kind;
    /// Empty for all of the kind.
    std::string name;
    bool is_status{};
};

std::optional<object_path> path_of(const std::string& target) {
    const auto path = io::path_of(target);
    if (!path.starts_with(root))
        return std::nullopt;
    object_path it;
    const auto rest = path.substr(root.size());
    const auto slash = rest.find('/');
    it.kind = rest.substr(0, slash);
    if (slash == std::string::npos)
        return it;
    it.name = rest.substr(slash + 1);
    constexpr std::string_view status = "/status";
    if (it.name.ends_with(status)) {
        it.is_status = true;
        it.name.resize(it.name.size() - status.size());
    }
    return it;
}

struct change {
    std::uint64_t revision{};
    std::string kind;
    json object;
    bool is_deleted{};
};

struct faults {
    std::int64_t delay_ms{};
    /// Answers nothing and applies nothing.
    bool outage{};
    /// Applies writes, but their answers are lost.
    bool lose_answers{};
    /// Answers 503 and applies nothing.
    bool refuse{};
};

/// A copy of the store's content, which a restore goes back to.
struct snapshot {
    std::uint64_t revision{1};
    std::map<std::string, std::map<std::string, json>> objects;
    std::vector<change> history;
};

struct watcher {
    std::string kind;
    std::uint64_t since{};
    io::http_server::responder respond;
};

std::uint64_t number_of(const std::string& target, const std::string& name) {
    std::uint64_t n = 0;
    if (!absl::SimpleAtoi(io::query_parameter(target, name), &n))
        return 0;
    return n;
}

class platform {
  public:
    explicit platform(io::reactor& loop) : loop_(loop) {}

    void handle(exchange_t exchange) {
        exchange.respond = [this, respond = std::move(exchange.respond)](
                               http_response response) {
            if (era_ != 0)
                response.headers.push_back({"Store-Era", std::to_string(era_)});
            respond(std::move(response));
        };
        const auto path = io::path_of(exchange.request.target);
        if (path == "/control") {
            control(exchange);
            return;
        }
        if (path == "/counters") {
            exchange.respond(io::json_response(200, counters_.dump()));
            return;
        }
        const auto delay = std::chrono::milliseconds(faults_.delay_ms);
        if (faults_.delay_ms == 0) {
            serve(exchange);
            return;
        }
        auto later = std::make_shared<exchange_t>(std::move(exchange));
        loop_.after(delay, [this, later] { serve(*later); });
    }

  private:
    void count(const char* what) {
        counters_[what] = counters_.value(what, 0) + 1;
    }

    void control(const exchange_t& exchange) {
        const auto told = body_of(exchange.request);
        faults_.delay_ms = told.value("delay_ms", faults_.delay_ms);
        faults_.outage = told.value("outage", faults_.outage);
        faults_.lose_answers = told.value("lose_answers", faults_.lose_answers);
        faults_.refuse = told.value("refuse", faults_.refuse);
        if (told.value("forget", false)) {
            forgotten_ = revision_;
            history_.clear();
        }
        era_ = told.value("era", era_);
        if (told.value("snapshot", false))
            snapshot_ = {revision_, objects_, history_};
        if (told.value("restore", false))
            restore(told.value("keep_watches", false));
        exchange.respond(io::json_response(200, "{}"));
    }

    /// Goes back to the snapshot: later revisions are gone and are issued
    /// again, and the era rises. Open watches from unknown revisions end, or
    /// stay open and get their events in the new era.
    void restore(bool keeps_watches) {
        revision_ = snapshot_.revision;
        objects_ = snapshot_.objects;
        history_ = snapshot_.history;
        forgotten_ = std::min(forgotten_, revision_);
        ++era_;
        count("restores");
        for (auto it = watchers_.begin(); it != watchers_.end();) {
            if (keeps_watches || it->second.since <= revision_) {
                ++it;
                continue;
            }
            const auto waiting = std::move(it->second);
            it = watchers_.erase(it);
            count("watches_gone");
            waiting.respond({410, {}, ""});
        }
    }

    void serve(const exchange_t& exchange) {
        if (faults_.outage)
            return; // The caller's timeout ends it.
        if (faults_.refuse) {
            exchange.respond({503, {}, ""});
            return;
        }
        const auto& request = exchange.request;
        const auto where = path_of(request.target);
        if (!where) {
            exchange.respond({404, {}, "no such path\n"});
            return;
        }
        if (request.method != "GET") {
            count("writes");
            const auto answer = write(request, *where);
            if (!faults_.lose_answers)
                exchange.respond(answer);
        } else if (!where->name.empty()) {
            count("reads");
            exchange.respond(read(*where));
        } else if (!io::query_parameter(request.target, "watch").empty()) {
            count("watches");
            watch(exchange, where->kind);
        } else {
            count("reads");
            exchange.respond(list(request, where->kind));
        }
    }

    http_response read(const object_path& where) const {
        const auto kind = objects_.find(where.kind);
        if (kind == objects_.end() || !kind->second.contains(where.name))
            return {404, {}, ""};
        return io::json_response(200, kind->second.at(where.name).dump());
    }

    http_response list(const http_request& request,
                       const std::string& kind) const {
        const auto after = io::query_parameter(request.target, "after");
        auto items = json::array();
        bool has_more = false;
        if (const auto of = objects_.find(kind); of != objects_.end())
            for (auto it = of->second.upper_bound(after);
                 it != of->second.end(); ++it) {
                has_more = items.size() == objects_per_page;
                if (has_more)
                    break;
                items.push_back(it->second);
            }
        const json answer{
            {"items", items}, {"has_more", has_more}, {"at", revision_}};
        return io::json_response(200, answer.dump());
    }

    http_response write(const http_request& request, const object_path& where) {
        if (request.body.size() > most_object_bytes)
            return {413, {}, ""};
        const auto told = body_of(request);
        const auto about = told.value("metadata", json::object());
        if (request.method == "POST")
            return create(where.kind, told, about.value("name", ""));
        auto& of = objects_[where.kind];
        const auto found = of.find(where.name);
        if (found == of.end())
            return {404, {}, ""};
        const auto over = request.method == "DELETE"
                              ? number_of(request.target, "revision")
                              : about.value("revision", std::uint64_t{0});
        if (over != 0 && found->second["metadata"]["revision"] != over) {
            count("conflicts");
            return io::json_response(409, found->second.dump());
        }
        if (request.method == "DELETE")
            return remove(where);
        auto changed = found->second;
        const char* field = where.is_status ? "status" : "spec";
        changed[field] = told.value(field, json::object());
        if (about.contains("finalizers"))
            changed["metadata"]["finalizers"] = about["finalizers"];
        if (changed != found->second)
            store(where.kind, where.name, std::move(changed));
        return io::json_response(200, found->second.dump());
    }

    http_response create(const std::string& kind, const json& told,
                         const std::string& name) {
        if (name.empty())
            return {400, {}, "metadata lacks a name\n"};
        if (objects_[kind].contains(name)) {
            count("conflicts");
            return io::json_response(409, objects_[kind][name].dump());
        }
        json made;
        made["metadata"] = {{"name", name},
                            {"created", revision_ + 1},
                            {"finalizers", json::array()},
                            {"deleting", false}};
        made["spec"] = told.value("spec", json::object());
        made["status"] = json::object();
        store(kind, name, std::move(made));
        return io::json_response(201, objects_[kind][name].dump());
    }

    http_response remove(const object_path& where) {
        auto& it = objects_[where.kind][where.name];
        if (!it["metadata"]["finalizers"].empty()) {
            auto marked = it;
            marked["metadata"]["deleting"] = true;
            store(where.kind, where.name, std::move(marked));
            return io::json_response(200, it.dump());
        }
        const auto gone = it;
        objects_[where.kind].erase(where.name);
        note(where.kind, gone, true);
        return io::json_response(200, gone.dump());
    }

    void store(const std::string& kind, const std::string& name, json object) {
        object["metadata"]["revision"] = revision_ + 1;
        objects_[kind][name] = object;
        note(kind, object, false);
    }

    void note(const std::string& kind, const json& object, bool is_deleted) {
        history_.push_back({++revision_, kind, object, is_deleted});
        for (auto it = watchers_.begin(); it != watchers_.end();) {
            if (it->second.kind != kind) {
                ++it;
                continue;
            }
            const auto waiting = std::move(it->second);
            it = watchers_.erase(it);
            waiting.respond(events(waiting.kind, waiting.since));
        }
    }

    void watch(const exchange_t& exchange, const std::string& kind) {
        const auto& target = exchange.request.target;
        const auto since = number_of(target, "watch");
        if (since < forgotten_ || since > revision_) {
            count("watches_gone");
            exchange.respond({410, {}, ""});
            return;
        }
        const auto is_later = [&](const change& it) {
            return it.kind == kind && it.revision > since;
        };
        if (std::any_of(history_.begin(), history_.end(), is_later)) {
            exchange.respond(events(kind, since));
            return;
        }
        const auto id = next_watcher_++;
        watchers_[id] = {kind, since, exchange.respond};
        const auto wait =
            std::chrono::milliseconds(number_of(target, "wait_ms"));
        loop_.after(wait, [this, id] { end_watch(id); });
    }

    void end_watch(std::uint64_t id) {
        const auto found = watchers_.find(id);
        if (found == watchers_.end())
            return;
        const auto waiting = std::move(found->second);
        watchers_.erase(found);
        if (!faults_.outage)
            waiting.respond(events(waiting.kind, waiting.since));
    }

    http_response events(const std::string& kind, std::uint64_t since) const {
        auto events = json::array();
        for (const auto& it : history_)
            if (it.kind == kind && it.revision > since)
                events.push_back(
                    {{"object", it.object}, {"deleted", it.is_deleted}});
        const json answer{{"events", events}, {"at", revision_}};
        return io::json_response(200, answer.dump());
    }

    io::reactor& loop_;
    faults faults_;
    json counters_ = json::object();
    std::uint64_t revision_{1};
    /// Watches from before this are told that the history is gone.
    std::uint64_t forgotten_{};
    std::map<std::string, std::map<std::string, json>> objects_;
    std::vector<change> history_;
    /// Sent with all responses as Store-Era; 0 sends none, as older stores.
    std::uint64_t era_{1};
    snapshot snapshot_;
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
        options.max_body_bytes = 2U << 20U;
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
