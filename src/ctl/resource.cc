#include "ctl/resource.h"

#include <algorithm>

#include "core/object_reader.h"

namespace jackdaw {
namespace {

namespace json = boost::json;

Error NotFound(const Resource& resource, std::string_view name) {
  return {
      ErrorKind::kNotFound,
      "no " + std::string(resource.command) + " '" + std::string(name) + "'",
      "see jackdawctl " + std::string(resource.command) + " list"};
}

std::string MemberOf(const json::value& item, std::string_view member) {
  const auto* object = item.if_object();
  const auto* value = object == nullptr ? nullptr : object->if_contains(member);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

json::array& MutableList(json::object& document, const Resource& resource) {
  json::value& list = document[resource.list];
  if (!list.is_array()) {
    list = json::array();
  }
  return list.get_array();
}

bool SameItem(const json::value& a,
              const json::value& b,
              const Resource& resource) {
  return MemberOf(a, resource.id) == MemberOf(b, resource.id) &&
         MemberOf(a, "setting") == MemberOf(b, "setting");
}

}  // namespace

const Resource* FindResource(std::string_view command) {
  for (const auto& resource : kResources) {
    if (resource.command == command) {
      return &resource;
    }
  }
  return nullptr;
}

json::array ListItems(const json::object& document, const Resource& resource) {
  const auto* list = document.if_contains(resource.list);
  return list != nullptr && list->is_array() ? list->get_array()
                                             : json::array();
}

Result<json::object> FindItem(const json::object& document,
                              const Resource& resource,
                              std::string_view name) {
  for (const auto& item : ListItems(document, resource)) {
    if (MemberOf(item, resource.id) == name) {
      return item.as_object();
    }
  }
  return NotFound(resource, name);
}

Result<void> AddItem(json::object& document,
                     const Resource& resource,
                     json::object item) {
  const json::value wanted(item);
  for (const auto& other : MutableList(document, resource)) {
    if (SameItem(other, wanted, resource)) {
      return Error{ErrorKind::kConflict,
                   std::string(resource.command) + " '" +
                       MemberOf(wanted, resource.id) + "' is there already",
                   "delete it first or pick another name"};
    }
  }
  MutableList(document, resource).push_back(std::move(item));
  return success();
}

void PutItem(json::object& document,
             const Resource& resource,
             json::object item) {
  const json::value wanted(item);
  for (auto& other : MutableList(document, resource)) {
    if (SameItem(other, wanted, resource)) {
      other = std::move(item);
      return;
    }
  }
  MutableList(document, resource).push_back(std::move(item));
}

Result<void> RemoveItem(json::object& document,
                        const Resource& resource,
                        std::string_view name,
                        std::string_view setting) {
  json::array& list = MutableList(document, resource);
  const auto matches = [&](const json::value& item) {
    return MemberOf(item, resource.id) == name &&
           (setting.empty() || MemberOf(item, "setting") == setting);
  };
  const auto count = std::count_if(list.begin(), list.end(), matches);
  if (count > 1) {
    return Error{ErrorKind::kConflict,
                 "'" + std::string(name) + "' has several exceptions",
                 "name the setting too: exception delete SCOPE SETTING"};
  }
  const auto found = std::find_if(list.begin(), list.end(), matches);
  if (found == list.end()) {
    return NotFound(resource, name);
  }
  list.erase(found);
  return success();
}

Result<json::object> BuildItem(const Resource& resource,
                               std::string_view name,
                               std::span<const std::string> members) {
  json::object item{{resource.id, name}};
  for (const auto& member : members) {
    const std::size_t equals = member.find('=');
    if (equals == std::string::npos) {
      return Error{ErrorKind::kInvalidSetting,
                   "'" + member + "' is not member=value",
                   "write it like --set memory_mb=8000"};
    }
    const std::string text = member.substr(equals + 1);
    const auto value = ParseJson(text);
    item[member.substr(0, equals)] = value ? value.value() : json::value(text);
  }
  return item;
}

}  // namespace jackdaw
