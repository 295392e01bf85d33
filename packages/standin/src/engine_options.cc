#include "jasminepath/standin/engine_options.h"

#include <Poco/Exception.h>

#include "json_text.h"

namespace jasminepath::standin {
namespace {

duration OptionalMs(const json_object& object,
                    const std::string& name,
                    duration fallback) {
  return Milliseconds(
      object.optValue<Poco::Int64>(name, ToMilliseconds(fallback)));
}

engine_model ParseModel(const json_object& object) {
  engine_model model;
  model.model = object.getValue<std::string>("model");
  model.weights_bytes =
      object.optValue<Poco::Int64>("weights_bytes", model.weights_bytes);
  model.adapter_bytes =
      object.optValue<Poco::Int64>("adapter_bytes", model.adapter_bytes);
  model.load_from_memory =
      OptionalMs(object, "memory_ms", model.load_from_memory);
  model.load_from_disk = OptionalMs(object, "disk_ms", model.load_from_disk);
  model.load_from_remote =
      OptionalMs(object, "remote_ms", model.load_from_remote);
  model.load_adapter = OptionalMs(object, "adapter_ms", model.load_adapter);
  return model;
}

}  // namespace

result<std::vector<engine_model>, std::string> ParseEngineModels(
    const std::string& json) {
  std::vector<engine_model> models;
  try {
    const auto entries = ParseObject(json)->getArray("models");
    if (entries.isNull())
      return std::string("the array \"models\" is missing");
    for (unsigned i = 0; i < entries->size(); ++i)
      models.push_back(ParseModel(*entries->getObject(i)));
  } catch (const Poco::Exception& error) {
    return error.displayText();
  }
  return models;
}

}  // namespace jasminepath::standin
