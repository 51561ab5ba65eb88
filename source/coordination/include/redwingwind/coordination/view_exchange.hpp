#pragma once

#include <redwingwind/coordination/membership.hpp>
#include <redwingwind/coordination/messages.hpp>

#include <functional>

namespace redwingwind::coordination {

/// Brings two nodes' views together over a connection. Digests of buckets of
/// nodes go first, and only the records of buckets that differ follow, so what
/// is sent grows with the difference and not with the deployment.
class view_exchange {
  public:
    using sender = std::function<void(const member_record&, const frame&)>;

    /// The membership must outlive this.
    view_exchange(membership& members, sender send)
        : members_(members), send_(std::move(send)) {}

    void start(const member_record& with);
    /// From a node of this deployment; one that is not known is not answered.
    void receive(const node_incarnation& from,
                 const view_digest_frame& digests);
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
