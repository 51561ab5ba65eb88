#pragma once

#include <redwingwind/coordination/membership.hpp>
#include <redwingwind/coordination/messages.hpp>

#include <functional>

namespace redwingwind::coordination {

/// Reconciles two nodes' views over a connection. The nodes first compare
/// digests by bucket and then send only the records of buckets that differ, so
/// the traffic grows with the difference and not with the deployment.
class view_exchange {
  public:
    using sender = std::function<void(const member_record&, const frame&)>;

    /// The membership must outlive this object.
    view_exchange(membership& members, sender send)
        : members_(members), send_(std::move(send)) {}

    /// Sends the bucket digests to the peer.
    void start(const member_record& with);
    /// Sends the records of differing buckets to a known node; ignores an
    /// unknown one.
    void receive(const node_incarnation& from,
                 const view_digest_frame& digests);
    /// Merges the received records and sends those that the peer requested.
    void receive(time_point now, const node_incarnation& from,
                 const view_frame& view);

  private:
    void send_records(const member_record& to,
                      const std::vector<std::uint16_t>& buckets,
                      bool wants_reply);

    membership& members_;
    sender send_;
};

} // namespace redwingwind::coordination
