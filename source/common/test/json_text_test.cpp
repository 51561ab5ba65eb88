#include <redwingwind/common/json_text.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <string>

using namespace redwingwind;

namespace {

std::string nested(std::size_t levels) {
    return std::string(levels, '[') + std::string(levels, ']');
}

} // namespace

BOOST_AUTO_TEST_SUITE(json_from_outside)

BOOST_AUTO_TEST_CASE(is_not_read_when_nested_too_deep) {
    BOOST_TEST(read_json(nested(max_json_depth)).is_array());
    BOOST_TEST(read_json(nested(max_json_depth + 1)).is_discarded());
    BOOST_TEST(read_json(nested(1000000)).is_discarded());
    BOOST_TEST(read_json(R"({"a":")" + nested(1000) + R"("})").is_object());
}

BOOST_AUTO_TEST_CASE(is_not_read_when_malformed_or_out_of_range) {
    for (const auto* bad : {"", " ", "[", "[1,]", "{\"a\"}", "1e999", "[1e999]",
                            "\"\xff\"", "[] []", "nul", "\"a"})
        BOOST_TEST(read_json(bad).is_discarded(), bad);
}

BOOST_AUTO_TEST_CASE(is_split_without_reading_its_parts) {
    const auto all =
        json_elements(R"( [ 1e999 , "a,]\"[" ,{"b":[1, 2]}, [[]] ] )");
    BOOST_REQUIRE(all.has_value());
    BOOST_REQUIRE(all->size() == 4U);
    BOOST_TEST((*all)[0] == "1e999");
    BOOST_TEST((*all)[1] == R"("a,]\"[")");
    BOOST_TEST((*all)[2] == R"({"b":[1, 2]})");
    BOOST_TEST((*all)[3] == "[[]]");
    BOOST_TEST(json_member(R"({"a" : 1 , "b":{"a":2}})", "b") == R"({"a":2})");
    BOOST_TEST(json_member(R"({"a":1})", "b").empty());
    for (const auto* bad : {"", "[", "[1", "[1,]", "[1 2]", "{}", "[]1"})
        BOOST_TEST(!json_elements(bad).has_value(), bad);
    for (const auto* bad : {"", "{", "{1:2}", "{\"a\"}", "{\"a\":}", "[]"})
        BOOST_TEST(!json_members(bad).has_value(), bad);
}

BOOST_AUTO_TEST_CASE(is_split_into_the_parts_that_a_whole_read_gives) {
    const bool holds = rc::check([](const std::vector<std::string>& texts,
                                    const std::vector<double>& numbers) {
        auto whole = nlohmann::json::array();
        for (const auto& it : texts)
            whole.push_back({{it, {it, {{it, numbers}}}}});
        for (const auto it : numbers)
            whole.push_back(it);
        const auto text =
            whole.dump(2, ' ', false, nlohmann::json::error_handler_t::replace);
        const auto parts = json_elements(text);
        RC_ASSERT(parts.has_value());
        RC_ASSERT(parts->size() == whole.size());
        const auto again = nlohmann::json::parse(text);
        for (std::size_t n = 0; n < parts->size(); ++n)
            RC_ASSERT(nlohmann::json::parse((*parts)[n]) == again[n]);
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(ends_no_reader_whatever_the_bytes) {
    const bool holds = rc::check([] {
        const auto text = *rc::gen::container<std::string>(
            rc::gen::element('[', ']', '{', '}', '"', '\\', ',', ':', '1', 'e',
                             '-', ' ', 'n', '\xff'));
        json_elements(text);
        json_members(text);
        read_json(text);
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
