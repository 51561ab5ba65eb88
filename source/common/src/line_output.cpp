#include <redwingwind/common/line_output.hpp>

#include <poll.h>
#include <unistd.h>

#include <climits>
#include <string>

namespace redwingwind {

bool line_output::has_room() const {
    pollfd descriptor{fd_, POLLOUT, 0};
    return poll(&descriptor, 1, 0) == 1 && (descriptor.revents & POLLOUT) != 0;
}

bool line_output::try_write(std::string_view line) const {
    // A pipe that polls as writable takes up to PIPE_BUF bytes without
    // blocking.
    if (line.size() + 1 > PIPE_BUF || !has_room())
        return false;
    const auto terminated = std::string(line) + '\n';
    return ::write(fd_, terminated.data(), terminated.size()) ==
           static_cast<ssize_t>(terminated.size());
}

bool line_output::report_lost() {
    if (unreported_lost_ == 0)
        return true;
    if (!try_write(R"({"event":"lines_lost","count":)" +
                   std::to_string(unreported_lost_) + "}"))
        return false;
    unreported_lost_ = 0;
    return true;
}

bool line_output::write(std::string_view line) {
    if (report_lost() && try_write(line))
        return true;
    ++unreported_lost_;
    ++total_lost_;
    return false;
}

} // namespace redwingwind
