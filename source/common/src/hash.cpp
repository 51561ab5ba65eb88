#include <redwingwind/common/hash.hpp>

#include <absl/strings/escaping.h>
#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/params.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <memory>

namespace redwingwind {

std::uint64_t digest(std::string_view bytes, std::uint64_t seed) {
    return XXH64(bytes.data(), bytes.size(), seed);
}

std::string hmac_sha256(std::string_view key, std::string_view bytes) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
    unsigned int n = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
         buf.data(), &n);
    return {reinterpret_cast<const char*>(buf.data()), n};
}

std::string hmac_sha256(std::string_view key, std::string_view first,
                        std::string_view second) {
    struct free_context {
        void operator()(EVP_MAC_CTX* it) const { EVP_MAC_CTX_free(it); }
    };
    static EVP_MAC* const algorithm = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
    const std::unique_ptr<EVP_MAC_CTX, free_context> context(
        EVP_MAC_CTX_new(algorithm));
    std::array<char, sizeof("SHA256")> digest_name{"SHA256"};
    const std::array<OSSL_PARAM, 2> parameters{
        OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST,
                                         digest_name.data(), 0),
        OSSL_PARAM_construct_end()};
    const auto as_bytes = [](std::string_view it) {
        return reinterpret_cast<const unsigned char*>(it.data());
    };
    std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
    std::size_t n = 0;
    EVP_MAC_init(context.get(), as_bytes(key), key.size(), parameters.data());
    EVP_MAC_update(context.get(), as_bytes(first), first.size());
    EVP_MAC_update(context.get(), as_bytes(second), second.size());
    EVP_MAC_final(context.get(), buf.data(), &n, buf.size());
    return {reinterpret_cast<const char*>(buf.data()), n};
}

sha256_digest sha256(std::string_view bytes) {
    sha256_digest result{};
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
           result.data());
    return result;
}

std::string sha256_hex(std::string_view bytes) {
    const auto buf = sha256(bytes);
    return to_hex({reinterpret_cast<const char*>(buf.data()), buf.size()});
}

bool constant_time_equals(std::string_view a, std::string_view b) {
    return a.size() == b.size() &&
           CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

bool constant_time_equals(const sha256_digest& a, const sha256_digest& b) {
    return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string to_hex(std::string_view bytes) {
    return absl::BytesToHexString(
        absl::string_view(bytes.data(), bytes.size()));
}

std::string from_hex(std::string_view text) {
    const bool is_hexadecimal =
        std::all_of(text.begin(), text.end(), [](char c) {
            return std::isxdigit(static_cast<unsigned char>(c)) != 0;
        });
    if (!is_hexadecimal || text.size() % 2 != 0)
        return {};
    return absl::HexStringToBytes(absl::string_view(text.data(), text.size()));
}

} // namespace redwingwind
