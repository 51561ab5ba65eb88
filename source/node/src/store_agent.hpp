#pragma once

#include <redwingwind/common/time.hpp>
#include <redwingwind/engine/node_core.hpp>
#include <redwingwind/platform_adapter/object_store.hpp>

#include <cstdint>
#include <functional>
#include <string>

#include "lost_graphs.hpp"
#include "store_history.hpp"

namespace redwingwind::node {

struct store_agent_options {
    /// How often a node looks whether a duty is its own.
    duration duty_interval{std::chrono::seconds(1)};
    duration watch_time{std::chrono::seconds(20)};
    duration least_pause{std::chrono::milliseconds(200)};
    duration most_pause{std::chrono::seconds(10)};
    duration usage_period{std::chrono::seconds(10)};
    /// Nodes of a failure domain that hold the watch, and that are seeds.
    std::size_t watchers{2};
    std::size_t seeds{3};
    /// After a change of the store's era, what was lost is written again at
    /// random times within this.
    duration era_spread{std::chrono::seconds(3)};
    /// A seed of a store that tells its era reads its entry this often; it may
    /// make no other call that tells of a change of era.
    duration seed_check_interval{std::chrono::seconds(10)};
    /// Usage written within at least this time is kept to be written again:
    /// longer than the age of the copies that a store restarts from.
    duration usage_kept{std::chrono::seconds(60)};
};

struct store_agent_counters {
    std::uint64_t calls{};
    std::uint64_t failures{};
    std::uint64_t usage_writes{};
    std::uint64_t era_changes{};
    std::uint64_t late_responses{};
    /// Graphs written again after a change of era.
    std::uint64_t graphs_rewritten{};
};

/// A node's dealings with the platform's store: finds the first peers there,
/// and while the duty falls to it, keeps the seeds, watches configurations
/// and writes the roll-up of usage. While the store is away it asks again
/// after pauses that double and differ between nodes. When the store has
/// restarted from a copy, nodes with a duty write again what it lost.
class store_agent {
  public:
    struct hooks {
        std::function<void(duration, std::function<void()>)> after;
        clock_hook now;
        std::function<std::uint64_t()> wall_us;
        random_hook random;
        /// A conditional write met a newer object, or the store failed.
        std::function<void(const std::string& what, const absl::Status&)>
            on_failure;
        /// The store restarted from a copy; its revisions are issued anew.
        std::function<void(std::uint64_t before, std::uint64_t now)> on_era;
    };

    store_agent(store_agent_options options,
                platform_adapter::object_store store, engine::node_core& core,
                hooks h);

    void start();
    /// Writes what usage is known, for a planned stop; then calls back.
    void flush_usage(std::function<void()> done);

    bool is_watching() const { return is_watching_; }
    const store_agent_counters& counters() const { return counters_; }
    std::uint64_t era() const { return history_.era(); }

  private:
    /// The pause before the next try, doubled by each failure in a row.
    class backoff {
      public:
        duration next(const store_agent_options& options,
                      const random_hook& random);
        void reset() { failures_ = 0; }

      private:
        std::uint32_t failures_{};
    };

    /// To be called first with the era of each response.
    era_effect note_era(std::uint64_t era);
    void find_peers();
    void on_seeds(const platform_adapter::listing& seeds);
    void look_for_duties();
    bool has_duty(const std::string& duty, std::size_t holders,
                  std::size_t* place = nullptr) const;
    void keep_seeds();
    void keep_seed(std::size_t place);
    std::string seed_text() const;
    void write_seed(const std::string& key, std::uint64_t over_version);
    void on_seed_written(std::uint64_t era_at_sending,
                         const absl::StatusOr<std::uint64_t>& version);
    void list_graphs();
    void list_graphs_later(duration delay);
    void on_listed(const absl::StatusOr<platform_adapter::listing>& graphs);
    void watch_graphs();
    void on_watched(const store_position& since,
                    const absl::StatusOr<platform_adapter::listing>& graphs);
    void write_lost_graphs(const platform_adapter::listing& stored);
    void write_graph(const graph_write& graph);
    void offer_graphs(const platform_adapter::listing& graphs);
    void write_usage(std::function<void()> done);
    void put_usage(const std::string& key, const std::string& old_text,
                   std::uint64_t version, std::function<void()> done);
    void on_usage_written(std::uint64_t era_at_sending,
                          const absl::StatusOr<std::uint64_t>& written);
    /// Keeps usage that the store holds, to be written again when it is lost.
    void keep_written(const usage::roll_up& rows);
    void fail(const std::string& what, const absl::Status& status);

    store_agent_options options_;
    platform_adapter::object_store store_;
    engine::node_core& core_;
    hooks hooks_;
    backoff peers_backoff_;
    backoff watch_backoff_;
    bool is_finding_{};
    time_point next_search_{};
    bool is_watching_{};
    bool is_watch_open_{};
    /// Of the newest watch; the result of an older one is ignored.
    std::uint64_t watch_number_{};
    bool is_seed_written_{};
    bool is_seed_busy_{};
    bool is_usage_busy_{};
    time_point next_seed_check_{};
    store_history history_;
    /// The era changed since the graphs were last compared with the store.
    bool may_lack_graphs_{};
    time_point next_usage_{};
    usage::roll_up collected_;
    /// Written in the current and in the previous part of usage_kept.
    usage::roll_up written_;
    usage::roll_up written_before_;
    time_point next_rotation_{};
    store_agent_counters counters_;
};

} // namespace redwingwind::node
