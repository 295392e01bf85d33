#include "jasminepath/tool/json_difference.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace jasminepath::tool {

namespace {

using config::json_member;
using config::json_value;

// Joins the identifying members of an array's item. Returns an empty text if it
// has none.
std::string ItemName(const json_value& item) {
  std::string name;
  for (std::string_view member :
       {"id", "team", "service", "method", "path_prefix"}) {
    const std::string text = item.StringOr(member, "");
    if (!text.empty())
      name += (name.empty() ? "" : " ") + text;
  }
  return name;
}

// Converts an array to named members, so that it can be compared like an
// object.
json_value::object NamedItems(const json_value::array& items) {
  json_value::object named;
  for (std::size_t i = 0; i < items.size(); ++i) {
    const std::string name = ItemName(items[i]);
    named.push_back({name.empty() ? std::to_string(i) : name, items[i]});
  }
  return named;
}

const json_value* FindMember(const json_value::object& members,
                             const std::string& name) {
  const auto found =
      std::find_if(members.begin(), members.end(),
                   [&](const json_member& item) { return item.name == name; });
  return found == members.end() ? nullptr : &found->value;
}

class comparer {
 public:
  void Compare(const json_value& before,
               const json_value& after,
               const std::string& path) {
    if (before == after)
      return;
    if (before.AsObject() != nullptr && after.AsObject() != nullptr) {
      CompareMembers(*before.AsObject(), *after.AsObject(),
                     path.empty() ? "" : path + ".", "");
    } else if (before.AsArray() != nullptr && after.AsArray() != nullptr) {
      CompareMembers(NamedItems(*before.AsArray()),
                     NamedItems(*after.AsArray()), path + "[", "]");
    } else {
      lines_.push_back("~ " + path + ": " + config::WriteJson(before) + " -> " +
                       config::WriteJson(after));
    }
  }

  std::vector<std::string> Take() { return std::move(lines_); }

 private:
  void CompareMembers(const json_value::object& before,
                      const json_value::object& after,
                      const std::string& prefix,
                      const std::string& suffix) {
    const std::size_t first = lines_.size();
    for (const json_member& item : before) {
      if (FindMember(after, item.name) == nullptr)
        lines_.push_back("- " + prefix + item.name + suffix);
    }
    for (const json_member& item : after) {
      const json_value* old = FindMember(before, item.name);
      if (old == nullptr)
        lines_.push_back("+ " + prefix + item.name + suffix);
      else
        Compare(*old, item.value, prefix + item.name + suffix);
    }
    if (lines_.size() == first)
      lines_.push_back("~ " + prefix + suffix + ": order");
  }

  std::vector<std::string> lines_;
};

}  // namespace

std::vector<std::string> Difference(const json_value& before,
                                    const json_value& after) {
  comparer comparison;
  comparison.Compare(before, after, "");
  return comparison.Take();
}

}  // namespace jasminepath::tool
