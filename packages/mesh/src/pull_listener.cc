#include "pull_listener.h"

#include <nng/protocol/pipeline0/pull.h>

#include <utility>

#include "jasminepath/mesh/message_codec.h"
#include "socket_closer.h"

namespace jasminepath::mesh {

pull_listener::pull_listener(message_handler on_message)
    : on_message_(std::move(on_message)) {}

result<std::unique_ptr<pull_listener>, mesh_error> pull_listener::Listen(
    const std::string& address,
    message_handler on_message) {
  std::unique_ptr<pull_listener> made(new pull_listener(std::move(on_message)));
  bool opened = false;
  const mesh_error error = made->Open(address, opened);
  if (!opened)
    return error;
  made->ReceiveNext();
  return made;
}

mesh_error pull_listener::Open(const std::string& address, bool& opened) {
  const bool allocated = nng_pull0_open(&socket_) == 0 &&
                         nng_aio_alloc(&aio_, &OnReceived, this) == 0;
  if (!allocated ||
      nng_socket_set_size(socket_, NNG_OPT_RECVMAXSZ, kMaxEnvelopeBytes) != 0)
    return mesh_error::no_resources;
  const std::string url = "tcp://" + address;
  if (nng_listen(socket_, url.c_str(), &listener_, 0) != 0)
    return mesh_error::bad_address;
  int port = 0;
  if (nng_listener_get_int(listener_, NNG_OPT_TCP_BOUND_PORT, &port) != 0)
    return mesh_error::bad_address;
  address_ = address.substr(0, address.rfind(':') + 1) + std::to_string(port);
  opened = true;
  return mesh_error();
}

pull_listener::~pull_listener() {
  // After nng_aio_stop() the handler is not called again.
  if (aio_) {
    nng_aio_stop(aio_);
    nng_aio_free(aio_);
  }
  // The address can be bound again when nng_listener_close() returns.
  if (nng_listener_id(listener_) > 0)
    nng_listener_close(listener_);
  if (nng_socket_id(socket_) > 0)
    CloseInBackground(socket_);
}

void pull_listener::ReceiveNext() {
  nng_recv_aio(socket_, aio_);
}

void pull_listener::OnReceived(void* self) {
  auto* listener = static_cast<pull_listener*>(self);
  const int status = nng_aio_result(listener->aio_);
  if (status == NNG_ECLOSED || status == NNG_ECANCELED)
    return;
  if (status == 0) {
    nng_msg* message = nng_aio_get_msg(listener->aio_);
    const auto* body = static_cast<const char*>(nng_msg_body(message));
    listener->on_message_(std::string_view(body, nng_msg_len(message)));
    nng_msg_free(message);
  }
  listener->ReceiveNext();
}

}  // namespace jasminepath::mesh
