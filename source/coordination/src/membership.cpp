#include <redwingwind/coordination/membership.hpp>

#include <redwingwind/common/hash.hpp>
#include <redwingwind/coordination/departure.hpp>

#include <algorithm>
#include <bit>
#include <tuple>

namespace redwingwind::coordination {
namespace {

/// Bounds on one datagram's records and generations; they keep it under 1200
/// bytes.
constexpr std::size_t max_records_per_datagram = 7;
constexpr std::size_t max_generations_per_datagram = 8;
/// Targets follow each other at one address more slowly than their statements
/// are forgotten.
constexpr std::size_t max_departures_per_address = 4;
/// Gossip rounds for a configuration's generation, in addition to the rounds
/// that grow with the logarithm of the number of nodes.
constexpr std::uint32_t extra_config_rounds = 2;
/// Gossip rounds for a record. With three receivers per round, one node in 400
/// misses it and gets it through the view exchange, as its digest differs.
constexpr std::uint32_t record_gossip_rounds = 2;
constexpr auto expiry_interval = std::chrono::seconds(1);
constexpr std::size_t max_indirect_probes = 256;
/// The bucket digests of a view take 2 KB; with 11,000 nodes a bucket holds 43.
constexpr std::size_t bucket_count = 256;
/// A tick that is late by this many probe intervals means that the process was
/// paused. Replies that arrived meanwhile are still unread, so no node is
/// suspected for a missing one.
constexpr int pause_threshold_intervals = 2;

std::size_t bucket_of(const node_name& name) {
    return digest(name.value) % bucket_count;
}

std::uint64_t record_digest(const member_record& record) {
    return digest(record.id.name.value,
                  record.id.life.value * 1000003 + record.version);
}

} // namespace

membership::membership(membership_options options, member_record self, hooks h)
    : options_(options), self_(std::move(self)), hooks_(std::move(h)),
      replicator_(options.replication, replicator_hooks()) {
    bucket_digests_.resize(bucket_count);
    toggle_digest(self_.id.name, record_digest(self_));
}

void membership::add_contact(const address& contact) {
    if (contact != self_.endpoint)
        contacts_.try_emplace(contact);
}

const member_record* membership::find(const node_name& name) const {
    if (name == self_.id.name)
        return &self_;
    const auto it = entries_.find(name);
    return it == entries_.end() ? nullptr : &it->second.record;
}

std::vector<member_record> membership::all() const {
    std::vector<member_record> records;
    records.reserve(entries_.size());
    for (const auto& [name, it] : entries_)
        records.push_back(it.record);
    return records;
}

std::vector<node_name>
membership::live_in(const failure_domain_name& domain) const {
    std::vector<node_name> names;
    if (self_.domain == domain && !has_left_)
        names.push_back(self_.id.name);
    const auto it = live_by_domain_.find(domain);
    if (it != live_by_domain_.end())
        names.insert(names.end(), it->second.begin(), it->second.end());
    return names;
}

std::vector<member_record>
membership::departures_at(time_point now, const member_record& node) const {
    std::vector<member_record> records;
    const auto found = departed_at_.find(node.endpoint);
    if (found == departed_at_.end())
        return records;
    const auto& names = found->second;
    for (auto it = names.rbegin(); it != names.rend(); ++it) {
        const auto& known = entries_.at(*it);
        const auto departure = departure_of(known.record);
        const auto& reporter =
            departure ? departure->reporter : known.record.id.name;
        if (reporter != node.id.name &&
            now - known.since < options_.departure_retention)
            records.push_back(known.record);
    }
    return records;
}

void membership::attach_departures(time_point now,
                                   const member_record& receiver,
                                   datagram& message) const {
    const auto departures = departures_at(now, receiver);
    if (departures.empty())
        return;
    message.members.resize(std::min(
        message.members.size(), max_records_per_datagram - departures.size()));
    message.members.insert(message.members.end(), departures.begin(),
                           departures.end());
}

std::uint64_t membership::view_digest() const {
    return digest_;
}

std::vector<member_record>
membership::records_in(const std::vector<std::uint16_t>& wanted) const {
    std::vector<bool> is_wanted(bucket_count);
    for (const auto n : wanted)
        if (n < bucket_count)
            is_wanted[n] = true;
    std::vector<member_record> records;
    if (is_wanted[bucket_of(self_.id.name)])
        records.push_back(self_);
    for (const auto& [name, it] : entries_)
        if (is_wanted[bucket_of(name)])
            records.push_back(it.record);
    return records;
}

void membership::toggle_digest(const node_name& name,
                               std::uint64_t record_digest) {
    digest_ ^= record_digest;
    bucket_digests_[bucket_of(name)] ^= record_digest;
}

std::uint32_t membership::config_gossip_rounds() const {
    const auto log = std::bit_width(live_.size() + 1);
    return static_cast<std::uint32_t>(log) / 2 + extra_config_rounds;
}

void membership::queue_gossip(const member_record& record) {
    pending_records_[record.id.name] = {record, record_gossip_rounds};
}

void membership::gossip(const config_generation& held) {
    pending_generations_[held.graph] = {held, config_gossip_rounds()};
}

// Records ------------------------------------------------------------------

void membership::set_live(entry& it, bool live) {
    const auto& name = it.record.id.name;
    const bool was_live =
        it.live_index < live_.size() && live_[it.live_index] == name;
    if (was_live == live)
        return;
    if (live) {
        it.live_index = live_.size();
        live_.push_back(name);
        return;
    }
    const auto last = live_.back();
    entries_.at(last).live_index = it.live_index;
    live_[it.live_index] = last;
    live_.pop_back();
    it.live_index = live_.size() + 1;
}

void membership::forget_departure(const member_record& record) {
    const auto it = departed_at_.find(record.endpoint);
    if (it == departed_at_.end())
        return;
    std::erase(it->second, record.id.name);
    if (it->second.empty())
        departed_at_.erase(it);
}

void membership::remember_departure(const member_record& record) {
    auto& names = departed_at_[record.endpoint];
    std::erase(names, record.id.name);
    names.push_back(record.id.name);
    if (names.size() > max_departures_per_address)
        names.erase(names.begin());
}

std::vector<node_name>
membership::choose_spread(std::size_t n, const std::set<node_name>& asked) {
    // A sample is enough for a node in each failure domain.
    constexpr std::size_t sampled_per_chosen = 16;
    struct candidate {
        bool was_asked{};
        /// How many of its failure domain come before.
        std::size_t rank{};
        node_name name;
    };
    std::vector<candidate> candidates;
    std::set<node_name> sampled;
    std::map<failure_domain_name, std::size_t> of_domain;
    for (std::size_t k = 0; k < n * sampled_per_chosen && !live_.empty(); ++k) {
        const auto& name = live_[hooks_.random() % live_.size()];
        if (!sampled.insert(name).second)
            continue;
        const bool was_asked = asked.contains(name);
        const auto& domain = entries_.at(name).record.domain;
        candidates.push_back(
            {was_asked, was_asked ? 0 : of_domain[domain]++, name});
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const candidate& a, const candidate& b) {
                         return std::tie(a.was_asked, a.rank) <
                                std::tie(b.was_asked, b.rank);
                     });
    candidates.resize(std::min(candidates.size(), n));
    std::vector<node_name> chosen;
    for (auto& it : candidates)
        chosen.push_back(std::move(it.name));
    return chosen;
}

record_replicator::hooks membership::replicator_hooks() {
    record_replicator::hooks h;
    h.choose = [this](std::size_t n, const std::set<node_name>& asked) {
        return choose_spread(n, asked);
    };
    h.live_nodes = [this] { return live_.size(); };
    // A probe, as its reply shows that the receiver took what it carried.
    h.send = [this](const node_name& to, const member_record& record) {
        auto probe = make_datagram(datagram_kind::probe);
        probe.sequence = next_sequence_++ << 1U;
        probe.subject = to;
        probe.members.insert(probe.members.begin(), record);
        probe.members.resize(
            std::min(probe.members.size(), max_records_per_datagram));
        hooks_.send(entries_.at(to).record.endpoint, probe);
        return probe.sequence;
    };
    return h;
}

void membership::replicate(time_point now, const member_record& record,
                           record_replicator::done_hook done) {
    apply_and_gossip(now, record);
    send_gossip(now);
    replicator_.start(now, record, std::move(done));
}

void membership::store(time_point now, const member_record& record) {
    auto& it = entries_[record.id.name];
    const bool is_new = it.record.id.name.value.empty();
    if (!is_new) {
        live_by_domain_[it.record.domain].erase(record.id.name);
        if (it.record.endpoint != record.endpoint)
            forget_departure(it.record);
    }
    if (!is_gone(record.state))
        live_by_domain_[record.domain].insert(record.id.name);
    toggle_digest(record.id.name, it.digest);
    it.record = record;
    if (record.target == target_state::draining)
        remember_departure(record);
    else
        forget_departure(record);
    it.since = now;
    it.digest = is_gone(record.state) ? 0 : record_digest(record);
    toggle_digest(record.id.name, it.digest);
    if (is_new) {
        it.live_index = live_.size() + 1;
        it.first_heard = now;
    }
    const bool was_alone = live_.empty();
    set_live(it, !is_gone(record.state));
    // The first one met may know of this node's earlier lives.
    if (was_alone && !live_.empty())
        next_probe_ = now;
    if (record.state == member_state::suspect)
        suspects_[record.id.name] = now;
    else
        suspects_.erase(record.id.name);
    hooks_.on_change(record);
}

void membership::refute(const member_record& record) {
    if (record.id.life != self_.id.life || has_left_)
        return;
    const bool needs_refutation =
        record.state != member_state::alive && record.version >= self_.version;
    if (!needs_refutation)
        return;
    toggle_digest(self_.id.name, record_digest(self_));
    self_.version = record.version + 1;
    toggle_digest(self_.id.name, record_digest(self_));
    queue_gossip(self_);
}

bool membership::is_earlier_life_here(const member_record& record) const {
    return record.endpoint == self_.endpoint && record.endpoint.port != 0 &&
           record.id.name != self_.id.name && !is_gone(record.state);
}

bool membership::apply(time_point now, const member_record& record) {
    if (record.id.name == self_.id.name) {
        refute(record);
        return false;
    }
    // Records of unknown dead and left nodes are kept too, because outdated
    // gossip that calls them alive may follow.
    const auto it = entries_.find(record.id.name);
    if (it != entries_.end() && !supersedes(record, it->second.record))
        return false;
    store(now, record);
    return true;
}

void membership::apply_and_gossip(time_point now, const member_record& record) {
    if (is_earlier_life_here(record)) {
        // This node has the address, so the other life has ended.
        auto ended = record;
        ended.state = member_state::left;
        apply_and_gossip(now, ended);
        return;
    }
    if (apply(now, record))
        queue_gossip(record);
}

void membership::merge(time_point now,
                       const std::vector<member_record>& records) {
    for (const auto& record : records) {
        if (is_earlier_life_here(record))
            apply_and_gossip(now, record);
        else
            apply(now, record);
    }
}

bool membership::declare_replaced(time_point now, const node_name& name,
                                  time_point since) {
    const auto it = entries_.find(name);
    if (it == entries_.end() || is_gone(it->second.record.state) ||
        it->second.first_heard >= since)
        return false;
    auto record = it->second.record;
    record.state = member_state::dead;
    apply_and_gossip(now, record);
    return true;
}

void membership::suspect(time_point now, const node_name& name) {
    const auto it = entries_.find(name);
    if (it == entries_.end() || it->second.record.state != member_state::alive)
        return;
    auto record = it->second.record;
    record.state = member_state::suspect;
    apply_and_gossip(now, record);
}

void membership::set_target(time_point now, const service_name& service,
                            std::uint32_t slots, target_state state) {
    if (self_.service == service && self_.slots == slots &&
        self_.target == state)
        return;
    toggle_digest(self_.id.name, record_digest(self_));
    self_.service = service;
    self_.slots = slots;
    self_.target = state;
    ++self_.version;
    toggle_digest(self_.id.name, record_digest(self_));
    queue_gossip(self_);
    send_gossip(now);
}

void membership::leave(time_point now) {
    self_.state = member_state::left;
    if (self_.target == target_state::ready)
        self_.target = target_state::stopping;
    ++self_.version;
    // Nothing is sent after leaving, so several rounds of gossip are sent now.
    pending_records_[self_.id.name] = {
        self_, static_cast<std::uint32_t>(options_.fanout)};
    for (std::size_t n = 0; n < options_.fanout; ++n)
        send_gossip(now);
    has_left_ = true;
}

// Messages -------------------------------------------------------------------

datagram membership::make_datagram(datagram_kind kind) const {
    datagram message;
    message.kind = kind;
    message.sender = self_;
    message.member_digest = digest_;
    message.config_digest = config_digest_;
    attach_gossip(message);
    return message;
}

void membership::attach_gossip(datagram& message) const {
    for (const auto& [name, it] : pending_records_) {
        if (message.members.size() >= max_records_per_datagram)
            break;
        message.members.push_back(it.payload);
    }
    for (const auto& [graph, it] : pending_generations_) {
        if (message.configs.size() >= max_generations_per_datagram)
            break;
        message.configs.push_back(it.payload);
    }
}

void membership::send_gossip(time_point now) {
    next_gossip_ = now + options_.gossip_interval;
    if (live_.empty() ||
        (pending_records_.empty() && pending_generations_.empty()))
        return;
    const auto message = make_datagram(datagram_kind::gossip);
    for (std::size_t n = 0; n < options_.fanout; ++n) {
        if (const auto to = gossip_receiver(n))
            hooks_.send(entries_.at(*to).record.endpoint, message);
    }
    const auto consume_round = [](auto& pending, const auto& key) {
        const auto it = pending.find(key);
        if (it != pending.end() && --it->second.rounds_left == 0)
            pending.erase(it);
    };
    for (const auto& record : message.members)
        consume_round(pending_records_, record.id.name);
    for (const auto& reported : message.configs)
        consume_round(pending_generations_, reported.graph);
}

void membership::receive(time_point now, const address& from,
                         const datagram& message) {
    if (has_left_)
        return;
    apply_and_gossip(now, message.sender);
    for (const auto& record : message.members)
        apply_and_gossip(now, record);
    if (message.kind == datagram_kind::census) {
        reply_to_census(from, message);
        return;
    }
    for (const auto& reported : message.configs)
        hooks_.on_config(message.sender, reported);
    switch (message.kind) {
    case datagram_kind::probe:
        on_probe(now, from, message);
        break;
    case datagram_kind::probe_reply:
        on_probe_reply(message);
        break;
    case datagram_kind::indirect_probe:
        on_indirect_probe(now, from, message);
        break;
    case datagram_kind::census_reply:
        for (const auto& reported : message.configs)
            hooks_.on_census(message.sender.id, reported);
        break;
    case datagram_kind::census:
    case datagram_kind::gossip:
        break;
    }
    if (message.kind == datagram_kind::probe ||
        message.kind == datagram_kind::probe_reply)
        compare_digests(now, message);
}

void membership::ask_census(const member_record& node,
                            const graph_name& graph) {
    datagram query;
    query.kind = datagram_kind::census;
    query.sender = self_;
    query.configs.push_back({graph, 0});
    hooks_.send(node.endpoint, query);
}

void membership::reply_to_census(const address& from, const datagram& message) {
    if (message.configs.empty())
        return;
    const auto& graph = message.configs.front().graph;
    datagram reply;
    reply.kind = datagram_kind::census_reply;
    reply.sender = self_;
    reply.configs.push_back({graph, hooks_.generation_of(graph)});
    hooks_.send(from, reply);
}

void membership::on_probe(time_point now, const address& from,
                          const datagram& message) {
    if (!message.subject.value.empty() && message.subject != self_.id.name)
        return;
    auto reply = make_datagram(datagram_kind::probe_reply);
    reply.sequence = message.sequence;
    reply.subject = message.sender.id.name;
    // A prober that is dead or left in this view must learn of it, so that it
    // raises its version.
    const auto* known = find(message.sender.id.name);
    if (known != nullptr && is_gone(known->state))
        reply.members.insert(reply.members.begin(), *known);
    attach_departures(now, message.sender, reply);
    hooks_.send(from, reply);
}

void membership::on_probe_reply(const datagram& message) {
    if (const auto it = indirect_probes_.find(message.sequence);
        it != indirect_probes_.end()) {
        auto reply = message;
        reply.sequence = it->second.requester_sequence;
        hooks_.send(it->second.requester, reply);
        indirect_probes_.erase(it);
        return;
    }
    if (pending_ && pending_->sequence == message.sequence)
        pending_.reset();
    replicator_.on_confirmed(message.sequence);
    for (auto& [contact, probe] : contacts_)
        probe.has_replied |= probe.sequence == message.sequence;
}

void membership::on_indirect_probe(time_point now, const address& from,
                                   const datagram& message) {
    const auto* subject = find(message.subject);
    if (subject == nullptr || indirect_probes_.size() >= max_indirect_probes)
        return;
    auto probe = make_datagram(datagram_kind::probe);
    probe.sequence = (next_sequence_++ << 1U) | 1U;
    probe.subject = message.subject;
    indirect_probes_[probe.sequence] = {from, message.sequence, now};
    hooks_.send(subject->endpoint, probe);
}

void membership::compare_digests(time_point now, const datagram& message) {
    if (message.config_digest != config_digest_ && now >= next_config_check_) {
        next_config_check_ = now + options_.gossip_interval;
        hooks_.on_config_mismatch(message.sender);
    }
    // The pending records may be the whole difference, unless there are many,
    // as at startup.
    const bool is_gossip_enough =
        !pending_records_.empty() &&
        pending_records_.size() <= max_records_per_datagram;
    if (message.member_digest == digest_ || is_gossip_enough ||
        now < next_exchange_)
        return;
    const auto jitter = hooks_.random() % options_.exchange_interval.count();
    next_exchange_ = now + options_.exchange_interval + duration(jitter);
    hooks_.exchange_views(message.sender);
}

// Probing ---------------------------------------------------------------------

std::optional<node_name> membership::random_live_node(bool is_own_region) {
    if (live_.empty())
        return std::nullopt;
    constexpr int tries = 8;
    for (int n = 0; n < tries; ++n) {
        const auto& name = live_[hooks_.random() % live_.size()];
        const bool is_same_region =
            entries_.at(name).record.region == self_.region;
        if (is_same_region == is_own_region)
            return name;
    }
    return live_[hooks_.random() % live_.size()];
}

/// One receiver is anywhere in this region and one in another region, if there
/// is one. The others are in this failure domain, where traffic costs least.
std::optional<node_name> membership::gossip_receiver(std::size_t n) {
    if (n == 0)
        return random_live_node(true);
    const auto far = n == 1 ? random_live_node(false) : std::nullopt;
    const bool is_far = far && entries_.at(*far).record.region != self_.region;
    return is_far ? far : random_in_domain();
}

std::optional<node_name> membership::random_in_domain() {
    constexpr int tries = 16;
    for (int n = 0; n < tries && !live_.empty(); ++n) {
        const auto& name = live_[hooks_.random() % live_.size()];
        if (entries_.at(name).record.domain == self_.domain)
            return name;
    }
    return random_live_node(true);
}

std::optional<node_name> membership::next_subject() {
    if (++probe_count_ % options_.other_region_every == 0)
        return random_live_node(false);
    while (true) {
        if (probe_order_.empty()) {
            for (const auto& name : live_)
                if (entries_.at(name).record.region == self_.region)
                    probe_order_.push_back(name);
            for (std::size_t n = probe_order_.size(); n > 1; --n)
                std::swap(probe_order_[n - 1],
                          probe_order_[hooks_.random() % n]);
            if (probe_order_.empty())
                return std::nullopt;
        }
        const auto name = probe_order_.back();
        probe_order_.pop_back();
        const auto* known = find(name);
        if (known != nullptr && !is_gone(known->state))
            return name;
    }
}

void membership::start_probe(time_point now) {
    next_probe_ = now + options_.probe_interval;
    for (auto& [contact, last] : contacts_) {
        if (last.has_replied && !live_.empty())
            continue;
        auto probe = make_datagram(datagram_kind::probe);
        probe.sequence = next_sequence_++ << 1U;
        last.sequence = probe.sequence;
        hooks_.send(contact, probe);
    }
    if (pending_) {
        suspect(now, pending_->subject);
        pending_.reset();
    }
    const auto subject = next_subject();
    if (!subject)
        return;
    auto probe = make_datagram(datagram_kind::probe);
    probe.sequence = next_sequence_++ << 1U;
    probe.subject = *subject;
    const auto& record = entries_.at(*subject).record;
    if (record.state == member_state::suspect)
        probe.members.push_back(record);
    attach_departures(now, record, probe);
    pending_ = {*subject, probe.sequence, now, false};
    hooks_.send(record.endpoint, probe);
}

void membership::check_probe(time_point now) {
    if (!pending_ || pending_->is_indirect ||
        now - pending_->sent < options_.probe_timeout)
        return;
    pending_->is_indirect = true;
    auto request = make_datagram(datagram_kind::indirect_probe);
    request.sequence = pending_->sequence;
    request.subject = pending_->subject;
    for (std::size_t n = 0; n < options_.indirect_probes; ++n) {
        const auto prober = random_live_node(true);
        if (prober && *prober != pending_->subject)
            hooks_.send(entries_.at(*prober).record.endpoint, request);
    }
}

void membership::probe_dead(time_point now) {
    next_dead_probe_ = now + options_.dead_probe_interval;
    std::vector<const member_record*> dead;
    for (const auto& [name, it] : entries_)
        if (it.record.state == member_state::dead)
            dead.push_back(&it.record);
    if (dead.empty())
        return;
    const auto& record = *dead[hooks_.random() % dead.size()];
    auto probe = make_datagram(datagram_kind::probe);
    probe.sequence = next_sequence_++ << 1U;
    probe.subject = record.id.name;
    // A live node that receives its own record as dead raises its version.
    probe.members.insert(probe.members.begin(), record);
    hooks_.send(record.endpoint, probe);
}

void membership::expire(time_point now) {
    next_expiry_ = now + expiry_interval;
    std::vector<node_name> timed_out;
    for (const auto& [name, since] : suspects_)
        if (now - since >= options_.suspicion_timeout)
            timed_out.push_back(name);
    for (const auto& name : timed_out) {
        auto record = entries_.at(name).record;
        record.state = member_state::dead;
        apply_and_gossip(now, record);
    }
    std::erase_if(indirect_probes_, [&](const auto& it) {
        return now - it.second.sent > options_.probe_interval;
    });
    std::erase_if(entries_, [&](const auto& it) {
        const bool is_due = is_gone(it.second.record.state) &&
                            now - it.second.since > options_.gone_retention;
        if (is_due)
            forget_departure(it.second.record);
        return is_due;
    });
}

void membership::tick(time_point now) {
    if (has_left_)
        return;
    const bool was_paused =
        last_tick_ != time_point{} &&
        now - last_tick_ > pause_threshold_intervals * options_.probe_interval;
    if (was_paused) {
        pending_.reset();
        for (auto& [name, since] : suspects_)
            since = now;
    }
    last_tick_ = now;
    replicator_.tick(now);
    check_probe(now);
    if (now >= next_probe_)
        start_probe(now);
    if (now >= next_gossip_)
        send_gossip(now);
    if (now >= next_dead_probe_)
        probe_dead(now);
    if (now >= next_expiry_)
        expire(now);
}

time_point membership::next_due() const {
    auto due = std::min({next_probe_, next_expiry_, replicator_.next_due()});
    if (!pending_records_.empty() || !pending_generations_.empty())
        due = std::min(due, next_gossip_);
    if (pending_ && !pending_->is_indirect)
        due = std::min(due, pending_->sent + options_.probe_timeout);
    return due;
}

} // namespace redwingwind::coordination
