#pragma once

#include <redwingwind/io/http.hpp>
#include <redwingwind/io/reactor.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "experiment_config.hpp"

namespace redwingwind::experiment {

/// One whole request as its caller saw it, over all its sendings.
struct request_result {
    std::size_t kind{};
    time_point first_sent{};
    /// When it succeeded; the epoch when it did not, or too late.
    time_point succeeded{};
    std::uint32_t sendings{};
    /// Answers by outcome. No answer at all counts as unknown.
    std::uint32_t done{};
    std::uint32_t not_run{};
    std::uint32_t unknown{};
    /// The code of the last refusal.
    std::string last_error;
    bool got_wrong_answer{};

    bool is_good() const { return succeeded != time_point{}; }
};

/// Sends requests at given rates, whatever becomes of the earlier ones, and
/// resends failed ones as callers do.
class load_driver {
  public:
    load_driver(io::reactor& loop, const experiment_config& config,
                const deployment& where, bool uses_tickets, std::uint64_t seed,
                std::string id_prefix);

    /// Sends for a time at a rate; returns when the time is over.
    void run(double requests_per_second, duration time);

    /// Waits until no request is open, at most this long.
    void settle(duration limit);

    const std::map<std::string, request_result>& results() const {
        return results_;
    }

  private:
    void send_next(double rate, time_point end);
    void begin_request();
    void send(const std::string& id);
    void on_answer(const std::string& id, const io::http_result& result);
    void fetch_tickets();
    const std::string& random_caller();
    std::size_t draw_kind();

    io::reactor& loop_;
    const experiment_config& config_;
    const deployment& where_;
    bool uses_tickets_;
    std::mt19937_64 random_;
    io::http_client client_;
    /// Keeps the requests of several drivers apart in the targets' records.
    std::string id_prefix_;
    std::uint64_t next_number_{1};
    std::size_t open_{};
    std::vector<std::string> tickets_;
    bool is_fetching_{};
    bool is_sending_{};
    time_point next_at_{};
    std::map<std::string, std::string> ticket_of_;
    std::map<std::string, request_result> results_;
};

} // namespace redwingwind::experiment
