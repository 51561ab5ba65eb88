#include <redwingwind/overload/retry_ledger.hpp>

#include <algorithm>
#include <utility>

namespace redwingwind::overload {

bool retry_ledger::take() {
    if (left_ == 0)
        return false;
    --left_;
    return true;
}

std::uint32_t retry_ledger::lend() {
    const auto part = (left_ + 1) / 2;
    left_ -= part;
    return part;
}

std::uint32_t retry_ledger::lend_all() {
    return std::exchange(left_, 0);
}

void retry_ledger::give_back(std::uint32_t lent, std::uint32_t returned) {
    left_ += std::min(lent, returned);
}

void edge_budget::on_first_attempt() {
    tokens_ = std::min(tokens_ + options_.ratio, options_.most);
}

bool edge_budget::take() {
    if (tokens_ < 1.0)
        return false;
    tokens_ -= 1.0;
    return true;
}

} // namespace redwingwind::overload
