#include "jasminepath/standin/plain_standin.h"

#include <map>
#include <mutex>
#include <string>

#include "http_host.h"
#include "jasminepath/base/digest.h"
#include "json_text.h"

namespace jasminepath::standin {
namespace {

constexpr int kOkStatus = 200;
constexpr int kCreatedStatus = 201;
constexpr int kMinStock = 10;
constexpr int kStockLevelCount = 500;

// Derives the stock level from the path, so that it is the same on every run.
int StockOf(const std::string& path) {
  return kMinStock + static_cast<int>(StableHash(path) % kStockLevelCount);
}

}  // namespace

class plain_standin::impl {
 public:
  explicit impl(const listen_options& options)
      : host_(options, [this](const received_request& request, reply& answer) {
          Handle(request, answer);
        }) {
    host_.Start();
  }

  uint16_t port() const { return host_.port(); }

 private:
  void Handle(const received_request& request, reply& answer) {
    const std::string path = request.PathOnly();
    if (path == "/standin/executions")
      return ListExecutions(answer);
    if (path == "/orders" && request.method == "POST")
      return Execute(request, answer);
    json_object response;
    response.set("path", path);
    if (path.starts_with("/stock/"))
      response.set("stock", StockOf(path));
    answer.Send(kOkStatus, ToText(response));
  }

  void Execute(const received_request& request, reply& answer) {
    json_object response;
    {
      const std::lock_guard lock(mutex_);
      ++by_body_[request.body];
      const std::string key = request.Header("Idempotency-Key");
      if (!key.empty())
        ++by_key_[key];
      response.set("order", ++orders_);
    }
    answer.Send(kCreatedStatus, ToText(response));
  }

  void ListExecutions(reply& answer) {
    const std::lock_guard lock(mutex_);
    json_object response;
    response.set("orders", orders_);
    response.set("by_body", ToCounts(by_body_));
    response.set("by_key", ToCounts(by_key_));
    answer.Send(kOkStatus, ToText(response));
  }

  static json_array::Ptr ToCounts(const std::map<std::string, int>& counted) {
    json_array::Ptr counts = new json_array;
    for (const auto& [text, count] : counted) {
      json_object::Ptr entry = new json_object;
      entry->set("text", text);
      entry->set("count", count);
      counts->add(entry);
    }
    return counts;
  }

  std::mutex mutex_;
  std::map<std::string, int> by_body_;
  std::map<std::string, int> by_key_;
  int orders_ = 0;
  http_host host_;
};

plain_standin::plain_standin(const listen_options& options)
    : impl_(std::make_unique<impl>(options)) {}

plain_standin::~plain_standin() = default;

uint16_t plain_standin::port() const {
  return impl_->port();
}

}  // namespace jasminepath::standin
