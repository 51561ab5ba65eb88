#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace redwingwind::coordination {

/// The shared keys of a deployment. The first key signs, and a MAC by any key
/// is accepted. To rotate keys, append the new key on all nodes, then move it
/// to the front, then remove the old one.
class keyring {
  public:
    struct key {
        std::uint8_t id{};
        std::string secret;
    };

    /// Parses "ID:HEX,ID:HEX": ids 0 to 255, secrets of at least 16 bytes.
    /// Errors: bad_input.
    static absl::StatusOr<keyring> parse(std::string_view text);

    /// Prepends version, key id and MAC to the payload. The MAC also covers
    /// the context, which is not sent: both sides must pass the same one.
    std::string seal(std::string_view payload,
                     std::string_view context = {}) const;

    /// What seal() prepends.
    std::string seal_head(std::string_view payload,
                          std::string_view context = {}) const;

    /// Checks the MAC and returns the payload, which points into `sealed`.
    /// Errors: unauthorized.
    absl::StatusOr<std::string_view> open(std::string_view sealed,
                                          std::string_view context = {}) const;

    /// Returns the first key's id (1 byte) and its MAC (16 bytes) in
    /// hexadecimal.
    std::string sign(std::string_view bytes) const;
    bool verify(std::string_view bytes, std::string_view signature) const;

  private:
    const key* find(std::uint8_t id) const;

    std::vector<key> keys_;
};

/// Bytes that seal() adds: version (1), key id (1) and MAC (16).
constexpr std::size_t seal_bytes = 18;

} // namespace redwingwind::coordination
