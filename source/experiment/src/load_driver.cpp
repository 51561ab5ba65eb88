#include "load_driver.hpp"

#include <redwingwind/common/hash.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace redwingwind::experiment {
namespace {

constexpr long idle_connections = 2048;
constexpr std::size_t tickets_per_fetch = 200;
constexpr std::size_t least_tickets = 400;
/// Beyond the deadline, for the answer that tells how it ended.
constexpr auto answer_slack = std::chrono::milliseconds(400);

/// True when the answer is whole and belongs to this request, or is a repeat
/// of the answer to an earlier sending of it.
bool is_own_answer(const http_response& response, const std::string& id) {
    const auto told = io::find_header(response.headers, "Rww-Digest");
    std::uint64_t n = 0;
    if (!absl::SimpleHexAtoi(told, &n) || n != digest(response.body))
        return false;
    const auto json = nlohmann::json::parse(response.body, nullptr, false);
    return json.is_object() && json.value("root", std::string()) == id;
}

} // namespace

load_driver::load_driver(io::reactor& loop, const experiment_config& config,
                         const deployment& where, bool uses_tickets,
                         std::uint64_t seed, std::string id_prefix)
    : loop_(loop), config_(config), where_(where), uses_tickets_(uses_tickets),
      random_(seed), client_(loop, idle_connections),
      id_prefix_(std::move(id_prefix)) {
    if (!uses_tickets_)
        return;
    fetch_tickets();
    loop_.run_until([this] { return !tickets_.empty(); },
                    std::chrono::seconds(2));
}

const std::string& load_driver::random_caller() {
    return where_.callers[random_() % where_.callers.size()];
}

std::size_t load_driver::draw_kind() {
    double all = 0;
    for (const auto& it : config_.mix)
        all += it.weight;
    double left = std::uniform_real_distribution<double>(0, all)(random_);
    for (std::size_t n = 0; n < config_.mix.size(); ++n) {
        left -= config_.mix[n].weight;
        if (left <= 0)
            return n;
    }
    return config_.mix.size() - 1;
}

void load_driver::fetch_tickets() {
    if (is_fetching_)
        return;
    is_fetching_ = true;
    io::http_call call;
    call.method = "POST";
    call.url =
        absl::StrCat(random_caller(), "/rww/tickets?count=", tickets_per_fetch);
    client_.start(call, [this](const io::http_result& result) {
        is_fetching_ = false;
        const auto json =
            nlohmann::json::parse(result.response.body, nullptr, false);
        if (!json.is_object() || !json.contains("tickets"))
            return;
        for (const auto& it : json["tickets"])
            tickets_.push_back(it.get<std::string>());
        std::shuffle(tickets_.begin(), tickets_.end(), random_);
    });
}

void load_driver::run(double requests_per_second, duration time) {
    const auto end = steady_now() + time;
    is_sending_ = true;
    next_at_ = steady_now();
    send_next(requests_per_second, end);
    loop_.run_until([this] { return !is_sending_; }, time + time);
}

void load_driver::send_next(double rate, time_point end) {
    const auto now = steady_now();
    // All that is due by now, so that a late timer does not lower the rate.
    while (next_at_ <= now && next_at_ < end) {
        begin_request();
        const double gap = std::exponential_distribution<double>(rate)(random_);
        next_at_ += duration(static_cast<duration::rep>(gap * 1e6) + 1);
    }
    if (next_at_ >= end && now >= end) {
        is_sending_ = false;
        return;
    }
    const auto wait = std::max<duration>(std::min(next_at_, end) - now,
                                         std::chrono::microseconds(200));
    loop_.after(wait, [this, rate, end] { send_next(rate, end); });
}

void load_driver::begin_request() {
    const auto id = absl::StrCat(id_prefix_, next_number_++);
    auto& it = results_[id];
    it.kind = draw_kind();
    it.first_sent = steady_now();
    ++open_;
    if (uses_tickets_ && config_.mix[it.kind].once) {
        if (tickets_.size() < least_tickets)
            fetch_tickets();
        if (!tickets_.empty()) {
            ticket_of_[id] = tickets_.back();
            tickets_.pop_back();
        }
    }
    send(id);
}

void load_driver::send(const std::string& id) {
    auto& it = results_.at(id);
    const auto& kind = config_.mix[it.kind];
    io::http_call call;
    call.method = "POST";
    call.url = random_caller() + "/" + kind.service + kind.path;
    call.headers = {
        {"Rww-Owner", kind.owner},
        {"Rww-Request-Id", id},
        {"Rww-Class", kind.importance},
        {"Rww-Attempt", std::to_string(it.sendings)},
        {"Rww-Deadline-Ms", std::to_string(milliseconds(kind.deadline))}};
    const auto ticket = ticket_of_.find(id);
    if (ticket != ticket_of_.end())
        call.headers.push_back({"Idempotency-Key", ticket->second});
    call.body = "{}";
    call.timeout = kind.deadline + answer_slack;
    call.may_resend = false;
    ++it.sendings;
    client_.start(call, [this, id](const io::http_result& result) {
        on_answer(id, result);
    });
}

void load_driver::on_answer(const std::string& id,
                            const io::http_result& result) {
    auto& it = results_.at(id);
    const auto& headers = result.response.headers;
    const auto told = io::find_header(headers, "Rww-Outcome");
    const bool is_answer = result.failure == io::http_failure::none;
    if (is_answer && told == "done")
        ++it.done;
    else if (is_answer && told == "not-run")
        ++it.not_run;
    else
        ++it.unknown;
    if (is_answer && told == "done" && result.response.status == 200) {
        it.got_wrong_answer = !is_own_answer(result.response, id);
        const auto now = steady_now();
        if (!it.got_wrong_answer && now - it.first_sent <= config_.patience)
            it.succeeded = now;
        --open_;
        return;
    }
    it.last_error = is_answer ? io::find_header(headers, "Rww-Error") : "none";
    if (it.sendings > config_.resends) {
        --open_;
        return;
    }
    const double factor =
        std::uniform_real_distribution<double>(0.5, 1.5)(random_);
    const auto pause = seconds(config_.resend_pause) * factor;
    loop_.after(duration(static_cast<duration::rep>(pause * 1e6)),
                [this, id] { send(id); });
}

void load_driver::settle(duration limit) {
    loop_.run_until([this] { return open_ == 0; }, limit);
}

} // namespace redwingwind::experiment
