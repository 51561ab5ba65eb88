#define BOOST_TEST_MODULE coordination
#include <redwingwind/coordination/keyring.hpp>
#include <redwingwind/coordination/messages.hpp>

#include <redwingwind/common/error.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace redwingwind;
using namespace redwingwind::coordination;

namespace {

const char* const old_key = "1:000102030405060708090a0b0c0d0e0f";
const char* const new_key = "2:101112131415161718191a1b1c1d1e1f";

frame sample_frame() {
    call_frame call;
    call.sequence = 7;
    call.service = {"shop"};
    call.body = "body";
    return call;
}

datagram sample_datagram() {
    datagram message;
    message.sender.id.name = {"n1"};
    message.members.resize(3);
    message.configs.push_back({{"g"}, 4});
    return message;
}

} // namespace

BOOST_AUTO_TEST_SUITE(messages)

BOOST_AUTO_TEST_CASE(survive_a_round_trip) {
    const auto sent = sample_datagram();
    const auto received = decode<datagram>(encode(sent));
    BOOST_REQUIRE(received.ok());
    BOOST_TEST((*received == sent));
}

BOOST_AUTO_TEST_CASE(with_empty_lists_survive_a_round_trip) {
    const auto received = decode<frame>(encode(frame(view_frame{})));
    BOOST_REQUIRE(received.ok());
    const auto* view = std::get_if<view_frame>(&*received);
    BOOST_REQUIRE(view != nullptr);
    BOOST_TEST(view->members.empty());
    BOOST_TEST(view->wanted_buckets.empty());
}

RC_BOOST_PROP(truncated_messages_are_rejected_and_garbage_is_harmless, ()) {
    auto bytes = encode(sample_frame());
    const auto length = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes.resize(length);
    RC_ASSERT(!decode<frame>(bytes).ok());
    const auto garbage = *rc::gen::arbitrary<std::string>();
    (void)decode<frame>(garbage);
    (void)decode<datagram>(garbage);
}

RC_BOOST_PROP(a_corrupt_length_never_makes_a_large_buffer, ()) {
    auto bytes = encode(sample_datagram());
    const auto index = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[index] = static_cast<char>(*rc::gen::inRange(0, 256));
    const auto decoded = decode<datagram>(bytes);
    if (decoded.ok())
        RC_ASSERT(decoded->members.size() <= bytes.size());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(sealed_messages)

BOOST_AUTO_TEST_CASE(open_with_any_known_key) {
    const auto before = keyring::parse(old_key);
    const auto during = keyring::parse(std::string(new_key) + "," + old_key);
    BOOST_REQUIRE(before.ok());
    BOOST_REQUIRE(during.ok());
    BOOST_TEST(during->open(before->seal("hi")).ok());
    BOOST_TEST(int(code_of(before->open(during->seal("hi")).status())) ==
               int(error_code::unauthorized));
}

BOOST_AUTO_TEST_CASE(do_not_open_after_their_key_is_removed) {
    const auto before = keyring::parse(old_key);
    const auto during = keyring::parse(std::string(new_key) + "," + old_key);
    const auto after = keyring::parse(new_key);
    BOOST_REQUIRE(after.ok());
    // Nodes that still have both keys seal with the new one, so their messages
    // are accepted.
    BOOST_TEST(after->open(during->seal("hi")).ok());
    BOOST_TEST(int(code_of(after->open(before->seal("hi")).status())) ==
               int(error_code::unauthorized));
}

RC_BOOST_PROP(do_not_open_when_any_byte_is_changed, ()) {
    const auto keys = *keyring::parse(old_key);
    auto sealed = keys.seal("payload", "context");
    RC_ASSERT(keys.open(sealed, "context").ok());
    RC_ASSERT(!keys.open(sealed, "another").ok());
    const auto index = *rc::gen::inRange<std::size_t>(0, sealed.size());
    sealed[index] = static_cast<char>(sealed[index] ^ 1);
    RC_ASSERT(!keys.open(sealed, "context").ok());
}

BOOST_AUTO_TEST_CASE(need_valid_keys) {
    BOOST_TEST(!keyring::parse("").ok());
    BOOST_TEST(!keyring::parse("1:00").ok());
    BOOST_TEST(!keyring::parse("300:000102030405060708090a0b0c0d0e0f").ok());
    BOOST_TEST(!keyring::parse(std::string(old_key) + "," + old_key).ok());
}

BOOST_AUTO_TEST_SUITE_END()
