#include "ctl/printing.h"

#include <algorithm>
#include <set>
#include <vector>

namespace jackdaw {
namespace {

namespace json = boost::json;

std::string CellText(const json::value* value) {
  if (value == nullptr) {
    return "-";
  }
  return value->is_string() ? std::string(value->get_string())
                            : json::serialize(*value);
}

std::vector<std::string> ColumnsOf(const json::array& items) {
  std::vector<std::string> columns;
  for (const auto& item : items) {
    for (const auto& member : item.as_object()) {
      const std::string name(member.key());
      if (std::find(columns.begin(), columns.end(), name) == columns.end()) {
        columns.push_back(name);
      }
    }
  }
  return columns;
}

std::string At(std::string path, std::string_view member) {
  path += "/";
  path += member;
  return path;
}

}  // namespace

std::string TableText(const json::array& items) {
  const auto columns = ColumnsOf(items);
  std::vector<std::vector<std::string>> rows{columns};
  for (const auto& item : items) {
    auto& row = rows.emplace_back();
    for (const auto& column : columns) {
      row.push_back(CellText(item.as_object().if_contains(column)));
    }
  }
  std::string text;
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      std::size_t width = 0;
      for (const auto& other : rows) {
        width = std::max(width, other[i].size());
      }
      std::string cell = row[i];
      cell.resize(i + 1 == row.size() ? cell.size() : width + 2, ' ');
      line += cell;
    }
    text += line + "\n";
  }
  return text;
}

std::string Difference(const json::value& before,
                       const json::value& after,
                       const std::string& path) {
  if (before == after) {
    return {};
  }
  if (before.is_object() && after.is_object()) {
    std::set<std::string> names;
    for (const auto* object : {&before.get_object(), &after.get_object()}) {
      for (const auto& member : *object) {
        names.emplace(member.key());
      }
    }
    const json::value none;
    std::string text;
    for (const auto& name : names) {
      const auto* old_value = before.get_object().if_contains(name);
      const auto* new_value = after.get_object().if_contains(name);
      text +=
          Difference(old_value == nullptr ? none : *old_value,
                     new_value == nullptr ? none : *new_value, At(path, name));
    }
    return text;
  }
  if (before.is_array() && after.is_array()) {
    const auto& old_items = before.get_array();
    const auto& new_items = after.get_array();
    std::string text;
    for (std::size_t i = 0; i < std::max(old_items.size(), new_items.size());
         ++i) {
      const json::value none;
      text += Difference(i < old_items.size() ? old_items[i] : none,
                         i < new_items.size() ? new_items[i] : none,
                         At(path, std::to_string(i)));
    }
    return text;
  }
  std::string text;
  if (!before.is_null()) {
    text += "- " + path + " " + json::serialize(before) + "\n";
  }
  if (!after.is_null()) {
    text += "+ " + path + " " + json::serialize(after) + "\n";
  }
  return text;
}

}  // namespace jackdaw
