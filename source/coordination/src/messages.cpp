#include <redwingwind/coordination/messages.hpp>

namespace redwingwind::coordination {

std::string_view to_string(outcome o) {
    switch (o) {
    case outcome::done:
        return "done";
    case outcome::not_run:
        return "not-run";
    case outcome::unknown:
        break;
    }
    return "unknown";
}

} // namespace redwingwind::coordination
