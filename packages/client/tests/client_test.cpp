#include "medlarloft/client.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace medlarloft::client {
namespace {

struct run_result {
  int code;
  std::string out;
  std::string error;
};

run_result run(std::vector<std::string> arguments,
               const options& settings = {}) {
  const command found = find_command(arguments);
  if (!found) return {exit_invalid, "", "no such command"};
  std::ostringstream out;
  std::ostringstream error;
  const int code = found(settings, arguments, {out, error});
  return {code, out.str(), error.str()};
}

const std::string attiki_note =
    std::string(MEDLARLOFT_SOURCE_DIR) + "/examples/attiki/note-1.json";

TEST(commands, unknown_commands_are_not_found) {
  std::vector<std::string> arguments{"note", "burn"};
  EXPECT_FALSE(find_command(arguments));
}

TEST(note_check, accepts_the_example_deployments) {
  for (const char* name : {"attiki", "cairo"}) {
    const run_result checked = run({"note", "check",
                                    std::string(MEDLARLOFT_SOURCE_DIR) +
                                        "/examples/" + name + "/note-1.json"});
    EXPECT_EQ(checked.code, exit_ok) << checked.error;
    EXPECT_NE(checked.out.find("valid: version 1"), std::string::npos);
  }
}

TEST(note_check, reports_file_path_value_and_reason) {
  const std::string path = testing::TempDir() + "/bad-note.json";
  std::ofstream(path) << R"({"version":2,"base":1,
    "services":{"withdraw":["nothing"]}})";
  const run_result checked = run({"note", "check", attiki_note, path});
  EXPECT_EQ(checked.code, exit_invalid);
  for (const char* part : {"bad-note.json", "services.withdraw.nothing",
                           "\"nothing\"", "does not exist"}) {
    EXPECT_NE(checked.error.find(part), std::string::npos) << checked.error;
  }
  EXPECT_EQ(run({"note", "check", "/no/such/file"}).code, exit_invalid);
}

TEST(note_diff, shows_what_the_last_note_changes) {
  const std::string path = testing::TempDir() + "/out-note.json";
  std::ofstream(path) << R"({"version":2,"base":1,"data_centres":{"change":[
    {"id":"attiki-2","region":"attiki","out":true}]}})";
  EXPECT_EQ(run({"note", "diff", attiki_note, path}).out,
            "~ data_centre attiki-2\n");
}

TEST(note_render, writes_values_with_the_head_last) {
  const std::string folder = testing::TempDir() + "/values";
  std::filesystem::remove_all(folder);
  const run_result rendered =
      run({"note", "render", attiki_note}, {.output_folder = folder});
  EXPECT_EQ(rendered.code, exit_ok) << rendered.error;
  EXPECT_TRUE(std::filesystem::exists(folder + "/medlarloft/head"));
  EXPECT_LT(rendered.out.find("medlarloft/notes/1/0"),
            rendered.out.find("medlarloft/head"));
}

TEST(status, reports_a_daemon_that_does_not_answer) {
  const run_result status =
      run({"note", "status"}, {.daemons = {{"127.0.0.1", 1}}});
  EXPECT_EQ(status.code, exit_failed);
  EXPECT_NE(status.error.find("127.0.0.1:1: did not answer"),
            std::string::npos);
}

TEST(take_out, requires_a_data_centre_and_daemons) {
  EXPECT_EQ(run({"take-out"}).code, exit_invalid);
}

}  // namespace
}  // namespace medlarloft::client
