#include "fleet_view.h"

#include <boost/test/unit_test.hpp>
#include <sstream>
#include <string>
#include <vector>

namespace jasminepath::tool {
namespace {

node_answer AnswerOf(const std::string& vm, const std::string& json) {
  node_answer answer;
  answer.node.id = instance_id("run-" + vm);
  answer.node.vm = vm_id(vm);
  answer.document = config::ParseJson(json).value();
  return answer;
}

std::string ViewOf(const std::vector<node_answer>& answers) {
  std::ostringstream out;
  WriteFleetView(answers, out);
  return out.str();
}

BOOST_AUTO_TEST_CASE(MergesNodesTeamsVmsAndModels) {
  const std::string view =
      ViewOf({AnswerOf("a", R"({"vm":"a","ready":true,"configuration_version":7,
          "shares":[{"team":"care","ppm":600000}],
          "teams":[{"team":"care","admitted":3,"available_tokens":10}],
          "vms":[{"vm":"gpu-1","owner":"run-a","held":true,"models":["m"]},
                 {"vm":"gpu-2","owner":"run-b","held":false,"models":[]}],
          "models":[{"model":"m","held":false}]})"),
              AnswerOf("b", R"({"vm":"b","ready":false,
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

BOOST_AUTO_TEST_CASE(NamesAnUnreachableNode) {
  node_answer answer;
  answer.node.id = instance_id("run-a");
  answer.node.vm = vm_id("a");
  answer.node.zone = zone_id("z");
  answer.problem = "Connection refused";
  BOOST_TEST(ViewOf({answer}) ==
             "node: instance=run-a vm=a zone=z unreachable=\"Connection "
             "refused\"\n");
}

BOOST_AUTO_TEST_CASE(ToleratesAnAnswerOfAnotherShape) {
  BOOST_TEST(ViewOf({AnswerOf("a", R"({"vms":7,"models":[1],"shares":[{}]})")})
                 .find("node:") == 0);
}

}  // namespace
}  // namespace jasminepath::tool
