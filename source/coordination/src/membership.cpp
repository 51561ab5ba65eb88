#include <redwingwind/coordination/membership.hpp>

#include <redwingwind/common/hash.hpp>

#include <algorithm>
#include <bit>

namespace redwingwind::coordination {
namespace {

/// Records and configurations in one datagram: keeps it under 1200 bytes.
constexpr std::size_t most_members = 7;
constexpr std::size_t most_configs = 8;
/// Rounds in which the news of a configuration is passed on, over those that
/// grow with the logarithm of the deployment.
constexpr std::uint32_t rounds_over_log = 2;
/// Rounds in which the news of a node is passed on. With three receivers each,
/// one node in 400 misses it; differing digests bring it there.
constexpr std::uint32_t member_rounds = 2;
constexpr auto expiry_interval = std::chrono::seconds(1);
constexpr std::size_t most_relayed = 256;
/// Digests of a view by bucket are 2 KB; at 11,000 nodes a bucket holds 43.
constexpr std::size_t buckets = 256;
/// A tick this much late means that the process was stopped; answers that
/// came meanwhile are still unread, so nobody is suspected for them.
constexpr int pause_in_intervals = 2;

std::size_t bucket_of(const node_name& name) {
    return digest(name.value) % buckets;
}

std::uint64_t record_digest(const member_record& record) {
    return digest(record.id.name.value,
                  record.id.life.value * 1000003 + record.version);
}

} // namespace

membership::membership(membership_options options, member_record self, hooks h)
    : options_(options), self_(std::move(self)), hooks_(std::move(h)) {
    bucket_digests_.resize(buckets);
    toggle(self_.id.name, record_digest(self_));
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

std::uint64_t membership::view_digest() const {
    return digest_;
}

std::vector<member_record>
membership::records_in(const std::vector<std::uint16_t>& wanted) const {
    std::vector<bool> is_wanted(buckets);
    for (const auto n : wanted)
        if (n < buckets)
            is_wanted[n] = true;
    std::vector<member_record> records;
    if (is_wanted[bucket_of(self_.id.name)])
        records.push_back(self_);
    for (const auto& [name, it] : entries_)
        if (is_wanted[bucket_of(name)])
            records.push_back(it.record);
    return records;
}

void membership::toggle(const node_name& name, std::uint64_t record_digest) {
    digest_ ^= record_digest;
    bucket_digests_[bucket_of(name)] ^= record_digest;
}

std::uint32_t membership::rounds() const {
    const auto log = std::bit_width(live_.size() + 1);
    return static_cast<std::uint32_t>(log) / 2 + rounds_over_log;
}

void membership::queue_news(const member_record& record) {
    member_news_[record.id.name] = {record, member_rounds};
}

void membership::gossip(const config_generation& news) {
    pending_generations_[news.graph] = {news, rounds()};
}

// What is known ------------------------------------------------------------

void membership::set_live(entry& it, bool live) {
    const auto& name = it.record.id.name;
    const bool was =
        it.live_index < live_.size() && live_[it.live_index] == name;
    if (was == live)
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

void membership::store(time_point now, const member_record& record) {
    auto& it = entries_[record.id.name];
    const bool is_new = it.record.id.name.value.empty();
    if (!is_new)
        live_by_domain_[it.record.domain].erase(record.id.name);
    if (!is_gone(record.state))
        live_by_domain_[record.domain].insert(record.id.name);
    toggle(record.id.name, it.digest);
    it.record = record;
    it.since = now;
    it.digest = is_gone(record.state) ? 0 : record_digest(record);
    toggle(record.id.name, it.digest);
    if (is_new)
        it.live_index = live_.size() + 1;
    set_live(it, !is_gone(record.state));
    if (record.state == member_state::suspect)
        suspects_[record.id.name] = now;
    else
        suspects_.erase(record.id.name);
    hooks_.on_change(record);
}

void membership::apply_about_self(const member_record& record) {
    if (record.id.life != self_.id.life || has_left_)
        return;
    const bool is_wrong =
        record.state != member_state::alive && record.version >= self_.version;
    if (!is_wrong)
        return;
    toggle(self_.id.name, record_digest(self_));
    self_.version = record.version + 1;
    toggle(self_.id.name, record_digest(self_));
    queue_news(self_);
}

bool membership::apply(time_point now, const member_record& record) {
    if (record.id.name == self_.id.name) {
        apply_about_self(record);
        return false;
    }
    // Unknown gone nodes are remembered too: old news of them may follow.
    const auto it = entries_.find(record.id.name);
    if (it != entries_.end() && !supersedes(record, it->second.record))
        return false;
    store(now, record);
    return true;
}

void membership::apply_news(time_point now, const member_record& record) {
    if (apply(now, record))
        queue_news(record);
}

void membership::merge(time_point now,
                       const std::vector<member_record>& records) {
    for (const auto& record : records)
        apply(now, record);
}

void membership::suspect(time_point now, const node_name& name) {
    const auto it = entries_.find(name);
    if (it == entries_.end() || it->second.record.state != member_state::alive)
        return;
    auto record = it->second.record;
    record.state = member_state::suspect;
    apply_news(now, record);
}

void membership::set_target(time_point now, const service_name& service,
                            std::uint32_t slots, target_state state) {
    if (self_.service == service && self_.slots == slots &&
        self_.target == state)
        return;
    toggle(self_.id.name, record_digest(self_));
    self_.service = service;
    self_.slots = slots;
    self_.target = state;
    ++self_.version;
    toggle(self_.id.name, record_digest(self_));
    queue_news(self_);
    send_news(now);
}

void membership::leave(time_point now) {
    self_.state = member_state::left;
    self_.target = target_state::draining;
    ++self_.version;
    // Nobody resends for a node that is gone, so more of them are told.
    member_news_[self_.id.name] = {self_,
                                   static_cast<std::uint32_t>(options_.fanout)};
    for (std::size_t n = 0; n < options_.fanout; ++n)
        send_news(now);
    has_left_ = true;
}

// Messages -------------------------------------------------------------------

datagram membership::make(datagram_kind kind) const {
    datagram message;
    message.kind = kind;
    message.sender = self_;
    message.member_digest = digest_;
    message.config_digest = config_digest_;
    attach_news(message);
    return message;
}

void membership::attach_news(datagram& message) const {
    for (const auto& [name, it] : member_news_) {
        if (message.members.size() >= most_members)
            break;
        message.members.push_back(it.news);
    }
    for (const auto& [graph, it] : pending_generations_) {
        if (message.configs.size() >= most_configs)
            break;
        message.configs.push_back(it.news);
    }
}

void membership::send_news(time_point now) {
    next_news_ = now + options_.gossip_interval;
    if (live_.empty() || (member_news_.empty() && pending_generations_.empty()))
        return;
    const auto message = make(datagram_kind::gossip);
    for (std::size_t n = 0; n < options_.fanout; ++n) {
        if (const auto to = news_receiver(n))
            hooks_.send(entries_.at(*to).record.endpoint, message);
    }
    const auto spend = [](auto& news, const auto& key) {
        const auto it = news.find(key);
        if (it != news.end() && --it->second.rounds_left == 0)
            news.erase(it);
    };
    for (const auto& record : message.members)
        spend(member_news_, record.id.name);
    for (const auto& news : message.configs)
        spend(pending_generations_, news.graph);
}

void membership::receive(time_point now, const address& from,
                         const datagram& message) {
    if (has_left_)
        return;
    apply_news(now, message.sender);
    for (const auto& record : message.members)
        apply_news(now, record);
    if (message.kind == datagram_kind::census) {
        answer_census(from, message);
        return;
    }
    for (const auto& news : message.configs)
        hooks_.on_config(message.sender, news);
    switch (message.kind) {
    case datagram_kind::probe:
        on_probe(from, message);
        break;
    case datagram_kind::probe_reply:
        on_answer(message);
        break;
    case datagram_kind::indirect_probe:
        on_relay(now, from, message);
        break;
    case datagram_kind::census_reply:
        for (const auto& news : message.configs)
            hooks_.on_census(message.sender.id, news);
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
    datagram question;
    question.kind = datagram_kind::census;
    question.sender = self_;
    question.configs.push_back({graph, 0});
    hooks_.send(node.endpoint, question);
}

void membership::answer_census(const address& from, const datagram& message) {
    if (message.configs.empty())
        return;
    const auto& graph = message.configs.front().graph;
    datagram answer;
    answer.kind = datagram_kind::census_reply;
    answer.sender = self_;
    answer.configs.push_back({graph, hooks_.generation_of(graph)});
    hooks_.send(from, answer);
}

void membership::on_probe(const address& from, const datagram& message) {
    if (!message.subject.value.empty() && message.subject != self_.id.name)
        return;
    auto answer = make(datagram_kind::probe_reply);
    answer.sequence = message.sequence;
    answer.subject = message.sender.id.name;
    // A prober that thinks this node dead must hear the newer version.
    const auto* known = find(message.sender.id.name);
    if (known != nullptr && is_gone(known->state))
        answer.members.push_back(*known);
    hooks_.send(from, answer);
}

void membership::on_answer(const datagram& message) {
    if (const auto it = relayed_.find(message.sequence); it != relayed_.end()) {
        auto answer = message;
        answer.sequence = it->second.asker_sequence;
        hooks_.send(it->second.asker, answer);
        relayed_.erase(it);
        return;
    }
    if (pending_ && pending_->sequence == message.sequence)
        pending_.reset();
    for (auto& [contact, probe] : contacts_)
        probe.has_answered |= probe.sequence == message.sequence;
}

void membership::on_relay(time_point now, const address& from,
                          const datagram& message) {
    const auto* subject = find(message.subject);
    if (subject == nullptr || relayed_.size() >= most_relayed)
        return;
    auto probe = make(datagram_kind::probe);
    probe.sequence = (next_sequence_++ << 1U) | 1U;
    probe.subject = message.subject;
    relayed_[probe.sequence] = {from, message.sequence, now};
    hooks_.send(subject->endpoint, probe);
}

void membership::compare_digests(time_point now, const datagram& message) {
    if (message.config_digest != config_digest_ && now >= next_config_check_) {
        next_config_check_ = now + options_.gossip_interval;
        hooks_.on_config_mismatch(message.sender);
    }
    // The news under way may be all that differs, unless they are many, as at
    // a start.
    const bool is_news_enough =
        !member_news_.empty() && member_news_.size() <= most_members;
    if (message.member_digest == digest_ || is_news_enough ||
        now < next_exchange_)
        return;
    const auto jitter = hooks_.random() % options_.exchange_interval.count();
    next_exchange_ = now + options_.exchange_interval + duration(jitter);
    hooks_.exchange_views(message.sender);
}

// Probing ---------------------------------------------------------------------

std::optional<node_name> membership::random_live(bool is_own_region) {
    if (live_.empty())
        return std::nullopt;
    constexpr int tries = 8;
    for (int n = 0; n < tries; ++n) {
        const auto& name = live_[hooks_.random() % live_.size()];
        const bool is_near = entries_.at(name).record.region == self_.region;
        if (is_near == is_own_region)
            return name;
    }
    return live_[hooks_.random() % live_.size()];
}

/// One receiver is in another region, where there is one, one anywhere in the
/// own region; the others are in the own failure domain, where bytes cost
/// least.
std::optional<node_name> membership::news_receiver(std::size_t n) {
    if (n == 0)
        return random_live(true);
    const auto far = n == 1 ? random_live(false) : std::nullopt;
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
    return random_live(true);
}

std::optional<node_name> membership::next_subject() {
    if (++probes_ % options_.other_region_every == 0)
        return random_live(false);
    while (true) {
        if (order_.empty()) {
            for (const auto& name : live_)
                if (entries_.at(name).record.region == self_.region)
                    order_.push_back(name);
            for (std::size_t n = order_.size(); n > 1; --n)
                std::swap(order_[n - 1], order_[hooks_.random() % n]);
            if (order_.empty())
                return std::nullopt;
        }
        const auto name = order_.back();
        order_.pop_back();
        const auto* known = find(name);
        if (known != nullptr && !is_gone(known->state))
            return name;
    }
}

void membership::start_probe(time_point now) {
    next_probe_ = now + options_.probe_interval;
    for (auto& [contact, last] : contacts_) {
        if (last.has_answered && !live_.empty())
            continue;
        auto probe = make(datagram_kind::probe);
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
    auto probe = make(datagram_kind::probe);
    probe.sequence = next_sequence_++ << 1U;
    probe.subject = *subject;
    const auto& record = entries_.at(*subject).record;
    if (record.state == member_state::suspect)
        probe.members.push_back(record);
    pending_ = {*subject, probe.sequence, now, false};
    hooks_.send(record.endpoint, probe);
}

void membership::check_probe(time_point now) {
    if (!pending_ || pending_->is_relayed ||
        now - pending_->sent < options_.probe_timeout)
        return;
    pending_->is_relayed = true;
    auto request = make(datagram_kind::indirect_probe);
    request.sequence = pending_->sequence;
    request.subject = pending_->subject;
    for (std::size_t n = 0; n < options_.indirect_probes; ++n) {
        const auto relay = random_live(true);
        if (relay && *relay != pending_->subject)
            hooks_.send(entries_.at(*relay).record.endpoint, request);
    }
}

void membership::probe_remembered(time_point now) {
    next_remembered_ = now + options_.dead_probe_interval;
    std::vector<const member_record*> dead;
    for (const auto& [name, it] : entries_)
        if (it.record.state == member_state::dead)
            dead.push_back(&it.record);
    if (dead.empty())
        return;
    const auto& record = *dead[hooks_.random() % dead.size()];
    auto probe = make(datagram_kind::probe);
    probe.sequence = next_sequence_++ << 1U;
    probe.subject = record.id.name;
    // Hearing that it counts as dead, a node that is not raises its version.
    probe.members.insert(probe.members.begin(), record);
    hooks_.send(record.endpoint, probe);
}

void membership::expire(time_point now) {
    next_expiry_ = now + expiry_interval;
    std::vector<node_name> lapsed;
    for (const auto& [name, since] : suspects_)
        if (now - since >= options_.suspicion_timeout)
            lapsed.push_back(name);
    for (const auto& name : lapsed) {
        auto record = entries_.at(name).record;
        record.state = member_state::dead;
        apply_news(now, record);
    }
    std::erase_if(relayed_, [&](const auto& it) {
        return now - it.second.at > options_.probe_interval;
    });
    std::erase_if(entries_, [&](const auto& it) {
        return is_gone(it.second.record.state) &&
               now - it.second.since > options_.gone_retention;
    });
}

void membership::tick(time_point now) {
    if (has_left_)
        return;
    const bool was_paused =
        last_tick_ != time_point{} &&
        now - last_tick_ > pause_in_intervals * options_.probe_interval;
    if (was_paused) {
        pending_.reset();
        for (auto& [name, since] : suspects_)
            since = now;
    }
    last_tick_ = now;
    check_probe(now);
    if (now >= next_probe_)
        start_probe(now);
    if (now >= next_news_)
        send_news(now);
    if (now >= next_remembered_)
        probe_remembered(now);
    if (now >= next_expiry_)
        expire(now);
}

time_point membership::next_due() const {
    auto due = std::min(next_probe_, next_expiry_);
    if (!member_news_.empty() || !pending_generations_.empty())
        due = std::min(due, next_news_);
    if (pending_ && !pending_->is_relayed)
        due = std::min(due, pending_->sent + options_.probe_timeout);
    return due;
}

} // namespace redwingwind::coordination
