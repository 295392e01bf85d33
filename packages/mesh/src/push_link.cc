#include "push_link.h"

#include <nng/protocol/pipeline0/push.h>

#include <utility>

#include "socket_closer.h"

namespace jasminepath::mesh {
namespace {

// Capacity of the send queue of one link.
constexpr int kSendQueueMessages = 64;
constexpr nng_duration kMinRedialMs = 100;
constexpr nng_duration kMaxRedialMs = 2000;

bool Configure(nng_socket socket) {
  return nng_socket_set_int(socket, NNG_OPT_SENDBUF, kSendQueueMessages) == 0 &&
         nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, kMinRedialMs) == 0 &&
         nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, kMaxRedialMs) == 0;
}

}  // namespace

std::optional<push_link> push_link::Dial(const std::string& address) {
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  if (nng_push0_open(&socket) != 0)
    return std::nullopt;
  push_link link(socket);
  const std::string url = "tcp://" + address;
  if (!Configure(socket) ||
      nng_dial(socket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK) != 0)
    return std::nullopt;
  return link;
}

push_link::push_link(push_link&& other) noexcept
    : socket_(std::exchange(other.socket_, NNG_SOCKET_INITIALIZER)) {}

push_link& push_link::operator=(push_link&& other) noexcept {
  std::swap(socket_, other.socket_);
  return *this;
}

push_link::~push_link() {
  if (nng_socket_id(socket_) > 0)
    CloseInBackground(socket_);
}

bool push_link::Send(const std::string& bytes) {
  nng_msg* message = nullptr;
  if (nng_msg_alloc(&message, 0) != 0)
    return false;
  if (nng_msg_append(message, bytes.data(), bytes.size()) != 0 ||
      nng_sendmsg(socket_, message, NNG_FLAG_NONBLOCK) != 0) {
    nng_msg_free(message);
    return false;
  }
  return true;
}

}  // namespace jasminepath::mesh
