#pragma once

#include <redwingwind/common/error.hpp>
#include <redwingwind/common/http_message.hpp>
#include <redwingwind/common/identifiers.hpp>
#include <redwingwind/coordination/codec.hpp>
#include <redwingwind/coordination/member.hpp>
#include <redwingwind/overload/balancer.hpp>
#include <redwingwind/overload/importance.hpp>
#include <redwingwind/overload/level_table.hpp>
#include <redwingwind/overload/offered_load.hpp>

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace redwingwind::coordination {

/// The outcome of a request, as reported to its caller.
enum class outcome : std::uint8_t { done, not_run, unknown };

std::string_view to_string(outcome o);

// Datagrams -----------------------------------------------------------------

enum class datagram_kind : std::uint8_t {
    probe,
    probe_reply,
    /// Asks the receiver to probe the subject for the sender.
    indirect_probe,
    /// Carries only gossip.
    gossip,
    /// Asks which generation of the first graph in `configs` is in force.
    census,
    census_reply
};

/// The generation of a graph's configuration that the sender has in force; 0
/// for none.
struct config_generation {
    graph_name graph;
    std::uint64_t generation{};

    auto operator<=>(const config_generation&) const = default;

    template <class Archive>
    void serialize(Archive& ar) {
        ar(graph, generation);
    }
};

/// The message of all datagrams. Besides its kind, each carries the sender's
/// record, digests of its view and of its configurations, and gossip.
struct datagram {
    datagram_kind kind{datagram_kind::gossip};
    std::uint64_t sequence{};
    /// The node to probe; empty when only its address is known.
    node_name subject;
    member_record sender;
    std::uint64_t member_digest{};
    std::uint64_t config_digest{};
    std::vector<member_record> members;
    std::vector<config_generation> configs;

    auto operator<=>(const datagram&) const = default;

    template <class Archive>
    void serialize(Archive& ar) {
        ar(kind, sequence, subject, sender, member_digest, config_digest,
           members, configs);
    }
};

// Frames --------------------------------------------------------------------

/// The first frame on a connection, in both directions.
struct hello_frame {
    node_incarnation node;
    std::uint64_t nonce{};

    template <class Archive>
    void serialize(Archive& ar) {
        ar(node, nonce);
    }
};

/// A call for the receiver's local target or, if is_for_home, for the receiver
/// as the node that issued the ticket.
struct call_frame {
    std::uint64_t sequence{};
    request_id id;
    request_id root;
    owner_name owner;
    service_name service;
    std::string method;
    std::string path;
    std::string content_type;
    std::string body;
    std::string ticket;
    overload::importance kind{};
    bool is_idempotent{true};
    bool is_for_home{false};
    std::uint32_t attempt{};
    /// Retries that the call and its nested calls may use.
    std::uint32_t retry_budget{};
    /// Time until the deadline.
    std::uint32_t time_left_ms{};

    template <class Archive>
    void serialize(Archive& ar) {
        ar(sequence, id, root, owner, service, method, path, content_type, body,
           ticket, kind, is_idempotent, is_for_home, attempt, retry_budget,
           time_left_ms);
    }
};

/// The reply to a call_frame or a ticket_cancel_frame. `what` is the outcome
/// and `why` the error code.
struct reply_frame {
    std::uint64_t sequence{};
    outcome what{outcome::unknown};
    error_code why{};
    std::uint16_t status{};
    std::string content_type;
    std::string body;
    /// Lets the caller detect a damaged body.
    std::uint64_t body_digest{};
    /// The part of the call's retry budget that was not used.
    std::uint32_t retry_budget_left{};
    /// Admission levels of the target and of its downstream services.
    std::vector<overload::service_admission_level> levels;
    overload::load_report load;
    /// The target takes no new calls.
    bool is_leaving{};
    /// Time that the target executed the call, microseconds.
    std::uint64_t slot_time_us{};

    template <class Archive>
    void serialize(Archive& ar) {
        ar(sequence, what, why, status, content_type, body, body_digest,
           retry_budget_left, levels, load, is_leaving, slot_time_us);
    }
};

/// Cancels the call that the sender sent with this sequence.
struct cancel_frame {
    std::uint64_t sequence{};

    template <class Archive>
    void serialize(Archive& ar) {
        ar(sequence);
    }
};

/// never_started: the call was not executed and never will be.
struct cancel_reply_frame {
    std::uint64_t sequence{};
    bool never_started{};

    template <class Archive>
    void serialize(Archive& ar) {
        ar(sequence, never_started);
    }
};

/// Cancels a ticket at the node that issued it, so that it is never
/// dispatched; the reply is a reply_frame.
struct ticket_cancel_frame {
    std::uint64_t sequence{};
    std::string ticket;

    template <class Archive>
    void serialize(Archive& ar) {
        ar(sequence, ticket);
    }
};

/// Some records of the sender's view. The receiver replies with its own records
/// of the wanted buckets.
struct view_frame {
    std::vector<member_record> members;
    std::vector<std::uint16_t> wanted_buckets;

    template <class Archive>
    void serialize(Archive& ar) {
        ar(members, wanted_buckets);
    }
};

/// Digests of the sender's view by bucket; the receiver replies with its
/// records of the buckets that differ.
struct view_digest_frame {
    std::vector<std::uint64_t> buckets;

    template <class Archive>
    void serialize(Archive& ar) {
        ar(buckets);
    }
};

/// The generations that the sender has in force. The receiver sends its newer
/// configurations and, if wants_reply, requests those that are older.
struct config_summary_frame {
    std::vector<config_generation> generations;
    bool wants_reply{};

    template <class Archive>
    void serialize(Archive& ar) {
        ar(generations, wants_reply);
    }
};

/// The configuration of a graph; the body is opaque to this library.
struct config_frame {
    graph_name graph;
    std::uint64_t generation{};
    std::string change_id;
    std::string body;

    auto operator<=>(const config_frame&) const = default;

    template <class Archive>
    void serialize(Archive& ar) {
        ar(graph, generation, change_id, body);
    }
};

/// Cumulative usage counters of one incarnation of a node.
struct usage_row {
    node_incarnation node;
    owner_name owner;
    service_name service;
    overload::importance kind{};
    /// True for the side that executed, false for the side that called.
    bool is_executing_side{};
    std::uint64_t calls{};
    std::uint64_t rejected{};
    /// Time that the calls held a slot of the target.
    std::uint64_t slot_time_us{};
    /// Slot time of calls that were executed without a useful result: they
    /// failed, or the caller no longer wanted the response.
    std::uint64_t wasted_us{};
    std::uint64_t bytes{};

    auto operator<=>(const usage_row&) const = default;

    template <class Archive>
    void serialize(Archive& ar) {
        ar(node, owner, service, kind, is_executing_side, calls, rejected,
           slot_time_us, wasted_us, bytes);
    }
};

/// A node's usage report.
struct usage_frame {
    std::vector<usage_row> rows;

    template <class Archive>
    void serialize(Archive& ar) {
        ar(rows);
    }
};

/// A call that the caller's node passes to the node beside a target.
struct relay_call_frame {
    std::uint64_t sequence{};
    service_name service;
    /// The service of the node that received the call from its caller.
    service_name caller;
    /// Name of the route in the configuration.
    std::string route;
    http_request request;
    request_id id;
    /// 0 is executed first.
    std::uint8_t priority{};
    bool is_idempotent{};
    /// Probability, 0 to 1, that the operator counts the call as a retry: 1
    /// when a target may already have received it, otherwise the probability
    /// that the execution which makes the call is itself a retried one.
    float retry_probability{};
    /// Time until the caller stops waiting for the response.
    std::uint32_t time_left_ms{};
    /// Time until the response loses value for the caller; 0 after that.
    std::uint32_t latency_left_ms{};
    /// Who sent the call; empty for one without an owner.
    owner_name owner;

    template <class Archive>
    void serialize(Archive& ar) {
        ar(sequence, service, caller, route, request, id, priority,
           is_idempotent, retry_probability, time_left_ms, latency_left_ms,
           owner);
    }
};

/// The reply to a relay_call_frame. `what` is the outcome, `why` the error
/// code.
struct relay_reply_frame {
    std::uint64_t sequence{};
    outcome what{outcome::unknown};
    error_code why{};
    http_response response;
    overload::load_report load;
    /// The target takes no new calls.
    bool is_leaving{};
    /// With not_run: time until a slot is expected to be free.
    std::uint32_t retry_after_ms{};
    /// Offered load of the target's service and of its downstream services.
    std::vector<overload::service_offered_load> offered_loads;
    /// The call was most likely made by a target while it executed another.
    bool is_nested{};

    template <class Archive>
    void serialize(Archive& ar) {
        ar(sequence, what, why, response, load, is_leaving, retry_after_ms,
           offered_loads, is_nested);
    }
};

/// Lends the sender's share of the rates of some owners to the receiver. The
/// owners are named by their shards (allowance_shards); a later frame of the
/// sender replaces the list. A frame without shards only asks for the clock.
struct share_frame {
    std::uint64_t sequence{};
    /// The receiver's clock as the sender last got it, microseconds; the share
    /// is lent for a fixed time from then. 0 when the sender has none.
    std::int64_t receiver_clock_us{};
    /// The sender's share is 1 / nodes of each rate and burst.
    std::uint32_t nodes{};
    /// Nodes that the sender itself knows of, itself included.
    std::uint32_t known_nodes{};
    std::vector<std::uint16_t> shards;
    /// Of these, the ones newly lent to the receiver whose share brings its
    /// part of the slack: once in each window.
    std::vector<std::uint16_t> with_slack;

    auto operator<=>(const share_frame&) const = default;

    template <class Archive>
    void serialize(Archive& ar) {
        ar(sequence, receiver_clock_us, nodes, known_nodes, shards, with_slack);
    }
};

/// The reply to a share_frame.
struct share_reply_frame {
    /// Of the share_frame, which the sender has put into effect.
    std::uint64_t sequence{};
    /// The sender's monotonic clock, microseconds.
    std::int64_t clock_us{};
    std::uint32_t known_nodes{};

    auto operator<=>(const share_reply_frame&) const = default;

    template <class Archive>
    void serialize(Archive& ar) {
        ar(sequence, clock_us, known_nodes);
    }
};

/// Asks the grantor for allowances to execute calls of an owner.
struct allowance_request_frame {
    /// 0 when no reply is needed.
    std::uint64_t sequence{};
    owner_name owner;
    std::uint32_t wanted{};
    /// Allowances granted earlier that were not used and never will be.
    std::uint32_t returned{};

    auto operator<=>(const allowance_request_frame&) const = default;

    template <class Archive>
    void serialize(Archive& ar) {
        ar(sequence, owner, wanted, returned);
    }
};

struct allowance_reply_frame {
    std::uint64_t sequence{};
    owner_name owner;
    std::uint32_t granted{};
    /// When fewer were granted than wanted: time until the receiver may ask
    /// again.
    std::uint32_t ask_after_ms{};
    /// The same: time until the owner's callers are likely to be let in.
    std::uint32_t retry_after_ms{};

    auto operator<=>(const allowance_reply_frame&) const = default;

    template <class Archive>
    void serialize(Archive& ar) {
        ar(sequence, owner, granted, ask_after_ms, retry_after_ms);
    }
};

using frame = std::variant<hello_frame, call_frame, reply_frame, cancel_frame,
                           cancel_reply_frame, ticket_cancel_frame, view_frame,
                           config_summary_frame, config_frame, usage_frame,
                           relay_call_frame, relay_reply_frame,
                           view_digest_frame, share_frame, share_reply_frame,
                           allowance_request_frame, allowance_reply_frame>;

/// The name of the frame type with this index in `frame`, for logs and metrics.
std::string_view frame_kind(std::size_t index);

} // namespace redwingwind::coordination
