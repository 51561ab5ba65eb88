#include "report.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <set>

namespace redwingwind::experiment {
namespace {

using results_type = std::map<std::string, request_result>;

constexpr double interval_s = 0.25;
constexpr double recovered_share = 0.95;
/// Intervals in a row that must be good again.
constexpr std::size_t recovered_intervals = 4;

double percentile(std::vector<double> values, double share) {
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto n = static_cast<std::size_t>(share * double(values.size() - 1));
    return values[n];
}

bool is_within(time_point t, time_point from, time_point to) {
    return t >= from && t < to;
}

/// Successes per second between two times, counted when they came.
double goodput(const results_type& results, time_point from, time_point to) {
    const auto n =
        std::count_if(results.begin(), results.end(), [&](const auto& it) {
            return it.second.is_good() &&
                   is_within(it.second.succeeded, from, to);
        });
    return double(n) / seconds(to - from);
}

double offered(const results_type& results, time_point from, time_point to) {
    const auto n =
        std::count_if(results.begin(), results.end(), [&](const auto& it) {
            return is_within(it.second.first_sent, from, to);
        });
    return double(n) / seconds(to - from);
}

nlohmann::json by_class(const experiment_config& config,
                        const results_type& results, const run_times& times) {
    nlohmann::json json = nlohmann::json::object();
    for (const auto& [id, it] : results) {
        if (!is_within(it.first_sent, times.surge, times.calm))
            continue;
        auto& one = json[config.mix[it.kind].importance];
        if (one.is_null())
            one = {{"offered", 0}, {"good", 0}, {"refused", 0}, {"unknown", 0}};
        one["offered"] = one["offered"].get<int>() + 1;
        const char* end = it.is_good()      ? "good"
                          : it.unknown == 0 ? "refused"
                                            : "unknown";
        one[end] = one[end].get<int>() + 1;
    }
    for (auto& [name, one] : json.items())
        one["success_share"] =
            one["good"].get<double>() / one["offered"].get<double>();
    return json;
}

nlohmann::json recovery_seconds(const results_type& results,
                                const run_times& times) {
    const auto bins =
        static_cast<std::size_t>(seconds(times.end - times.calm) / interval_s);
    std::vector<double> sent(bins);
    std::vector<double> good(bins);
    for (const auto& [id, it] : results) {
        if (!is_within(it.first_sent, times.calm, times.end))
            continue;
        const auto n = static_cast<std::size_t>(
            seconds(it.first_sent - times.calm) / interval_s);
        if (n >= bins)
            continue;
        sent[n] += 1;
        good[n] += it.is_good() ? 1 : 0;
    }
    std::size_t in_a_row = 0;
    for (std::size_t n = 0; n < bins; ++n) {
        const bool is_good = good[n] >= recovered_share * sent[n];
        in_a_row = is_good ? in_a_row + 1 : 0;
        if (in_a_row == recovered_intervals)
            return double(n + 1 - recovered_intervals) * interval_s;
    }
    return nullptr;
}

struct execution_counts {
    /// Most executions of one route for one root request, over all routes.
    std::map<std::string, std::uint32_t> most_by_root;
    std::set<std::string> executed;
    std::uint32_t twice{};
};

execution_counts count_executions(const experiment_config& config,
                                  const results_type& results,
                                  const std::vector<execution_record>& all) {
    execution_counts counts;
    std::map<std::string, std::uint32_t> by_route;
    for (const auto& it : all) {
        counts.executed.insert(it.root);
        const auto n =
            ++by_route[absl::StrCat(it.root, " ", it.service, it.path)];
        auto& most = counts.most_by_root[it.root];
        most = std::max(most, n);
    }
    for (const auto& [root, n] : counts.most_by_root) {
        const auto it = results.find(root);
        if (it != results.end() && config.mix[it->second.kind].once && n > 1)
            ++counts.twice;
    }
    return counts;
}

nlohmann::json attempts(const results_type& results,
                        const execution_counts& counts) {
    double sum = 0;
    std::uint32_t most = 0;
    std::uint32_t most_sendings = 0;
    std::size_t n = 0;
    for (const auto& [root, count] : counts.most_by_root) {
        const auto it = results.find(root);
        if (it == results.end())
            continue;
        ++n;
        sum += count;
        most = std::max(most, count);
    }
    for (const auto& [id, it] : results)
        most_sendings = std::max(most_sendings, it.sendings);
    return {{"mean", n == 0 ? 0.0 : sum / double(n)},
            {"max", most},
            {"most_sendings_by_caller", most_sendings}};
}

double wasted_share(const results_type& results,
                    const std::vector<execution_record>& records) {
    double all = 0;
    double wasted = 0;
    for (const auto& it : records) {
        const auto root = results.find(it.root);
        if (root == results.end())
            continue;
        all += it.work_ms;
        wasted += root->second.is_good() ? 0 : it.work_ms;
    }
    return all > 0 ? wasted / all : 0;
}

nlohmann::json contradictions(const results_type& results,
                              const execution_counts& counts) {
    std::uint32_t not_run_but_ran = 0;
    std::uint32_t wrong_answers = 0;
    for (const auto& [id, it] : results) {
        const bool all_not_run = it.not_run == it.sendings;
        not_run_but_ran += all_not_run && counts.executed.count(id) > 0 ? 1 : 0;
        wrong_answers += it.got_wrong_answer ? 1 : 0;
    }
    return {{"not_run_but_executed", not_run_but_ran},
            {"executed_twice", counts.twice},
            {"wrong_or_cut_answer", wrong_answers},
            {"total", not_run_but_ran + counts.twice + wrong_answers}};
}

nlohmann::json outcome_counts(const results_type& results) {
    std::uint64_t done = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::map<std::string, int> errors;
    for (const auto& [id, it] : results) {
        done += it.done;
        not_run += it.not_run;
        unknown += it.unknown;
        if (!it.is_good())
            ++errors[it.last_error];
    }
    return {{"done", done},
            {"not_run", not_run},
            {"unknown", unknown},
            {"last_errors", errors}};
}

} // namespace

nlohmann::json make_report(const experiment_config& config,
                           const results_type& results,
                           const std::vector<execution_record>& records,
                           const run_times& times,
                           const added_latency& latency) {
    const auto counts = count_executions(config, results, records);
    return {{"offered_per_second",
             {{"steady", offered(results, times.steady, times.surge)},
              {"surge", offered(results, times.surge, times.calm)},
              {"calm", offered(results, times.calm, times.end)}}},
            {"goodput_per_second",
             {{"steady", goodput(results, times.steady, times.surge)},
              {"surge", goodput(results, times.surge, times.calm)},
              {"calm", goodput(results, times.calm, times.end)}}},
            {"surge_by_class", by_class(config, results, times)},
            {"recovery_seconds", recovery_seconds(results, times)},
            {"attempts_per_request", attempts(results, counts)},
            {"wasted_work_share", wasted_share(results, records)},
            {"added_latency_us",
             {{"p50", percentile(latency.through_us, 0.5) -
                          percentile(latency.direct_us, 0.5)},
              {"p99", percentile(latency.through_us, 0.99) -
                          percentile(latency.direct_us, 0.99)},
              {"direct_p50", percentile(latency.direct_us, 0.5)},
              {"direct_p99", percentile(latency.direct_us, 0.99)}}},
            {"answers", outcome_counts(results)},
            {"contradictions", contradictions(results, counts)}};
}

goodput_series make_series(const std::string& mode, const results_type& results,
                           const run_times& times) {
    goodput_series series{mode, interval_s, {}};
    const auto bins = static_cast<std::size_t>(
        seconds(times.end - times.steady) / interval_s);
    series.per_second.resize(bins);
    for (const auto& [id, it] : results) {
        if (!it.is_good() || !is_within(it.succeeded, times.steady, times.end))
            continue;
        const auto n = static_cast<std::size_t>(
            seconds(it.succeeded - times.steady) / interval_s);
        if (n < bins)
            series.per_second[n] += 1 / interval_s;
    }
    return series;
}

std::string plot(const std::string& title,
                 const std::vector<goodput_series>& all, double surge_from_s,
                 double surge_to_s) {
    constexpr double width = 760;
    constexpr double height = 320;
    constexpr double left = 60;
    constexpr double top = 40;
    const std::vector<std::string> colors{"#0a6", "#c33", "#36c", "#a60"};
    double most = 1;
    double time_s = 1;
    for (const auto& it : all) {
        for (const auto n : it.per_second)
            most = std::max(most, n);
        time_s = std::max(time_s, it.interval_s * double(it.per_second.size()));
    }
    const auto x = [&](double s) { return left + s / time_s * width; };
    const auto y = [&](double n) { return top + height * (1 - n / most); };
    std::string svg = absl::StrFormat(
        "<svg xmlns='http://www.w3.org/2000/svg' width='900' height='430' "
        "font-family='sans-serif' font-size='13'>\n"
        "<rect width='900' height='430' fill='white'/>\n"
        "<rect x='%.1f' y='%.1f' width='%.1f' height='%.1f' fill='#eee'/>\n"
        "<text x='%.0f' y='24'>%s: whole requests per second; the surge is "
        "grey</text>\n"
        "<path d='M%.0f %.0f V%.0f H%.0f' fill='none' stroke='black'/>\n",
        x(surge_from_s), top, x(surge_to_s) - x(surge_from_s), height, left,
        title, left, top, top + height, left + width);
    constexpr int steps = 4;
    for (int n = 0; n <= steps; ++n) {
        const double value = most * n / steps;
        const double at = time_s * n / steps;
        absl::StrAppendFormat(
            &svg,
            "<text x='%.0f' y='%.0f' text-anchor='end'>%.0f</text>\n"
            "<text x='%.0f' y='%.0f'>%.0f s</text>\n",
            left - 6, y(value) + 4, value, x(at), top + height + 18, at);
    }
    for (std::size_t n = 0; n < all.size(); ++n) {
        const auto& color = colors[n % colors.size()];
        std::string points;
        for (std::size_t m = 0; m < all[n].per_second.size(); ++m)
            absl::StrAppendFormat(&points, "%.1f,%.1f ",
                                  x((double(m) + 0.5) * all[n].interval_s),
                                  y(all[n].per_second[m]));
        absl::StrAppendFormat(
            &svg,
            "<polyline points='%s' fill='none' stroke='%s' "
            "stroke-width='2'/>\n<text x='%.0f' y='%.0f' fill='%s'>%s"
            "</text>\n",
            points, color, left + 120 * double(n), top + height + 44, color,
            all[n].mode);
    }
    return svg + "</svg>\n";
}

} // namespace redwingwind::experiment
