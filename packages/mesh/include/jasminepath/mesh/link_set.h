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

// Why a link set could not be made.
enum class mesh_error {
  bad_address,   // Not an "ip:port" that this VM can listen on.
  no_resources,  // The messaging library has no memory or sockets left.
};

// A peer and where it listens.
struct link_peer {
  // Empty while unknown.
  instance_id instance;
  // "ip:port".
  std::string address;

  friend auto operator<=>(const link_peer&, const link_peer&) = default;
};

// What has happened to messages since the start.
struct link_counters {
  int64_t sent = 0;
  int64_t sent_bytes = 0;
  // Outgoing messages dropped because the peer's queue was full or there was no
  // link to it.
  int64_t send_dropped = 0;
  int64_t received = 0;
  int64_t received_bytes = 0;
  // Incoming messages dropped because the ring was full.
  int64_t ring_dropped = 0;
  // Incoming messages for another instance, or that could not be decoded.
  int64_t discarded = 0;
  int64_t redials = 0;

  friend bool operator==(const link_counters&, const link_counters&) = default;
};

// The links of one instance to its peers. Each peer has a socket and a queue of
// its own, so that a silent one holds back no other. Messages may be lost, and
// none is repeated by this layer. All methods may be called from one thread;
// incoming envelopes are pushed into the ring from threads of the messaging
// library.
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
  // Closes all links; no envelope is pushed after this.
  ~link_set();

  // Opens and closes links so that exactly those to `peers` are there.
  void SetLinks(const std::vector<link_peer>& peers);
  // Replaces the connection to `peer`; what was queued on it is lost.
  void Redial(const link_peer& peer);
  // Queues the message, or counts it as dropped and returns false. Never
  // blocks. Opens a short-lived link where there is none to `peer`.
  bool Send(const link_peer& peer, const node_message& message);

  // The address that the link set listens on, with the real port.
  const std::string& address() const;
  link_counters counters() const;

 private:
  class implementation;
  explicit link_set(std::unique_ptr<implementation> made);

  std::unique_ptr<implementation> implementation_;
};

}  // namespace jasminepath::mesh

#endif  // JASMINEPATH_MESH_LINK_SET_H_
