#include "processes.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <thread>
#include <utility>

namespace redwingwind::integration {
namespace {

constexpr std::size_t ports_per_place = 4;
constexpr auto keys = "1:000102030405060708090a0b0c0d0e0f";

/// Names a folder in which the programs' logs are kept.
constexpr auto logs_variable = "RWW_TEST_LOGS";

/// Of this process: others run the same tests at the same time.
std::string file_in(const std::filesystem::path& folder,
                    const std::string& name) {
    return (folder / ("rww-" + std::to_string(getpid()) + "-" + name)).string();
}

std::string program_path(const std::string& name) {
    const auto self = std::filesystem::read_symlink("/proc/self/exe");
    return (self.parent_path() / name).string();
}

/// Where a program's lines go that nobody named a file for.
std::string unnamed_output(const std::string& program) {
    if (!keeps_logs())
        return "/dev/null";
    static int started = 0;
    return log_file(std::to_string(++started) + "-" + program + ".log");
}

std::uint16_t read_port(int fd) {
    std::string text;
    char c = 0;
    while (read(fd, &c, 1) == 1 && c != '\n')
        text += c;
    return static_cast<std::uint16_t>(std::atoi(text.c_str()));
}

} // namespace

process::process(const std::string& program, std::vector<std::string> arguments,
                 bool prints_port, const std::string& output) {
    const auto path = program_path(program);
    std::vector<char*> argv{const_cast<char*>(path.c_str())};
    for (auto& it : arguments)
        argv.push_back(it.data());
    argv.push_back(nullptr);
    int ends[2] = {-1, -1};
    if (pipe2(ends, O_CLOEXEC) != 0)
        throw std::runtime_error("no pipe");
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const auto log = output.empty() ? unnamed_output(program) : output;
    constexpr int readable = 0644;
    if (prints_port)
        posix_spawn_file_actions_adddup2(&actions, ends[1], 1);
    else
        posix_spawn_file_actions_addopen(
            &actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, readable);
    char* no_environment[] = {nullptr};
    const int failed = posix_spawn(&id_, path.c_str(), &actions, nullptr,
                                   argv.data(), no_environment);
    posix_spawn_file_actions_destroy(&actions);
    close(ends[1]);
    if (failed == 0 && prints_port)
        port_ = read_port(ends[0]);
    close(ends[0]);
    if (failed != 0)
        throw std::runtime_error("can't start " + path);
}

process::~process() {
    if (!is_running())
        return;
    ::kill(id_, SIGCONT);
    ::kill(id_, SIGKILL);
    waitpid(id_, nullptr, 0);
}

void process::signal(int number) {
    ::kill(id_, number);
}

bool process::is_running() {
    if (has_ended_)
        return false;
    int status = 0;
    if (waitpid(id_, &status, WNOHANG) != id_)
        return true;
    has_ended_ = true;
    exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return false;
}

int process::wait(duration limit) {
    const auto end = steady_now() + limit;
    while (is_running() && steady_now() < end)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    return exit_code_;
}

// Calls -----------------------------------------------------------------------

std::shared_ptr<io::http_result>
http_caller::start(const io::http_call& c,
                   const std::shared_ptr<bool>& is_done) {
    auto result = std::make_shared<io::http_result>();
    client_.start(c, [result, is_done](io::http_result answer) {
        *result = std::move(answer);
        *is_done = true;
    });
    return result;
}

io::http_result http_caller::call(const io::http_call& c) {
    const auto is_done = std::make_shared<bool>(false);
    const auto result = start(c, is_done);
    loop_.run_until([&] { return *is_done; }, std::chrono::seconds(30));
    return *result;
}

nlohmann::json http_caller::get_json(const std::string& url) {
    io::http_call c;
    c.url = url;
    c.max_body_bytes = std::size_t{64} << 20U;
    return nlohmann::json::parse(call(c).response.body, nullptr, false);
}

io::http_result http_caller::post(const std::string& url,
                                  const std::string& body,
                                  std::vector<http_header> headers) {
    io::http_call c;
    c.method = "POST";
    c.url = url;
    c.body = body;
    c.headers = std::move(headers);
    c.may_resend = false;
    return call(c);
}

bool http_caller::wait_until(const std::function<bool()>& condition,
                             duration limit) {
    const auto end = steady_now() + limit;
    while (!condition()) {
        if (steady_now() >= end)
            return false;
        sleep(std::chrono::milliseconds(20));
    }
    return true;
}

void http_caller::sleep(duration time) {
    loop_.run_until([] { return false; }, time);
}

std::string outcome_of(const io::http_result& result) {
    return io::find_header(result.response.headers, "Rww-Outcome");
}

std::string error_of(const io::http_result& result) {
    return io::find_header(result.response.headers, "Rww-Error");
}

// Deployments -----------------------------------------------------------------

std::string config_file() {
    return std::string(RWW_TEST_FOLDER) + "/services.json";
}

std::string temporary_file(const std::string& name) {
    return file_in(std::filesystem::temp_directory_path(), name);
}

bool keeps_logs() {
    return std::getenv(logs_variable) != nullptr;
}

std::string log_file(const std::string& name) {
    return keeps_logs() ? file_in(std::getenv(logs_variable), name)
                        : temporary_file(name);
}

std::string take_text(const std::string& file) {
    std::ifstream in(file);
    std::string text{std::istreambuf_iterator<char>(in), {}};
    std::filesystem::remove(file);
    return text;
}

std::string node_place::call_url() const {
    return "http://127.0.0.1:" + std::to_string(call);
}

std::string node_place::local_url() const {
    return "http://127.0.0.1:" + std::to_string(local);
}

std::string node_place::target_url() const {
    return "http://127.0.0.1:" + std::to_string(target);
}

deployment::deployment(http_caller& http, deployment_options options)
    : http_(http), options_(std::move(options)),
      ports_(ports_per_place * options_.services.size()) {
    const auto count = options_.services.size();
    for (std::size_t n = 0; n < count; ++n) {
        auto place = std::make_unique<node_place>();
        place->call = ports_[ports_per_place * n];
        place->peer = ports_[ports_per_place * n + 1];
        place->local = ports_[ports_per_place * n + 2];
        place->target = ports_[ports_per_place * n + 3];
        place->service = options_.services[n];
        place->domain = "d" + std::to_string(n % 3);
        places_.push_back(std::move(place));
    }
    for (std::size_t n = 0; n < count; ++n) {
        start_node(n);
        if (!places_[n]->service.empty())
            start_target(n);
    }
}

void deployment::start_node(std::size_t n) {
    auto& place = *places_[n];
    place.node.reset();
    std::vector<std::string> flags{"--name=n" + std::to_string(n),
                                   "--call_port=" + std::to_string(place.call),
                                   "--peer_port=" + std::to_string(place.peer),
                                   "--local_port=" +
                                       std::to_string(place.local),
                                   "--domain=" + place.domain,
                                   "--graph=test",
                                   std::string("--keys=") + keys,
                                   "--store=" + options_.store_url,
                                   "--probe_interval_ms=200",
                                   "--suspicion_ms=1000",
                                   "--usage_period_ms=500",
                                   "--log_level=info"};
    // The first node is everybody's contact when there is no store.
    if (options_.store_url.empty() && n > 0)
        flags.push_back("--contacts=127.0.0.1:" +
                        std::to_string(places_[0]->peer));
    if (n < options_.advertised.size() && options_.advertised[n] != 0)
        flags.push_back("--advertise=127.0.0.1:" +
                        std::to_string(options_.advertised[n]));
    flags.insert(flags.end(), options_.node_flags.begin(),
                 options_.node_flags.end());
    place.node = std::make_unique<process>("redwingwind-node", flags, false);
}

void deployment::start_target(std::size_t n) {
    auto& place = *places_[n];
    place.target_process.reset();
    place.target_process = std::make_unique<process>(
        "stand-in-target",
        std::vector<std::string>{"--config=" + config_file(),
                                 "--service=" + place.service,
                                 "--port=" + std::to_string(place.target),
                                 "--node_port=" + std::to_string(place.local)},
        true);
}

nlohmann::json deployment::status(std::size_t n) {
    return http_.get_json(places_[n]->local_url() + "/status");
}

bool deployment::wait_together(std::size_t nodes, std::size_t targets,
                               duration limit) {
    return http_.wait_until(
        [&] {
            for (std::size_t n = 0; n < places_.size(); ++n) {
                if (!places_[n]->node->is_running())
                    continue;
                const auto json = status(n);
                if (!json.is_object() || json["members"]["alive"] != nodes)
                    return false;
                std::size_t ready = 0;
                for (const auto& [service, count] : json["services"].items())
                    ready += count.get<std::size_t>();
                if (ready != targets)
                    return false;
            }
            return true;
        },
        limit);
}

std::string deployment::ticket(std::size_t n) {
    const auto answer = http_.post(places_[n]->call_url() + "/rww/tickets", "");
    const auto json =
        nlohmann::json::parse(answer.response.body, nullptr, false);
    // Without one the order would go out as a request that may repeat.
    if (!json.is_object())
        throw std::runtime_error(
            "no ticket from node " + std::to_string(n) + ": status " +
            std::to_string(answer.response.status) + ", failure " +
            std::to_string(static_cast<int>(answer.failure)) +
            (places_[n]->node->is_running() ? "" : ", the node has ended"));
    return json["tickets"][0].get<std::string>();
}

io::http_call deployment::make_call(std::size_t n, const std::string& path,
                                    const std::string& id,
                                    const std::string& ticket) const {
    io::http_call c;
    c.method = "POST";
    c.url = places_[n]->call_url() + path;
    c.body = "{}";
    c.headers = {{"Rww-Request-Id", id}, {"Rww-Deadline-Ms", "2000"}};
    if (!ticket.empty()) {
        c.headers.push_back({"Idempotency-Key", ticket});
        c.headers.push_back({"Rww-Class", "order"});
    }
    c.may_resend = false;
    return c;
}

int deployment::executions(const std::string& root,
                           const std::string& service) {
    int count = 0;
    for (const auto& place : places_) {
        if (place->service != service || !place->target_process->is_running())
            continue;
        const auto json = http_.get_json(place->target_url() + "/records");
        for (const auto& it : json.at("records"))
            count += it[0] == root ? 1 : 0;
    }
    return count;
}

int run_ctl(std::vector<std::string> arguments, const std::string& output) {
    process ctl("redwingwindctl", std::move(arguments), false, output);
    return ctl.wait(std::chrono::seconds(30));
}

} // namespace redwingwind::integration
