#ifndef JASMINEPATH_HTTP_SRC_SERVER_EXCHANGE_H_
#define JASMINEPATH_HTTP_SRC_SERVER_EXCHANGE_H_

#include <cstdint>
#include <memory>

#include "jasminepath/http/server.h"
#include "server_connection.h"

namespace jasminepath::http {

// The answer to one request, written to its connection while that exists.
class server_exchange : public exchange {
 public:
  server_exchange(std::weak_ptr<server_connection> connection,
                  time_point received_at,
                  int64_t connection_position,
                  bool is_head_request);
  // Aborts an exchange that has not been answered completely.
  ~server_exchange() override;

  time_point received_at() const override { return received_at_; }
  int64_t connection_position() const override { return connection_position_; }
  void OnClientDisconnect(std::function<void()> callback) override;
  void Respond(response_head head, std::string_view body) override;
  void Start(response_head head) override;
  void Write(std::string_view piece) override;
  void Finish() override;
  void Abort() override;
  std::size_t unsent_bytes() const override;
  void OnSent(std::function<void()> callback) override;

 private:
  std::string HeadBytes(const response_head& head, bool close) const;

  std::weak_ptr<server_connection> connection_;
  time_point received_at_;
  int64_t connection_position_;
  bool is_head_request_;
  bool started_ = false;
  bool ended_ = false;
  bool close_after_answer_ = false;
};

}  // namespace jasminepath::http

#endif  // JASMINEPATH_HTTP_SRC_SERVER_EXCHANGE_H_
