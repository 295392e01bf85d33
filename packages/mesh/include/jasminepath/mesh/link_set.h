#ifndef JASMINEPATH_MESH_LINK_SET_H_
#define JASMINEPATH_MESH_LINK_SET_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "jasminepath/base/bounded_ring.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/result.h"
#include "jasminepath/mesh/envelope.h"

namespace jasminepath::mesh {

// Why a link set could not be created.
enum class mesh_error {
  bad_address,   // Not an "ip:port" on which this VM can listen.
  no_resources,  // The messaging library is out of memory or sockets.
};

// A peer and its listening address.
struct link_peer {
  // Empty while unknown.
  instance_id instance;
  // "ip:port".
  std::string address;

  friend auto operator<=>(const link_peer&, const link_peer&) = default;
};

// Message counters since the start of the process.
struct link_counters {
  int64_t sent = 0;
  int64_t sent_bytes = 0;
  // Outgoing messages that were dropped because the peer's queue was full or no
  // link to the peer existed.
  int64_t send_dropped = 0;
  int64_t received = 0;
  int64_t received_bytes = 0;
  // Incoming messages that were dropped because the inbound ring was full.
  int64_t ring_dropped = 0;
  // Incoming messages that were for another instance or could not be decoded.
  int64_t discarded = 0;
  int64_t redials = 0;

  friend bool operator==(const link_counters&, const link_counters&) = default;
};

// The links of one instance to its peers. Each peer has its own socket and
// queue, so that an unresponsive peer does not delay the others. Messages may
// be lost; this layer does not retransmit. All methods must be called from one
// thread; threads of the messaging library push incoming envelopes into the
// ring.
class link_set {
 public:
  // Listens on `listen_address` ("ip:port"; port 0 picks a free one). `inbound`
  // must outlive the link set.
  static result<link_set, mesh_error> MakeLinkSet(
      instance_id self,
      const std::string& listen_address,
      bounded_ring<envelope>& inbound);

  link_set(link_set&&) noexcept;
  link_set& operator=(link_set&&) noexcept;
  // Closes all links. No envelope is pushed afterwards.
  ~link_set();

  // Opens a link to each of `peers`. Links to other peers close once they are
  // idle.
  void SetLinks(const std::vector<link_peer>& peers);
  // Replaces the connection to `peer`; messages in its queue are lost.
  void Redial(const link_peer& peer);
  // Queues the message, or counts it as dropped and returns false. Never
  // blocks. Opens a short-lived link if there is no link to `peer`.
  bool Send(const link_peer& peer, const node_message& message);

  // "ip:port" on which the link set listens, with the bound port.
  const std::string& address() const;
  link_counters counters() const;

 private:
  class implementation;
  explicit link_set(std::unique_ptr<implementation> made);

  std::unique_ptr<implementation> implementation_;
};

}  // namespace jasminepath::mesh

#endif  // JASMINEPATH_MESH_LINK_SET_H_
