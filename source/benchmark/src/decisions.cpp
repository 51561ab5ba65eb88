// What one decision costs, and how that grows.

#include <redwingwind/coordination/membership.hpp>
#include <redwingwind/coordination/ticket.hpp>
#include <redwingwind/engine/call_router.hpp>
#include <redwingwind/overload/admission.hpp>
#include <redwingwind/overload/balancer.hpp>
#include <redwingwind/overload/level_table.hpp>
#include <redwingwind/overload/placement.hpp>
#include <redwingwind/overload/request_retry_budget.hpp>
#include <redwingwind/usage/meter.hpp>

#include <benchmark/benchmark.h>

#include <string>

namespace redwingwind {
namespace {

using overload::importance;

time_point at(std::int64_t us) {
    return time_point(duration(us + 1000000));
}

coordination::keyring keys() {
    return *coordination::keyring::parse("1:000102030405060708090a0b0c0d0e0f");
}

/// A call arrives and another one ends, at a target with this many running.
void admission(benchmark::State& state) {
    const auto running = static_cast<std::uint64_t>(state.range(0));
    overload::admission_options options;
    options.limit.announced_slots = static_cast<std::uint32_t>(running);
    options.limit.warm_up = duration::zero();
    overload::admission a(
        options, [](const owner_name&) { return 1.0; }, at(0));
    std::uint64_t id = 0;
    std::int64_t now = 0;
    const auto far = at(1000000000);
    const auto arrive = [&] {
        const auto kind = static_cast<importance>(id % 4);
        a.arrive(
            at(now),
            {id, overload::rank_of(kind, std::to_string(id)), {"owner"}, far});
        ++id;
    };
    while (a.running() < running)
        arrive();
    std::uint64_t oldest = 0;
    for (auto _ : state) {
        now += 10;
        arrive();
        a.finish(at(now), oldest++, overload::execution_result::completed);
    }
}
BENCHMARK(admission)->Arg(10)->Arg(100)->Arg(1000);

/// Choosing among the targets of a service that has this many.
void routing(benchmark::State& state) {
    engine::call_router router({}, {"self"}, {"r"}, {"d0"});
    for (std::int64_t n = 0; n < state.range(0); ++n) {
        coordination::member_record record;
        record.id = {{"n" + std::to_string(n)}, {1}};
        record.region = {"r"};
        record.domain = {"d" + std::to_string(n % 14)};
        record.service = {"s"};
        record.slots = 10;
        record.target = coordination::target_state::ready;
        router.on_member(record);
    }
    const auto random = make_random(1);
    for (auto _ : state)
        benchmark::DoNotOptimize(router.pick(at(5000000), {"s"}, {}, random));
}
BENCHMARK(routing)->Arg(3)->Arg(37)->Arg(1000);

/// Choosing by forecast among so many targets in four failure domains.
void choice_by_forecast(benchmark::State& state) {
    overload::placement targets({}, {"d0"});
    for (std::int64_t n = 0; n < state.range(0); ++n) {
        const node_name node{"n" + std::to_string(n)};
        targets.update({node, {"d" + std::to_string(n % 4)}, 32});
        targets.on_load_report(
            node, at(n), {20, 0, 32, static_cast<std::uint16_t>(60 + n % 100)});
    }
    const auto random = make_random(1);
    std::int64_t now = 300000;
    for (auto _ : state)
        benchmark::DoNotOptimize(targets.pick(at(++now), {}, random));
}
BENCHMARK(choice_by_forecast)->Arg(17)->Arg(300);

/// Looking up the level of one of so many routes, and learning from a reply.
void level(benchmark::State& state) {
    overload::level_table table;
    const std::vector<overload::service_admission_level> told{{{"a"}, 100},
                                                              {{"b"}, 50}};
    for (std::int64_t n = 0; n < state.range(0); ++n)
        table.learn("service/" + std::to_string(n), told, at(0));
    for (auto _ : state) {
        benchmark::DoNotOptimize(table.level("service/1", at(1)));
        table.learn("service/1", told, at(1));
    }
}
BENCHMARK(level)->Arg(3)->Arg(300)->Arg(3000);

void retry_ledger(benchmark::State& state) {
    overload::request_retry_budget ledger(4);
    for (auto _ : state) {
        const auto lent = ledger.allocate();
        ledger.reclaim(lent, lent);
        benchmark::DoNotOptimize(ledger.left());
    }
}
BENCHMARK(retry_ledger);

/// Checking a ticket's signature and claiming it, with so many in use.
void ticket_check(benchmark::State& state) {
    const auto ring = keys();
    coordination::ticket_table table(
        {1000000, std::size_t{64} << 20U, std::chrono::seconds(60)},
        {{"home"}, {1}});
    std::vector<std::string> texts;
    for (std::int64_t n = 0; n < state.range(0); ++n) {
        const auto t = table.mint(at(0));
        table.claim(at(0), t, 1);
        texts.push_back(to_text(t, ring));
    }
    std::size_t n = 0;
    for (auto _ : state) {
        const auto t = parse_ticket(texts[n++ % texts.size()], ring);
        benchmark::DoNotOptimize(table.claim(at(1), *t, 1));
    }
}
BENCHMARK(ticket_check)->Arg(100)->Arg(20000);

void seal_and_open(benchmark::State& state) {
    const auto ring = keys();
    const std::string payload(static_cast<std::size_t>(state.range(0)), 'x');
    for (auto _ : state) {
        const auto sealed = ring.seal(payload, "context");
        benchmark::DoNotOptimize(ring.open(sealed, "context").ok());
    }
}
BENCHMARK(seal_and_open)->Arg(300)->Arg(10000);

coordination::member_record record_of(std::int64_t n) {
    coordination::member_record record;
    record.id = {{"node-" + std::to_string(n)}, {1}};
    record.endpoint = {"10.0.0.1", static_cast<std::uint16_t>(n % 60000 + 1)};
    record.region = {"region-" + std::to_string(n % 4)};
    record.domain = {"domain-" + std::to_string(n % 14)};
    record.service = {"service-" + std::to_string(n % 300)};
    record.slots = 10;
    record.target = coordination::target_state::ready;
    return record;
}

/// One second of a node's membership among so many nodes: a probe sent, one
/// answered, one change of a node heard three times and passed on.
void membership_second(benchmark::State& state) {
    coordination::membership::hooks h;
    const auto random = make_random(1);
    std::uint64_t bytes = 0;
    h.send = [&](const coordination::address&,
                 const coordination::datagram& message) {
        bytes += encode(message).size() + coordination::seal_bytes;
    };
    h.exchange_views = [](const coordination::member_record&) {};
    h.on_change = [](const coordination::member_record&) {};
    h.on_config = [](const coordination::member_record&,
                     const coordination::config_generation&) {};
    h.on_config_mismatch = [](const coordination::member_record&) {};
    h.random = random;
    coordination::membership members({}, record_of(0), h);
    std::vector<coordination::member_record> all;
    for (std::int64_t n = 1; n < state.range(0); ++n)
        all.push_back(record_of(n));
    members.merge(at(0), all);
    std::int64_t now = 0;
    // The news of so many new nodes first.
    for (int n = 0; n < 40000 && members.next_due() < at(now + 500000); ++n)
        members.tick(at(now += 100000));
    bytes = 0;
    std::uint32_t version = 1;
    coordination::datagram probe;
    probe.kind = coordination::datagram_kind::probe;
    for (auto _ : state) {
        const auto end = now + 1000000;
        probe.sender = all[random() % all.size()];
        members.receive(at(now), probe.sender.endpoint, probe);
        auto& changed = all[random() % all.size()];
        changed.version = ++version;
        coordination::datagram news;
        news.sender = probe.sender;
        news.members.push_back(changed);
        for (int n = 0; n < 3; ++n)
            members.receive(at(now), probe.sender.endpoint, news);
        for (; now < end; now += 100000)
            members.tick(at(now));
    }
    state.counters["bytes_per_s"] =
        static_cast<double>(bytes) / static_cast<double>(state.iterations());
}
BENCHMARK(membership_second)->Arg(100)->Arg(1000)->Arg(11000);

void meter(benchmark::State& state) {
    usage::meter m(node_incarnation{{"n"}, {1}});
    for (auto _ : state)
        m.add({{"owner"},
               {"service"},
               importance::order,
               true,
               false,
               false,
               100,
               200});
}
BENCHMARK(meter);

} // namespace
} // namespace redwingwind

BENCHMARK_MAIN();
