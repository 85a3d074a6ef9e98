#include "change_codec.hpp"

#include <nlohmann/json.hpp>

namespace medlarloft::tier {

std::string write_changes(const std::vector<replica::change>& changes) {
  nlohmann::json list = nlohmann::json::array();
  for (const replica::change& each : changes) {
    list.push_back(
        {each.key, each.changed_at,
         each.value ? nlohmann::json(*each.value) : nlohmann::json(nullptr)});
  }
  return list.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<std::vector<replica::change>> read_changes(
    const std::string& text) {
  const auto list = nlohmann::json::parse(text, nullptr, false);
  if (!list.is_array()) return std::nullopt;
  std::vector<replica::change> changes;
  for (const auto& each : list) {
    const bool sound = each.is_array() && each.size() == 3 &&
                       each[0].is_string() && each[1].is_number_unsigned() &&
                       (each[2].is_null() || each[2].is_string());
    if (!sound) return std::nullopt;
    changes.push_back(
        {each[0].get<std::string>(), each[1].get<replica::revision>(),
         each[2].is_null() ? std::nullopt
                           : std::optional(each[2].get<std::string>())});
  }
  return changes;
}

}  // namespace medlarloft::tier
