#include <redwingwind/overload/request_retry_budget.hpp>

#include <algorithm>
#include <utility>

namespace redwingwind::overload {

bool request_retry_budget::take() {
    if (left_ == 0)
        return false;
    --left_;
    return true;
}

std::uint32_t request_retry_budget::allocate() {
    const auto part = (left_ + 1) / 2;
    left_ -= part;
    return part;
}

std::uint32_t request_retry_budget::allocate_all() {
    return std::exchange(left_, 0);
}

void request_retry_budget::reclaim(std::uint32_t allocated,
                                   std::uint32_t returned) {
    left_ += std::min(allocated, returned);
}

void edge_retry_budget::on_first_attempt() {
    tokens_ = std::min(tokens_ + options_.ratio, options_.max_tokens);
}

bool edge_retry_budget::take() {
    if (tokens_ < 1.0)
        return false;
    tokens_ -= 1.0;
    return true;
}

} // namespace redwingwind::overload
