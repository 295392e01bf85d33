#include "fleet_view.h"

#include <boost/test/unit_test.hpp>
#include <sstream>
#include <string>
#include <vector>

namespace jasminepath::tool {
namespace {

node_response ResponseOf(const std::string& vm, const std::string& json) {
  node_response response;
  response.node.id = instance_id("run-" + vm);
  response.node.vm = vm_id(vm);
  response.document = config::ParseJson(json).value();
  return response;
}

std::string ViewOf(const std::vector<node_response>& responses) {
  std::ostringstream out;
  WriteFleetView(responses, out);
  return out.str();
}

BOOST_AUTO_TEST_CASE(MergesNodesTeamsVmsAndModels) {
  const std::string view = ViewOf(
      {ResponseOf("a", R"({"vm":"a","ready":true,"configuration_version":7,
          "shares":[{"team":"care","ppm":600000}],
          "teams":[{"team":"care","admitted":3,"available_tokens":10}],
          "vms":[{"vm":"gpu-1","owner":"run-a","held":true,"models":["m"]},
                 {"vm":"gpu-2","owner":"run-b","held":false,"models":[]}],
          "models":[{"model":"m","held":false}]})"),
       ResponseOf("b", R"({"vm":"b","ready":false,
          "shares":[{"team":"care","ppm":400000}],
          "teams":[{"team":"care","admitted":4,"available_tokens":5}],
          "models":[{"model":"m","decider":"run-b","held":true,
                     "replicas":[{"vm":"gpu-1","state":"resident"}]}]})")});
  BOOST_TEST(view ==
             "node: vm=a ready=true configuration_version=7\n"
             "node: vm=b ready=false\n"
             "team: team=care share_ppm=1000000 admitted=7 answered=0 "
             "used_tokens=0 available_tokens=15\n"
             "vm: vm=gpu-1 owner=run-a held=true models=m\n"
             "model: model=m decider=run-b held=true replicas=gpu-1:resident "
             "\n");
}

BOOST_AUTO_TEST_CASE(ShowsAnUnreachableNode) {
  node_response response;
  response.node.id = instance_id("run-a");
  response.node.vm = vm_id("a");
  response.node.zone = zone_id("z");
  response.problem = "Connection refused";
  BOOST_TEST(ViewOf({response}) ==
             "node: instance=run-a vm=a zone=z unreachable=\"Connection "
             "refused\"\n");
}

BOOST_AUTO_TEST_CASE(ToleratesAStatusOfAnUnexpectedShape) {
  BOOST_TEST(
      ViewOf({ResponseOf("a", R"({"vms":7,"models":[1],"shares":[{}]})")})
          .find("node:") == 0);
}

}  // namespace
}  // namespace jasminepath::tool
