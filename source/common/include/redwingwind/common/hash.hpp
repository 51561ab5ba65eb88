#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace redwingwind {

/// XXH64 of the bytes, for content digests and for choices that all nodes
/// must make identically. Not collision resistant: do not use it on input
/// that an attacker can choose.
std::uint64_t digest(std::string_view bytes, std::uint64_t seed = 0);

/// HMAC-SHA256 of the bytes: 32 raw bytes.
std::string hmac_sha256(std::string_view key, std::string_view bytes);
/// Of two parts behind one another, without joining them.
std::string hmac_sha256(std::string_view key, std::string_view first,
                        std::string_view second);

constexpr std::size_t sha256_bytes = 32;
using sha256_digest = std::array<std::uint8_t, sha256_bytes>;

/// SHA-256 of the bytes.
sha256_digest sha256(std::string_view bytes);

/// SHA-256 of the bytes as 64 hexadecimal digits, for hash chains.
std::string sha256_hex(std::string_view bytes);

/// Compares in a time that depends only on the length, so that a comparison
/// of MACs does not reveal how many bytes match.
bool constant_time_equals(std::string_view a, std::string_view b);
bool constant_time_equals(const sha256_digest& a, const sha256_digest& b);

/// Lower-case hexadecimal digits, two per byte.
std::string to_hex(std::string_view bytes);

/// Decodes hexadecimal text; empty when the text is not hexadecimal or has an
/// odd number of digits.
std::string from_hex(std::string_view text);

} // namespace redwingwind
