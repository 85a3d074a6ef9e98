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

struct loaded_notes {
  std::vector<notes::release_note> chain;
  // The model without the last note.
  notes::model_ptr previous = std::make_shared<notes::fleet_model>();
  notes::model_ptr model = std::make_shared<notes::fleet_model>();
};

// Reads the notes and applies them in order. Writes the first error.
std::optional<loaded_notes> load_notes(const arguments& files,
                                       const console& io) {
  loaded_notes loaded;
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
    const auto model = notes::fold(*loaded.model, note.value());
    if (!model) {
      io.error << path << ": " << model.error().text() << '\n';
      return std::nullopt;
    }
    loaded.previous = loaded.model;
    loaded.model = model.value();
    loaded.chain.push_back(note.value());
  }
  return loaded;
}

// Writes a temporary file and renames it, so readers never see a partial file.
// The caller writes the head last, so that all other values exist before it.
bool write_value(const std::string& folder,
                 const notes::published_value& value) {
  const std::filesystem::path path = std::filesystem::path(folder) / value.key;
  std::filesystem::create_directories(path.parent_path());
  const std::string temporary = path.string() + ".new";
  {
    std::ofstream file(temporary, std::ios::binary);
    file << value.text;
    if (!file.flush()) return false;
  }
  std::filesystem::rename(temporary, path);
  return true;
}

// Prints a note that takes a data centre out of service or brings it back.
int data_centre_note(const options& settings, const arguments& args, bool out,
                     const console& io) {
  if (args.size() != 1 || settings.daemons.empty()) {
    io.error << "one data centre and --daemons are required\n";
    return exit_invalid;
  }
  // Base the note on the newest one that is active on any daemon.
  notes::model_ptr newest = std::make_shared<notes::fleet_model>();
  for (const auto& response :
       fetch_all(settings.daemons, "/v1/note", settings.timeout)) {
    if (!response) continue;
    const auto note = notes::read_note(response.value().body);
    if (!note || note.value().version <= newest->version) continue;
    const auto model = notes::fold(notes::fleet_model{}, note.value());
    if (model) newest = model.value();
  }
  const notes::data_centre* centre = newest->find_data_centre(args[0]);
  if (centre == nullptr) {
    io.error << "data centre \"" << args[0] << "\" does not exist in note "
             << newest->version << '\n';
    return exit_invalid;
  }
  json change = {{"id", centre->id}, {"region", centre->region}};
  if (out) change["out"] = true;
  const json note = {
      {"version", newest->version + 1},
      {"base", newest->version},
      {"title", (out ? "take out " : "bring back ") + centre->id},
      {"data_centres", {{"change", json::array({change})}}}};
  io.out << note.dump(2) << '\n';
  return exit_ok;
}

}  // namespace

int note_check(const options&, const arguments& files, const console& io) {
  if (files.empty()) {
    io.error << "note check: at least one file is required\n";
    return exit_invalid;
  }
  const auto loaded = load_notes(files, io);
  if (!loaded) return exit_invalid;
  const notes::fleet_model& model = *loaded->model;
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
    io.error << "note diff: at least one file is required\n";
    return exit_invalid;
  }
  const auto loaded = load_notes(files, io);
  if (!loaded) return exit_invalid;
  for (const std::string& line :
       notes::difference(*loaded->previous, *loaded->model)) {
    io.out << line << '\n';
  }
  return exit_ok;
}

int note_render(const options& settings, const arguments& files,
                const console& io) {
  if (files.empty() || settings.output_folder.empty()) {
    io.error << "note render: files and --out are required\n";
    return exit_invalid;
  }
  const auto loaded = load_notes(files, io);
  if (!loaded) return exit_invalid;
  for (const notes::published_value& value :
       notes::render(loaded->chain, *loaded->model)) {
    if (!write_value(settings.output_folder, value)) {
      io.error << settings.output_folder << "/" << value.key
               << ": cannot be written\n";
      return exit_failed;
    }
    io.out << value.key << ' ' << value.text.size() << " bytes\n";
  }
  return exit_ok;
}

int take_out(const options& settings, const arguments& args,
             const console& io) {
  return data_centre_note(settings, args, true, io);
}

int bring_back(const options& settings, const arguments& args,
               const console& io) {
  return data_centre_note(settings, args, false, io);
}

}  // namespace medlarloft::client::detail
