#include "quota/part_table.h"

#include <boost/json.hpp>
#include <map>

#include "core/object_reader.h"

namespace jackdaw::serving {
namespace {

namespace json = boost::json;

// Largest epoch that is read: members report it and its successors.
constexpr std::int64_t kMaxEpoch = 900'000'000'000;
constexpr std::size_t kPartsPerDigit = 4;
constexpr std::string_view kDigits = "0123456789abcdef";

Error Malformed(std::string what) {
  return {ErrorKind::kMalformed, "quota parts: " + std::move(what),
          "check that all instances run compatible releases"};
}

// Reads an index of the list of names; -1 stands for no instance.
Result<std::string> NameAt(const json::value& value,
                           const std::vector<std::string>& names) {
  const std::int64_t* index = value.if_int64();
  const auto count = static_cast<std::int64_t>(names.size());
  if (index == nullptr || *index < -1 || *index >= count) {
    return Malformed("an index names no instance");
  }
  return *index < 0 ? std::string() : names[static_cast<std::size_t>(*index)];
}

// An entry is an array: since_epoch, the holder, those that release the part.
Result<PartEntry> DecodeEntry(const json::value& value,
                              const std::vector<std::string>& names) {
  constexpr std::size_t kFirstReleasing = 2;
  const json::array* fields = value.if_array();
  if (fields == nullptr || fields->size() < kFirstReleasing) {
    return Malformed("an entry is no array of two elements or more");
  }
  const std::int64_t* since = (*fields)[0].if_int64();
  if (since == nullptr || *since < 0 || *since > kMaxEpoch) {
    return Malformed("the epoch of an entry is out of range");
  }
  PartEntry entry;
  entry.since_epoch = *since;
  BOOST_OUTCOME_TRY(entry.holder, NameAt((*fields)[1], names));
  for (std::size_t i = kFirstReleasing; i < fields->size(); ++i) {
    BOOST_OUTCOME_TRY(std::string name, NameAt((*fields)[i], names));
    entry.releasing.push_back(std::move(name));
  }
  return entry;
}

}  // namespace

PartSet PartTable::UsableBy(std::string_view name) const {
  PartSet usable;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    if (parts[i].holder == name && parts[i].releasing.empty()) {
      usable.set(i);
    }
  }
  return usable;
}

std::set<std::string> PartTable::Names() const {
  std::set<std::string> names;
  for (const PartEntry& entry : parts) {
    names.insert(entry.holder);
    names.insert(entry.releasing.begin(), entry.releasing.end());
  }
  names.erase("");
  return names;
}

PartSet PartsToApply(const PartTable& table,
                     std::string_view name,
                     const PartSet& held,
                     std::int64_t first_epoch) {
  const PartSet usable = table.UsableBy(name);
  return table.epoch < first_epoch ? usable & held : usable;
}

std::string EncodePartTable(const PartTable& table) {
  std::map<std::string, std::int64_t> indices;
  json::array names;
  for (const std::string& name : table.Names()) {
    indices[name] = static_cast<std::int64_t>(names.size());
    names.emplace_back(name);
  }
  const auto index = [&](const std::string& name) {
    return name.empty() ? -1 : indices[name];
  };
  json::array parts;
  for (const PartEntry& entry : table.parts) {
    json::array fields{entry.since_epoch, index(entry.holder)};
    for (const std::string& name : entry.releasing) {
      fields.emplace_back(index(name));
    }
    parts.push_back(std::move(fields));
  }
  return json::serialize(json::value{{"epoch", table.epoch},
                                     {"names", std::move(names)},
                                     {"parts", std::move(parts)}});
}

Result<PartTable> DecodePartTable(std::string_view document) {
  BOOST_OUTCOME_TRY(const json::value value, ParseJson(document));
  ObjectReader reader(value, "");
  PartTable table;
  table.epoch = reader.Integer("epoch", 0, kMaxEpoch);
  const std::vector<std::string> names = reader.TextsOr("names");
  for (const json::value& item : reader.ItemsOr("parts")) {
    BOOST_OUTCOME_TRY(PartEntry entry, DecodeEntry(item, names));
    table.parts.push_back(std::move(entry));
  }
  if (!table.parts.empty() && table.parts.size() != kQuotaParts) {
    reader.Fail("parts", "not as many as there are parts");
  }
  BOOST_OUTCOME_TRY(reader.FinishKnown());
  return table;
}

std::string EncodeParts(const PartSet& parts) {
  std::string text(kQuotaParts / kPartsPerDigit, '0');
  for (std::size_t i = 0; i < text.size(); ++i) {
    std::size_t digit = 0;
    for (std::size_t bit = 0; bit < kPartsPerDigit; ++bit) {
      digit += parts.test(i * kPartsPerDigit + bit) ? 1U << bit : 0U;
    }
    text[i] = kDigits[digit];
  }
  return text;
}

Result<PartSet> DecodeParts(std::string_view text) {
  if (text.size() != kQuotaParts / kPartsPerDigit) {
    return Malformed("a set of parts has the wrong length");
  }
  PartSet parts;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const std::size_t digit = kDigits.find(text[i]);
    if (digit == std::string_view::npos) {
      return Malformed("a set of parts is not hexadecimal");
    }
    for (std::size_t bit = 0; bit < kPartsPerDigit; ++bit) {
      parts.set(i * kPartsPerDigit + bit, (digit >> bit & 1U) != 0);
    }
  }
  return parts;
}

}  // namespace jackdaw::serving
