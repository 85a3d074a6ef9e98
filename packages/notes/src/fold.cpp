#include <algorithm>
#include <iterator>
#include <unordered_map>

#include "check.hpp"
#include "codec.hpp"
#include "medlarloft/notes.hpp"
#include "note_schema.hpp"

namespace medlarloft::notes {
namespace {

using nlohmann::json;

constexpr std::size_t max_note_depth = 16;

note_error from_document(const documents::document_error& error) {
  return {note_errc::document, error.path, error.value, error.reason};
}

note_result<json> read_document(std::string_view text,
                                const documents::schema& rules) {
  auto document = documents::parse(
      text, {.max_bytes = max_note_bytes, .max_depth = max_note_depth});
  if (!document) return from_document(document.error());
  const auto checked = rules.check(document.value());
  if (!checked) return from_document(checked.error());
  return std::move(document).value();
}

const documents::schema& note_rules() {
  static const documents::schema rules(detail::note_schema);
  return rules;
}

// Applies one section of a note to the entities of its kind, which stay
// sorted by id.
template <class Entity>
class section_fold {
 public:
  section_fold(std::string name, std::vector<Entity>& entities)
      : name_(std::move(name)), entities_(entities) {}

  note_result<void> apply(const json& note) {
    if (!note.contains(name_)) return outcome::success();
    const json& section = note.at(name_);
    BOOST_OUTCOME_TRYV(withdraw(section));
    BOOST_OUTCOME_TRYV(change(section));
    return add(section);
  }

 private:
  std::string path(const char* verb, const std::string& id) const {
    return name_ + "." + verb + "." + id;
  }

  Entity* find(std::string_view id) {
    const auto found = std::ranges::lower_bound(entities_, id, {}, &Entity::id);
    if (found == entities_.end() || found->id != id) return nullptr;
    return &*found;
  }

  note_result<void> withdraw(const json& section) {
    if (!section.contains("withdraw")) return outcome::success();
    for (const json& id : section.at("withdraw")) {
      const auto& text = id.get_ref<const std::string&>();
      Entity* found = find(text);
      if (found == nullptr) {
        return note_error{note_errc::does_not_exist, path("withdraw", text),
                          documents::excerpt(id), "does not exist"};
      }
      entities_.erase(entities_.begin() + (found - entities_.data()));
    }
    return outcome::success();
  }

  note_result<Entity> read_one(const json& value, const char* verb) {
    Entity read;
    const auto done = detail::read(value, read);
    if (!done) {
      note_error error = done.error();
      error.path = name_ + "." + verb + "." + error.path;
      return error;
    }
    return read;
  }

  note_result<void> change(const json& section) {
    if (!section.contains("change")) return outcome::success();
    for (const json& value : section.at("change")) {
      BOOST_OUTCOME_TRY(read, read_one(value, "change"));
      Entity* found = find(read.id);
      if (found == nullptr) {
        return note_error{note_errc::does_not_exist, path("change", read.id),
                          "\"" + read.id + "\"", "does not exist"};
      }
      *found = std::move(read);
    }
    return outcome::success();
  }

  note_result<void> add(const json& section) {
    if (!section.contains("add")) return outcome::success();
    const std::size_t before = entities_.size();
    for (const json& value : section.at("add")) {
      BOOST_OUTCOME_TRY(read, read_one(value, "add"));
      entities_.push_back(std::move(read));
    }
    const auto middle = entities_.begin() + static_cast<std::ptrdiff_t>(before);
    std::ranges::sort(middle, entities_.end(), {}, &Entity::id);
    std::ranges::inplace_merge(entities_, middle, {}, &Entity::id);
    const auto twice = std::ranges::adjacent_find(entities_, {}, &Entity::id);
    if (twice != entities_.end()) {
      return note_error{note_errc::already_exists, path("add", twice->id),
                        "\"" + twice->id + "\"", "already exists"};
    }
    return outcome::success();
  }

  std::string name_;
  std::vector<Entity>& entities_;
};

template <class Entity>
note_result<void> apply_section(const char* name, const json& note,
                                std::vector<Entity>& entities) {
  return section_fold<Entity>(name, entities).apply(note);
}

using leaf_positions = std::unordered_map<std::string_view, leaf_index>;

note_result<void> resolve(const service& owner, shard& part,
                          const leaf_positions& positions) {
  part.leafs.clear();
  for (const std::string& id : part.replicas) {
    const auto found = positions.find(id);
    if (found == positions.end()) {
      return note_error{
          note_errc::unknown_reference,
          "services." + owner.id + ".shards." + part.id + ".replicas",
          "\"" + id + "\"", "names no backend server"};
    }
    part.leafs.push_back(found->second);
  }
  return outcome::success();
}

note_result<void> resolve_replicas(fleet_model& model) {
  leaf_positions positions;
  positions.reserve(model.leafs.size());
  for (leaf_index i = 0; i < model.leafs.size(); ++i) {
    positions.emplace(model.leafs[i].id, i);
  }
  for (service& owner : model.services) {
    for (partition_map& map : owner.maps) {
      for (shard& part : map.shards) {
        BOOST_OUTCOME_TRYV(resolve(owner, part, positions));
      }
    }
  }
  return outcome::success();
}

template <class Entity>
std::uint64_t sum_digests(const std::vector<Entity>& entities) {
  std::uint64_t sum = 0;
  for (const Entity& entity : entities)
    sum += entity.digest;
  return sum;
}

std::uint64_t digest_of(const fleet_model& model) {
  const std::uint64_t sum =
      sum_digests(model.data_centres) + sum_digests(model.daemons) +
      sum_digests(model.leafs) + sum_digests(model.services);
  return hash_combine(model.version, sum);
}

template <class Entity>
json write_all(const std::vector<Entity>& entities) {
  json list = json::array();
  for (const Entity& entity : entities)
    list.push_back(detail::write(entity));
  return {{"add", std::move(list)}};
}

}  // namespace

note_result<release_note> read_note(std::string_view text) {
  BOOST_OUTCOME_TRY(document, read_document(text, note_rules()));
  release_note note;
  note.version = document.at("version").get<note_version>();
  note.base = document.at("base").get<note_version>();
  if (note.version <= note.base) {
    return note_error{note_errc::wrong_base, "version",
                      std::to_string(note.version),
                      "must be above its base " + std::to_string(note.base)};
  }
  note.text = detail::dump(document);
  return note;
}

note_result<model_ptr> fold(const fleet_model& base, const release_note& note) {
  if (note.base != 0 && note.base != base.version) {
    return note_error{
        note_errc::wrong_base, "base", std::to_string(note.base),
        "does not build on version " + std::to_string(base.version)};
  }
  BOOST_OUTCOME_TRY(document, read_document(note.text, note_rules()));
  auto model = std::make_shared<fleet_model>();
  if (note.base != 0) *model = base;
  model->version = note.version;
  BOOST_OUTCOME_TRYV(
      apply_section("data_centres", document, model->data_centres));
  BOOST_OUTCOME_TRYV(apply_section("daemons", document, model->daemons));
  BOOST_OUTCOME_TRYV(apply_section("backend_servers", document, model->leafs));
  BOOST_OUTCOME_TRYV(apply_section("services", document, model->services));
  BOOST_OUTCOME_TRYV(resolve_replicas(*model));
  BOOST_OUTCOME_TRYV(detail::check_meaning(*model));
  model->digest = digest_of(*model);
  return model_ptr(std::move(model));
}

release_note whole_note(const fleet_model& model) {
  const json document = {{"version", model.version},
                         {"base", 0},
                         {"data_centres", write_all(model.data_centres)},
                         {"daemons", write_all(model.daemons)},
                         {"backend_servers", write_all(model.leafs)},
                         {"services", write_all(model.services)}};
  return {model.version, 0, detail::dump(document)};
}

note_result<head> read_head(std::string_view text) {
  static const documents::schema rules(detail::head_schema);
  BOOST_OUTCOME_TRY(document, read_document(text, rules));
  head read;
  read.version = document.at("version").get<note_version>();
  read.digest =
      std::stoull(document.at("digest").get<std::string>(), nullptr, 16);
  for (const json& step : document.at("chain")) {
    read.chain.push_back({step.at("version").get<note_version>(),
                          step.at("base").get<note_version>(),
                          step.at("keys").get<std::vector<std::string>>()});
  }
  if (read.chain.back().version != read.version) {
    return note_error{note_errc::wrong_base, "version",
                      std::to_string(read.version),
                      "is not the version that the chain ends with"};
  }
  return read;
}

}  // namespace medlarloft::notes
