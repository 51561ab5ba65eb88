#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace redwingwind {

/// XXH64 of the bytes: for digests of content and for choices that all nodes
/// make alike. Not for anything an attacker may choose.
std::uint64_t digest(std::string_view bytes, std::uint64_t seed = 0);

/// HMAC-SHA256 of the bytes, 32 bytes long.
std::string hmac_sha256(std::string_view key, std::string_view bytes);

/// SHA-256 of the bytes in hexadecimal, for hash chains.
std::string sha256_hex(std::string_view bytes);

/// Compares in a time that depends on the length alone.
bool constant_time_equals(std::string_view a, std::string_view b);

std::string to_hex(std::string_view bytes);

/// The bytes of a hexadecimal text; empty when it is none.
std::string from_hex(std::string_view text);

} // namespace redwingwind
