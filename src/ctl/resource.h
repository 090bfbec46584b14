#pragma once

#include <array>
#include <boost/json.hpp>
#include <span>
#include <string>
#include <string_view>

#include "core/error.h"

namespace jackdaw {

/// A kind of item in the configuration document that operators edit.
struct Resource {
  /// Word on the command line.
  std::string_view command;
  /// Array member of the document.
  std::string_view list;
  /// Member that names an item.
  std::string_view id;
};

inline constexpr std::array kResources{
    Resource{"workspace", "workspaces", "name"},
    Resource{"key", "keys", "id"},
    Resource{"target", "targets", "name"},
    Resource{"deployment", "deployments", "name"},
    Resource{"model", "models", "name"},
    Resource{"adapter", "adapters", "name"},
    Resource{"service", "services", "name"},
    Resource{"exception", "exceptions", "scope"},
    Resource{"evacuation", "evacuations", "failure_domain"},
};

/// @returns null when no resource has that word
const Resource* FindResource(std::string_view command);

/// Items of a resource. @returns an empty array when there are none
boost::json::array ListItems(const boost::json::object& document,
                             const Resource& resource);

/// One item by its name, or kNotFound.
Result<boost::json::object> FindItem(const boost::json::object& document,
                                     const Resource& resource,
                                     std::string_view name);

/// Adds an item; kConflict when the name is taken. Exceptions of one scope
/// are told apart by their setting.
Result<void> AddItem(boost::json::object& document,
                     const Resource& resource,
                     boost::json::object item);

/// Replaces an item with the same name, or adds it.
void PutItem(boost::json::object& document,
             const Resource& resource,
             boost::json::object item);

/// Removes an item by name, or kNotFound. @param setting tells exceptions of
/// one scope apart; kConflict when it is left out and several match
Result<void> RemoveItem(boost::json::object& document,
                        const Resource& resource,
                        std::string_view name,
                        std::string_view setting);

/// Builds an item from `member=value` words; a value that is JSON is taken as
/// such, any other as a string.
Result<boost::json::object> BuildItem(const Resource& resource,
                                      std::string_view name,
                                      std::span<const std::string> members);

}  // namespace jackdaw
