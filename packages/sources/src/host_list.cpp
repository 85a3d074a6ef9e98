#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

#include "medlarloft/documents.hpp"
#include "medlarloft/sources.hpp"

namespace medlarloft::sources {
namespace {

constexpr std::size_t max_host_list_bytes = 8U << 20;

const documents::schema& host_rules() {
  static const documents::schema rules(R"json({
    "type": "object", "required": ["hosts"],
    "properties": {"hosts": {"type": "array", "items": {
      "type": "object", "required": ["id"],
      "properties": {"id": {"type": "string", "minLength": 1},
                     "leaving": {"type": "boolean"}}}}}})json");
  return rules;
}

}  // namespace

result<std::vector<host_entry>, host_list_error> read_host_list(
    std::string_view text) {
  auto document = documents::parse(text, {.max_bytes = max_host_list_bytes});
  if (!document) {
    return host_list_error{host_list_errc::malformed, document.error().text()};
  }
  const auto checked = host_rules().check(document.value());
  if (!checked) {
    return host_list_error{host_list_errc::malformed, checked.error().text()};
  }
  std::vector<host_entry> hosts;
  for (const auto& entry : document.value().at("hosts")) {
    hosts.push_back(
        {entry.at("id").get<std::string>(), entry.value("leaving", false)});
  }
  std::ranges::sort(hosts, {}, &host_entry::id);
  return hosts;
}

std::vector<host_entry> host_list_state::take(std::vector<host_entry> list) {
  std::vector<host_entry> changed;
  for (const host_entry& entry : list) {
    const auto known =
        std::ranges::lower_bound(hosts_, entry.id, {}, &host_entry::id);
    const bool was_leaving =
        known != hosts_.end() && known->id == entry.id && known->leaving;
    if (was_leaving != entry.leaving) changed.push_back(entry);
  }
  hosts_ = std::move(list);
  return changed;
}

std::vector<std::string> host_list_state::leaving() const {
  std::vector<std::string> ids;
  for (const host_entry& entry : hosts_) {
    if (entry.leaving) ids.push_back(entry.id);
  }
  return ids;
}

}  // namespace medlarloft::sources
