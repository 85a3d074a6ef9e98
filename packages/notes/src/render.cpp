#include <algorithm>
#include <array>
#include <cstdio>

#include "codec.hpp"
#include "medlarloft/notes.hpp"

namespace medlarloft::notes {
namespace {

using nlohmann::json;

constexpr std::array<const char*, 4> sections{"data_centres", "daemons",
                                              "backend_servers", "services"};
constexpr std::array<const char*, 3> verbs{"withdraw", "change", "add"};
// Room for the braces and the version keys of a part.
constexpr std::size_t part_overhead = 256;

// Collects the entries of a note into parts that stay below the limit.
class part_writer {
 public:
  explicit part_writer(const release_note& note) : note_(note) { open(); }

  void add(const char* section, const char* verb, const json& entry) {
    const std::size_t size = detail::dump(entry).size() + part_overhead / 4;
    if (bytes_ + size > max_value_bytes && bytes_ > part_overhead) open();
    parts_.back()[section][verb].push_back(entry);
    bytes_ += size;
  }

  std::vector<json> take() { return std::move(parts_); }

 private:
  void open() {
    parts_.push_back({{"version", note_.version}, {"base", note_.base}});
    bytes_ = part_overhead;
  }

  const release_note& note_;
  std::vector<json> parts_;
  std::size_t bytes_ = 0;
};

std::vector<json> split(const release_note& note) {
  const json document = json::parse(note.text);
  part_writer writer(note);
  for (const char* section : sections) {
    if (!document.contains(section)) continue;
    for (const char* verb : verbs) {
      if (!document[section].contains(verb)) continue;
      for (const json& entry : document[section][verb]) {
        writer.add(section, verb, entry);
      }
    }
  }
  return writer.take();
}

std::string hex(std::uint64_t value) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(value));
  return text.data();
}

}  // namespace

std::string write_head(const head& value) {
  json chain = json::array();
  for (const note_reference& step : value.chain) {
    chain.push_back(
        {{"version", step.version}, {"base", step.base}, {"keys", step.keys}});
  }
  return detail::dump({{"version", value.version},
                       {"digest", hex(value.digest)},
                       {"chain", std::move(chain)}});
}

std::vector<published_value> render(const std::vector<release_note>& chain,
                                    const fleet_model& folded) {
  std::vector<published_value> values;
  head committing{folded.version, folded.digest, {}};
  for (const release_note& note : chain) {
    note_reference step{note.version, note.base, {}};
    for (const json& part : split(note)) {
      std::string key = "medlarloft/notes/" + std::to_string(note.version) +
                        "/" + std::to_string(step.keys.size());
      values.push_back({key, detail::dump(part)});
      step.keys.push_back(std::move(key));
    }
    committing.chain.push_back(std::move(step));
  }
  values.push_back({std::string(head_key), write_head(committing)});
  return values;
}

note_result<release_note> join_parts(const std::vector<std::string>& parts) {
  json whole;
  for (const std::string& text : parts) {
    BOOST_OUTCOME_TRY(part, read_note(text));
    const json document = json::parse(part.text);
    if (whole.is_null()) {
      whole = {{"version", part.version}, {"base", part.base}};
    }
    if (whole["version"] != part.version || whole["base"] != part.base) {
      return note_error{note_errc::wrong_base, "version",
                        std::to_string(part.version),
                        "is not the version of the note's other parts"};
    }
    for (const char* section : sections) {
      if (!document.contains(section)) continue;
      for (const auto& [verb, entries] : document[section].items()) {
        json& into = whole[section][verb];
        if (into.is_null()) into = json::array();
        into.insert(into.end(), entries.begin(), entries.end());
      }
    }
  }
  return read_note(detail::dump(whole));
}

std::vector<note_reference> missing(const head& value, note_version have) {
  if (value.version <= have) return {};
  const auto next = std::ranges::find(value.chain, have, &note_reference::base);
  if (have != 0 && next != value.chain.end()) {
    return {next, value.chain.end()};
  }
  // The newest whole note is where a holder of nothing usable starts.
  const auto whole =
      std::find_if(value.chain.rbegin(), value.chain.rend(),
                   [](const note_reference& step) { return step.base == 0; });
  if (whole == value.chain.rend()) return {};
  return {std::prev(whole.base()), value.chain.end()};
}

}  // namespace medlarloft::notes
