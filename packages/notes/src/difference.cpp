#include <algorithm>
#include <iterator>

#include "medlarloft/notes.hpp"

namespace medlarloft::notes {
namespace {

// Walks two lists sorted by id and names what only one holds or what differs.
template <class Entity>
void compare(const char* kind, const std::vector<Entity>& from,
             const std::vector<Entity>& to, std::vector<std::string>& lines) {
  const std::string prefix = std::string(kind) + " ";
  auto old_entry = from.begin();
  auto new_entry = to.begin();
  while (old_entry != from.end() || new_entry != to.end()) {
    const bool only_old =
        new_entry == to.end() ||
        (old_entry != from.end() && old_entry->id < new_entry->id);
    const bool only_new =
        !only_old && (old_entry == from.end() || new_entry->id < old_entry->id);
    if (only_old) {
      lines.push_back("- " + prefix + old_entry->id);
      ++old_entry;
    } else if (only_new) {
      lines.push_back("+ " + prefix + new_entry->id);
      ++new_entry;
    } else {
      if (old_entry->digest != new_entry->digest) {
        lines.push_back("~ " + prefix + new_entry->id);
      }
      ++old_entry;
      ++new_entry;
    }
  }
}

}  // namespace

std::vector<std::string> difference(const fleet_model& from,
                                    const fleet_model& to) {
  std::vector<std::string> lines;
  compare("data_centre", from.data_centres, to.data_centres, lines);
  compare("daemon", from.daemons, to.daemons, lines);
  compare("backend_server", from.leafs, to.leafs, lines);
  compare("service", from.services, to.services, lines);
  return lines;
}

}  // namespace medlarloft::notes
