#include <algorithm>
#include <array>

#include "medlarloft/notes.hpp"

namespace medlarloft::notes {
namespace {

constexpr std::array<std::string_view, service_class_count> class_names{
    "critical", "important", "ordinary"};

constexpr std::array<std::string_view, 6> verdict_names{
    "accepted", "known", "older", "conflict", "invalid", "gap"};

template <class Entity>
const Entity* find(const std::vector<Entity>& sorted,
                   std::string_view id) noexcept {
  const auto found = std::ranges::lower_bound(sorted, id, {}, &Entity::id);
  if (found == sorted.end() || found->id != id) return nullptr;
  return &*found;
}

}  // namespace

std::string_view name_of(service_class which) noexcept {
  return class_names[static_cast<std::size_t>(which)];
}

std::optional<service_class> parse_class(std::string_view text) noexcept {
  const auto found = std::ranges::find(class_names, text);
  if (found == class_names.end()) return std::nullopt;
  return static_cast<service_class>(found - class_names.begin());
}

std::string_view name_of(verdict which) noexcept {
  return verdict_names[static_cast<std::size_t>(which)];
}

std::string note_error::text() const {
  std::string line = path.empty() ? "note" : path;
  line += ": " + reason;
  if (!value.empty()) line += ", got " + value;
  return line;
}

const partition_map& service::map_of(snapshot_id snapshot) const noexcept {
  const auto after = std::ranges::upper_bound(maps, snapshot, {},
                                              &partition_map::from_snapshot);
  return after == maps.begin() ? maps.front() : *std::prev(after);
}

const data_centre* fleet_model::find_data_centre(
    std::string_view id) const noexcept {
  return find(data_centres, id);
}

const daemon_entry* fleet_model::find_daemon(
    std::string_view id) const noexcept {
  return find(daemons, id);
}

const leaf* fleet_model::find_leaf(std::string_view id) const noexcept {
  return find(leafs, id);
}

const service* fleet_model::find_service(std::string_view id) const noexcept {
  return find(services, id);
}

std::optional<daemon_index> fleet_model::index_of_daemon(
    std::string_view id) const noexcept {
  const daemon_entry* found = find(daemons, id);
  if (found == nullptr) return std::nullopt;
  return static_cast<daemon_index>(found - daemons.data());
}

bool fleet_model::is_out(std::string_view data_centre_id) const noexcept {
  const data_centre* found = find_data_centre(data_centre_id);
  return found == nullptr || found->out;
}

}  // namespace medlarloft::notes
