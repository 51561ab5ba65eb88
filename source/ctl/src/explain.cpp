#include "explain.hpp"

#include <redwingwind/common/error.hpp>

#include <absl/strings/str_format.h>

#include <unistd.h>

#include <fstream>
#include <iostream>

#include "call_history.hpp"
#include "failure.hpp"

namespace redwingwind::ctl {
namespace {

constexpr std::uint64_t lines_per_progress = 1000000;

/// Tells a person at a terminal that a long log is being read.
class progress {
  public:
    void line_read() {
        if (++lines_ % lines_per_progress != 0 || !is_terminal_)
            return;
        was_shown_ = true;
        std::cerr << "\r" << lines_ << " lines read" << std::flush;
    }
    void end() const {
        if (was_shown_)
            std::cerr << "\n";
    }

  private:
    bool is_terminal_{isatty(STDERR_FILENO) != 0};
    bool was_shown_{};
    std::uint64_t lines_{};
};

void read_lines(std::istream& in, const std::string& source, progress& shown,
                call_history& history) {
    std::string line;
    while (std::getline(in, line)) {
        history.read_line(source, line);
        shown.line_read();
    }
}

/// False when the file can't be read.
bool read_source(const std::string& name, progress& shown,
                 call_history& history) {
    if (name == "-") {
        read_lines(std::cin, "standard input", shown, history);
        return true;
    }
    std::ifstream in(name);
    // A folder opens and then can't be read.
    if (!in || (in.peek(), in.bad()))
        return false;
    read_lines(in, name, shown, history);
    return true;
}

std::string version_text(const call_decision& it) {
    if (it.version == 0)
        return "-";
    if (!it.version_age_ms)
        return absl::StrFormat("%d", it.version);
    return absl::StrFormat("%d, %.1f s old", it.version,
                           static_cast<double>(*it.version_age_ms) / 1000);
}

std::string load_text(const call_decision& it) {
    if (!it.is_beside_target)
        return absl::StrFormat("strain %.2f", it.strain);
    return absl::StrFormat("%d running of %d, %d waiting", it.running, it.limit,
                           it.queued);
}

void print(const call_history& history, const std::string& id) {
    std::cout << "call " << id << ", from " << history.lines() << " lines\n\n";
    if (!history.decisions().empty())
        std::cout << absl::StreamFormat(
            "%-24s %-22s %-13s %-15s %-14s %-22s %7s %7s  %-18s %s\n", "TIME",
            "NODE", "DECISION", "WHY", "SERVICE", "OTHER NODE", "ATTEMPT",
            "LEFT MS", "CONFIGURATION", "LOAD");
    for (const auto& it : history.decisions())
        std::cout << absl::StreamFormat(
            "%-24s %-22s %-13s %-15s %-14s %-22s %7d %7d  %-18s %s\n", it.time,
            it.node, it.event, it.why, it.service,
            it.peer.empty() ? "-" : it.peer, it.attempt, it.time_left_ms,
            version_text(it), load_text(it));
    std::cout << "\n" << history.conclusion() << "\n";
    for (const auto& it : history.left_out())
        std::cout << "At " << it.time << " " << it.node << " had left out "
                  << it.count
                  << " lines to keep to its rate; one may be missing here.\n";
}

} // namespace

exit_code explain(const ctl_settings& settings,
                  const std::vector<std::string>& words) {
    if (words.size() < 2 || words[1].empty())
        return bad_words("explain REQUEST-ID [LOGFILE...]");
    std::vector<std::string> sources(words.begin() + 2, words.end());
    if (sources.empty())
        sources.emplace_back("-");
    call_history history{request_id{words[1]}};
    progress shown;
    for (const auto& it : sources)
        if (!read_source(it, shown, history))
            return fail(make_error(error_code::not_found, "can't read " + it));
    shown.end();
    if (settings.as_json)
        std::cout << history.to_json().dump(2) << "\n";
    else
        print(history, words[1]);
    for (const auto& it : history.unreadable())
        std::cerr << "redwingwindctl: " << it.source << ":" << it.number
                  << " names the call and can't be read: " << it.why << "\n";
    if (!history.unreadable().empty())
        return exit_code::failed;
    return history.decisions().empty() ? exit_code::not_found : exit_code::ok;
}

} // namespace redwingwind::ctl
