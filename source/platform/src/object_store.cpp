#include <redwingwind/platform/object_store.hpp>

#include <redwingwind/common/error.hpp>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace redwingwind::platform {
namespace {

using io::http_call;
using io::http_failure;
using io::http_result;

absl::Status status_of(const http_result& result) {
    if (result.failure != http_failure::none)
        return make_error(error_code::store_unavailable, "no answer");
    switch (result.response.status) {
    case 200:
        return absl::OkStatus();
    case 404:
        return make_error(error_code::not_found, "no such object");
    case 409:
        return make_error(error_code::conflict, "the object has changed");
    case 413:
        return make_error(error_code::bad_input, "the object is too large");
    default:
        return make_error(error_code::store_unavailable,
                          absl::StrCat("status ", result.response.status));
    }
}

stored_object object_from_json(const nlohmann::json& json) {
    return {json.at("key").get<std::string>(),
            json.at("version").get<std::uint64_t>(),
            json.at("value").get<std::string>()};
}

listing listing_from_json(const nlohmann::json& json) {
    listing all{json.at("revision").get<std::uint64_t>(), {}};
    for (const auto& it : json.at("objects"))
        all.objects.push_back(object_from_json(it));
    return all;
}

/// Parses the answer, whatever its kind; a body that does not fit counts as
/// no answer.
template <class Value, class Parse>
absl::StatusOr<Value> read(const http_result& result, Parse parse) {
    if (auto status = status_of(result); !status.ok())
        return status;
    try {
        return parse(nlohmann::json::parse(result.response.body));
    } catch (const nlohmann::json::exception& e) {
        return make_error(error_code::store_unavailable, e.what());
    }
}

http_call make_call(const store_options& options, const std::string& method,
                    const std::string& path) {
    http_call call;
    call.method = method;
    call.url = options.url + path;
    call.timeout = options.timeout;
    return call;
}

io::http_client::callback listing_reader(object_store::listing_callback done) {
    return [done = std::move(done)](const http_result& result) {
        done(read<listing>(result, listing_from_json));
    };
}

} // namespace

object_store connect_store(io::http_client& client,
                           const store_options& options) {
    object_store store;
    store.get = [&client, options](const std::string& key,
                                   object_store::object_callback done) {
        client.start(make_call(options, "GET", "/objects/" + key),
                     [done = std::move(done)](const http_result& result) {
                         done(read<stored_object>(result, object_from_json));
                     });
    };
    store.put = [&client, options](const std::string& key,
                                   const std::string& value,
                                   std::uint64_t over_version,
                                   object_store::version_callback done) {
        auto call = make_call(options, "PUT", "/objects/" + key);
        call.headers.push_back({"If-Version", std::to_string(over_version)});
        call.body = value;
        call.may_resend = false;
        client.start(call, [done = std::move(done)](const http_result& result) {
            done(read<std::uint64_t>(result, [](const nlohmann::json& json) {
                return json.at("version").get<std::uint64_t>();
            }));
        });
    };
    store.list = [&client, options](const std::string& prefix,
                                    object_store::listing_callback done) {
        client.start(make_call(options, "GET", "/list?prefix=" + prefix),
                     listing_reader(std::move(done)));
    };
    store.watch = [&client, options](const std::string& prefix,
                                     std::uint64_t since, duration wait,
                                     object_store::listing_callback done) {
        auto call =
            make_call(options, "GET",
                      absl::StrCat("/watch?prefix=", prefix, "&since=", since,
                                   "&wait_ms=", milliseconds(wait)));
        call.timeout = options.timeout + wait;
        client.start(call, listing_reader(std::move(done)));
    };
    return store;
}

} // namespace redwingwind::platform
