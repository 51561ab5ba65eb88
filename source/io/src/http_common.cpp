#include <redwingwind/io/http.hpp>

#include <strings.h>

namespace redwingwind::io {

std::string find_header(const std::vector<http_header>& headers,
                        std::string_view name) {
    for (const auto& it : headers)
        if (it.name.size() == name.size() &&
            strncasecmp(it.name.data(), name.data(), name.size()) == 0)
            return it.value;
    return {};
}

http_response json_response(int status, std::string body) {
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

std::string query_parameter(std::string_view target, std::string_view name) {
    auto from = target.find('?');
    while (from != std::string_view::npos) {
        const auto part = target.substr(from + 1);
        const auto end = part.find('&');
        const auto pair = part.substr(0, end);
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return equals == std::string_view::npos
                       ? std::string()
                       : std::string(pair.substr(equals + 1));
        from = end == std::string_view::npos ? end : from + 1 + end;
    }
    return {};
}

std::string path_of(std::string_view target) {
    return std::string(target.substr(0, target.find('?')));
}

} // namespace redwingwind::io
