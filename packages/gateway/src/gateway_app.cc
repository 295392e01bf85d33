#include "jasminepath/gateway/gateway_app.h"

#include <utility>

#include "gateway_node.h"

namespace jasminepath::gateway {

class gateway_app::implementation : public gateway_node {
 public:
  using gateway_node::gateway_node;
};

gateway_app::gateway_app(std::unique_ptr<implementation> node)
    : implementation_(std::move(node)) {}

gateway_app::~gateway_app() = default;

result<std::unique_ptr<gateway_app>, std::string> gateway_app::MakeGatewayApp(
    const gateway_settings& settings,
    const protocol_codec& codec,
    settings_reader reader) {
  const auto store = http::ParseEndpoint(settings.store_address);
  if (!store)
    return failure("store address: " + store.error());
  auto node = std::make_unique<implementation>(settings, store.value(), codec,
                                               std::move(reader));
  const auto opened = node->Open();
  if (!opened)
    return failure(opened.error());
  return std::unique_ptr<gateway_app>(new gateway_app(std::move(node)));
}

void gateway_app::Run() {
  implementation_->Run();
}

void gateway_app::RequestStop() {
  implementation_->BeginStop();
}

unsigned short gateway_app::caller_port() const {
  return implementation_->caller_port();
}

}  // namespace jasminepath::gateway
