#define BOOST_TEST_MODULE ctl
#include "apply.hpp"

#include <redwingwind/common/error.hpp>

#include <boost/test/unit_test.hpp>

#include <map>

using namespace redwingwind;
using namespace redwingwind::ctl;

namespace {

/// A store in memory whose next write can go wrong in a chosen way.
struct fake_store {
    enum class fault { none, answer_lost, not_applied };

    std::map<std::string, platform_adapter::stored_object> objects;
    fault next_write{fault::none};
    /// Runs just before the next write: another operator.
    std::function<void()> before_write;
    int writes{};

    platform_adapter::object_store hooks() {
        platform_adapter::object_store store;
        store.get = [this](const std::string& key, const auto& done) {
            const auto it = objects.find(key);
            if (it == objects.end())
                done(make_error(error_code::not_found, key));
            else
                done(it->second);
        };
        store.put = [this](const std::string& key, const std::string& value,
                           std::uint64_t over, const auto& done) {
            if (before_write)
                std::exchange(before_write, nullptr)();
            write(key, value, over, done);
        };
        return store;
    }

    void write(const std::string& key, const std::string& value,
               std::uint64_t over,
               const platform_adapter::object_store::version_callback& done) {
        const auto failure = std::exchange(next_write, fault::none);
        const auto no_answer =
            make_error(error_code::store_unavailable, "no answer");
        if (failure == fault::not_applied) {
            done(no_answer);
            return;
        }
        auto& it = objects[key];
        if (it.version != over) {
            done(make_error(error_code::conflict, "changed"));
            return;
        }
        ++writes;
        it = {key, over + 1, value};
        if (failure == fault::answer_lost)
            done(no_answer);
        else
            done(it.version);
    }
};

struct fixture {
    fixture() : session(store.hooks(), [] {}) {
        store.objects["tenancies/shop"] = {"tenancies/shop", 1, "{}"};
        store.objects["owners/owner-a"] = {"owners/owner-a", 1, "{}"};
    }

    absl::StatusOr<apply_result> apply(const std::string& change_id,
                                       const std::string& deadline = "800",
                                       bool dry_run = false) {
        auto text = policy::questionnaire_template({"shop"});
        text.replace(text.find("800"), 3, deadline);
        return apply_answers(session, text, {change_id, "ayse", "because", 1},
                             {dry_run, 5});
    }

    fake_store store;
    store_session session;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(applying_answers, fixture)

BOOST_AUTO_TEST_CASE(writes_one_more_generation) {
    BOOST_REQUIRE(apply("c1").ok());
    const auto second = apply("c2", "900");
    BOOST_REQUIRE(second.ok());
    BOOST_TEST(second->document.generation == 2U);
    BOOST_TEST(second->difference.size() == 1U);
}

BOOST_AUTO_TEST_CASE(writes_nothing_on_a_dry_run_or_without_a_change) {
    BOOST_REQUIRE(apply("c1", "800", true).ok());
    BOOST_TEST(store.writes == 0);
    BOOST_REQUIRE(apply("c1").ok());
    BOOST_TEST(apply("c2")->is_unchanged);
    BOOST_TEST(store.writes == 1);
}

BOOST_AUTO_TEST_CASE(recognises_its_change_when_the_answer_was_lost) {
    store.next_write = fake_store::fault::answer_lost;
    const auto result = apply("c1");
    BOOST_REQUIRE(result.ok());
    BOOST_TEST(result->was_read_back);
    BOOST_TEST(store.writes == 1);
}

BOOST_AUTO_TEST_CASE(recognises_it_even_below_a_later_change) {
    store.next_write = fake_store::fault::answer_lost;
    fixture* self = this;
    // The other operator's change comes between the write and the reading.
    auto hooks = store.hooks();
    const auto get = hooks.get;
    bool was_raced = false;
    hooks.get = [&, get](const std::string& key, const auto& done) {
        if (key == "graphs/shop" && store.writes == 1 &&
            !std::exchange(was_raced, true))
            BOOST_TEST(self->apply("theirs", "950").ok());
        get(key, done);
    };
    store_session raced(hooks, [] {});
    auto text = policy::questionnaire_template({"shop"});
    const auto result = apply_answers(raced, text, {"mine", "a", "", 1}, {});
    BOOST_REQUIRE(result.ok());
    BOOST_TEST(result->was_read_back);
    BOOST_TEST(store.writes == 2);
}

BOOST_AUTO_TEST_CASE(tries_again_when_the_write_did_not_arrive) {
    store.next_write = fake_store::fault::not_applied;
    const auto result = apply("c1");
    BOOST_REQUIRE(result.ok());
    BOOST_TEST(!result->was_read_back);
    BOOST_TEST(store.writes == 1);
}

BOOST_AUTO_TEST_CASE(loses_to_another_operator_and_shows_the_difference) {
    BOOST_REQUIRE(apply("c1").ok());
    store.before_write = [this] { BOOST_REQUIRE(apply("c2", "900").ok()); };
    const auto mine = apply("c3", "950");
    BOOST_REQUIRE(!mine.ok());
    BOOST_TEST(int(code_of(mine.status())) == int(error_code::conflict));
    BOOST_TEST((mine.status().message().find("900 ms -> ") !=
                absl::string_view::npos));
    BOOST_TEST(store.writes == 2);
}

BOOST_AUTO_TEST_CASE(needs_the_graph_and_its_owners) {
    store.objects.erase("owners/owner-a");
    BOOST_TEST(int(code_of(apply("c1").status())) ==
               int(error_code::not_found));
    BOOST_TEST(store.writes == 0);
}

BOOST_AUTO_TEST_SUITE_END()
