#include <redwingwind/coordination/keyring.hpp>

#include <redwingwind/common/error.hpp>
#include <redwingwind/common/hash.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

namespace redwingwind::coordination {
namespace {

constexpr char wire_version = 1;
constexpr std::size_t mac_bytes = 16;
/// A longer payload is not copied behind its context. Up to this, a copy costs
/// less than a digest in parts.
constexpr std::size_t max_joined_bytes = 16U << 10U;
constexpr std::size_t min_secret_bytes = 16;
constexpr std::uint32_t max_key_id = 255;

std::string mac_of(const keyring::key& key, std::string_view payload,
                   std::string_view context) {
    if (payload.size() > max_joined_bytes)
        return hmac_sha256(key.secret, context, payload).substr(0, mac_bytes);
    std::string bytes;
    bytes.reserve(context.size() + payload.size());
    bytes.append(context).append(payload);
    return hmac_sha256(key.secret, bytes).substr(0, mac_bytes);
}

absl::StatusOr<keyring::key> parse_key(std::string_view text) {
    const auto colon = text.find(':');
    const auto id_text = text.substr(0, colon);
    std::uint32_t id = 0;
    if (colon == std::string_view::npos ||
        !absl::SimpleAtoi(absl::string_view(id_text.data(), id_text.size()),
                          &id) ||
        id > max_key_id)
        return make_error(error_code::bad_input,
                          "a key must be ID:HEX with an id from 0 to 255");
    auto secret = from_hex(text.substr(colon + 1));
    if (secret.size() < min_secret_bytes)
        return make_error(error_code::bad_input,
                          "a key needs at least 32 hexadecimal digits");
    return keyring::key{static_cast<std::uint8_t>(id), std::move(secret)};
}

} // namespace

absl::StatusOr<keyring> keyring::parse(std::string_view text) {
    keyring ring;
    const absl::string_view all(text.data(), text.size());
    for (const auto part : absl::StrSplit(all, ',')) {
        auto key = parse_key({part.data(), part.size()});
        if (!key.ok())
            return key.status();
        if (ring.find(key->id) != nullptr)
            return make_error(error_code::bad_input, "duplicate key id");
        ring.keys_.push_back(*std::move(key));
    }
    return ring;
}

const keyring::key* keyring::find(std::uint8_t id) const {
    for (const auto& it : keys_)
        if (it.id == id)
            return &it;
    return nullptr;
}

std::string keyring::seal(std::string_view payload,
                          std::string_view context) const {
    auto sealed = seal_head(payload, context);
    sealed.append(payload);
    return sealed;
}

std::string keyring::seal_head(std::string_view payload,
                               std::string_view context) const {
    const auto& active = keys_.front();
    std::string head;
    head.push_back(wire_version);
    head.push_back(static_cast<char>(active.id));
    head.append(mac_of(active, payload, context));
    return head;
}

absl::StatusOr<std::string_view> keyring::open(std::string_view sealed,
                                               std::string_view context) const {
    if (sealed.size() < seal_bytes || sealed[0] != wire_version)
        return make_error(error_code::unauthorized, "not a sealed message");
    const auto* known = find(static_cast<std::uint8_t>(sealed[1]));
    if (known == nullptr)
        return make_error(error_code::unauthorized, "unknown key id");
    const auto payload = sealed.substr(seal_bytes);
    if (!constant_time_equals(sealed.substr(2, mac_bytes),
                              mac_of(*known, payload, context)))
        return make_error(error_code::unauthorized, "wrong MAC");
    return payload;
}

std::string keyring::sign(std::string_view bytes) const {
    const auto& active = keys_.front();
    return to_hex(std::string(1, static_cast<char>(active.id)) +
                  mac_of(active, bytes, {}));
}

bool keyring::verify(std::string_view bytes, std::string_view signature) const {
    const auto raw = from_hex(signature);
    if (raw.size() != mac_bytes + 1)
        return false;
    const auto* known = find(static_cast<std::uint8_t>(raw[0]));
    return known != nullptr &&
           constant_time_equals(std::string_view(raw).substr(1),
                                mac_of(*known, bytes, {}));
}

} // namespace redwingwind::coordination
