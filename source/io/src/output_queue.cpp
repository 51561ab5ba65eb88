#include <redwingwind/io/output_queue.hpp>

#include <utility>

namespace redwingwind::io {
namespace {

/// Pieces below this size are joined.
constexpr std::size_t joined_bytes = 16U << 10U;

} // namespace

void output_queue::append(std::string bytes) {
    if (bytes.empty())
        return;
    unsent_ += bytes.size();
    held_ += bytes.size();
    if (!pieces_.empty() &&
        pieces_.back().size() + bytes.size() <= joined_bytes) {
        pieces_.back().append(bytes);
        return;
    }
    pieces_.push_back(std::move(bytes));
}

std::string_view output_queue::front() const {
    if (pieces_.empty())
        return {};
    return std::string_view(pieces_.front()).substr(written_);
}

void output_queue::consume(std::size_t n) {
    written_ += n;
    unsent_ -= n;
    if (pieces_.empty() || written_ < pieces_.front().size())
        return;
    held_ -= pieces_.front().size();
    written_ = 0;
    pieces_.pop_front();
}

void output_queue::clear() {
    pieces_.clear();
    written_ = unsent_ = held_ = 0;
}

} // namespace redwingwind::io
