#include <algorithm>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <ostream>
#include <sstream>

#include "commands.hpp"
#include "medlarloft/notes.hpp"

namespace medlarloft::client::detail {
namespace {

using nlohmann::json;

struct folded_files {
  std::vector<notes::release_note> chain;
  notes::model_ptr before = std::make_shared<notes::fleet_model>();
  notes::model_ptr model = std::make_shared<notes::fleet_model>();
};

// Reads and folds the files in order; writes the first problem.
std::optional<folded_files> fold_files(const arguments& files,
                                       const console& io) {
  folded_files folded;
  for (const std::string& path : files) {
    std::ifstream file(path, std::ios::binary);
    if (!file) {
      io.error << path << ": cannot be read\n";
      return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    const auto note = notes::read_note(text.str());
    if (!note) {
      io.error << path << ": " << note.error().text() << '\n';
      return std::nullopt;
    }
    const auto model = notes::fold(*folded.model, note.value());
    if (!model) {
      io.error << path << ": " << model.error().text() << '\n';
      return std::nullopt;
    }
    folded.before = folded.model;
    folded.model = model.value();
    folded.chain.push_back(note.value());
  }
  return folded;
}

// Publishing means that readers see whole files only, the head last.
bool write_value(const std::string& folder,
                 const notes::published_value& value) {
  const std::filesystem::path path = std::filesystem::path(folder) / value.key;
  std::filesystem::create_directories(path.parent_path());
  const std::string fresh = path.string() + ".new";
  {
    std::ofstream file(fresh, std::ios::binary);
    file << value.text;
    if (!file.flush()) return false;
  }
  std::filesystem::rename(fresh, path);
  return true;
}

int note_for_centre(const options& settings, const arguments& words, bool out,
                    const console& io) {
  if (words.size() != 1 || settings.daemons.empty()) {
    io.error << "needs one data centre and --daemons\n";
    return exit_invalid;
  }
  // The newest note that any daemon has in force is the base.
  notes::model_ptr newest = std::make_shared<notes::fleet_model>();
  for (const auto& answer :
       fetch_all(settings.daemons, "/v1/note", settings.timeout)) {
    if (!answer) continue;
    const auto note = notes::read_note(answer.value().body);
    if (!note || note.value().version <= newest->version) continue;
    const auto model = notes::fold(notes::fleet_model{}, note.value());
    if (model) newest = model.value();
  }
  const notes::data_centre* centre = newest->find_data_centre(words[0]);
  if (centre == nullptr) {
    io.error << "data centre \"" << words[0] << "\" does not exist in note "
             << newest->version << '\n';
    return exit_invalid;
  }
  json changed = {{"id", centre->id}, {"region", centre->region}};
  if (out) changed["out"] = true;
  const json note = {
      {"version", newest->version + 1},
      {"base", newest->version},
      {"title", (out ? "take out " : "bring back ") + centre->id},
      {"data_centres", {{"change", json::array({changed})}}}};
  io.out << note.dump(2) << '\n';
  return exit_ok;
}

}  // namespace

int note_check(const options&, const arguments& files, const console& io) {
  if (files.empty()) {
    io.error << "note check: needs at least one file\n";
    return exit_invalid;
  }
  const auto folded = fold_files(files, io);
  if (!folded) return exit_invalid;
  const notes::fleet_model& model = *folded->model;
  for (const std::string& line : notes::warnings(model)) {
    io.out << "warning: " << line << '\n';
  }
  io.out << "valid: version " << model.version << ", "
         << model.data_centres.size() << " data centres, "
         << model.daemons.size() << " daemons, " << model.leafs.size()
         << " backend servers, " << model.services.size() << " services\n";
  return exit_ok;
}

int note_diff(const options&, const arguments& files, const console& io) {
  if (files.empty()) {
    io.error << "note diff: needs at least one file\n";
    return exit_invalid;
  }
  const auto folded = fold_files(files, io);
  if (!folded) return exit_invalid;
  for (const std::string& line :
       notes::difference(*folded->before, *folded->model)) {
    io.out << line << '\n';
  }
  return exit_ok;
}

int note_render(const options& settings, const arguments& files,
                const console& io) {
  if (files.empty() || settings.out.empty()) {
    io.error << "note render: needs files and --out\n";
    return exit_invalid;
  }
  const auto folded = fold_files(files, io);
  if (!folded) return exit_invalid;
  for (const notes::published_value& value :
       notes::render(folded->chain, *folded->model)) {
    if (!write_value(settings.out, value)) {
      io.error << settings.out << "/" << value.key << ": cannot be written\n";
      return exit_failed;
    }
    io.out << value.key << ' ' << value.text.size() << " bytes\n";
  }
  return exit_ok;
}

int take_out(const options& settings, const arguments& words,
             const console& io) {
  return note_for_centre(settings, words, true, io);
}

int bring_back(const options& settings, const arguments& words,
               const console& io) {
  return note_for_centre(settings, words, false, io);
}

}  // namespace medlarloft::client::detail
