#include <redwingwind/common/line_output.hpp>

#include <poll.h>
#include <unistd.h>

#include <climits>
#include <string>

namespace redwingwind {

bool line_output::has_room() const {
    pollfd asked{fd_, POLLOUT, 0};
    return poll(&asked, 1, 0) == 1 && (asked.revents & POLLOUT) != 0;
}

bool line_output::put(std::string_view line) const {
    // A pipe that has room takes so many bytes at once, without waiting.
    if (line.size() + 1 > PIPE_BUF || !has_room())
        return false;
    const auto whole = std::string(line) + '\n';
    return ::write(fd_, whole.data(), whole.size()) ==
           static_cast<ssize_t>(whole.size());
}

bool line_output::tell_lost() {
    if (lost_ == 0)
        return true;
    if (!put(R"({"event":"lines_lost","count":)" + std::to_string(lost_) + "}"))
        return false;
    lost_ = 0;
    return true;
}

bool line_output::write(std::string_view line) {
    if (tell_lost() && put(line))
        return true;
    ++lost_;
    ++all_lost_;
    return false;
}

} // namespace redwingwind
