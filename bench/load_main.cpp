/// Runs a load and prints its figures, as a table or as JSON.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>

#include "load.hpp"
#include "record_check.hpp"

ABSL_FLAG(std::vector<std::string>, start, {}, "callers' addresses to begin");
ABSL_FLAG(std::string, data_centre, "", "the callers' data centre");
ABSL_FLAG(std::string, name, "load", "prefix of the request ids");
ABSL_FLAG(double, rate, 100, "queries per second");
ABSL_FLAG(std::string, length, "5s", "how long to send");
ABSL_FLAG(std::vector<std::string>, mix, {},
          "service[:class][!]=weight, ! for not idempotent");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the mix");
ABSL_FLAG(std::string, json, "", "file for the figures as JSON");
ABSL_FLAG(bool, table, true, "print the table");
ABSL_FLAG(std::string, record, "",
          "the stand-ins' steering address; compares with what really ran");
ABSL_FLAG(std::string, started_in, "",
          "only print how many leaf requests began in this data centre");
ABSL_FLAG(bool, retry_not_run, true, "send a refused query once more");

namespace {

using namespace medlarloft;
using nlohmann::json;

int refuse(const std::string& text) {
  std::cerr << "medlarloft_load: " << text << '\n';
  return 2;
}

bench::mix_entry read_entry(const std::string& text) {
  bench::mix_entry entry;
  const std::size_t equals = text.find('=');
  std::string name = text.substr(0, equals);
  if (equals != std::string::npos) {
    entry.weight = std::strtod(text.c_str() + equals + 1, nullptr);
  }
  if (name.ends_with('!')) {
    entry.idempotent = false;
    name.pop_back();
  }
  const std::size_t colon = name.find(':');
  if (colon != std::string::npos) entry.priority = name.substr(colon + 1);
  entry.service = name.substr(0, colon);
  return entry;
}

double milliseconds(duration value) {
  return std::chrono::duration<double, std::milli>(value).count();
}

json to_json(const bench::load_figures& seen) {
  const double answered = static_cast<double>(seen.complete + seen.partial);
  return {{"sent", seen.sent},
          {"complete", seen.complete},
          {"partial", seen.partial},
          {"not_run", seen.not_run},
          {"unknown", seen.unknown},
          {"invalid", seen.invalid},
          {"lost", seen.lost},
          {"wrong", seen.wrong},
          {"retried", seen.retried},
          {"coverage", answered > 0 ? seen.coverage_sum / answered : 0.0},
          {"p50_ms", milliseconds(bench::quantile(seen.latencies, 0.5))},
          {"p99_ms", milliseconds(bench::quantile(seen.latencies, 0.99))},
          {"p999_ms", milliseconds(bench::quantile(seen.latencies, 0.999))}};
}

void print_row(const std::string& name, const json& row) {
  std::printf(
      "%-28s %7llu %7llu %7llu %7llu %7llu %5llu %5llu %8.4f %8.2f "
      "%8.2f %8.2f\n",
      name.c_str(), row["sent"].get<unsigned long long>(),
      row["complete"].get<unsigned long long>(),
      row["partial"].get<unsigned long long>(),
      row["not_run"].get<unsigned long long>(),
      row["unknown"].get<unsigned long long>(),
      row["lost"].get<unsigned long long>(),
      row["wrong"].get<unsigned long long>(), row["coverage"].get<double>(),
      row["p50_ms"].get<double>(), row["p99_ms"].get<double>(),
      row["p999_ms"].get<double>());
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("An open-loop load of callers.");
  absl::ParseCommandLine(argc, argv);
  bench::load_options options{
      .data_centre = absl::GetFlag(FLAGS_data_centre),
      .name = absl::GetFlag(FLAGS_name),
      .rate = absl::GetFlag(FLAGS_rate),
      .seed = absl::GetFlag(FLAGS_seed),
      .retry_not_run = absl::GetFlag(FLAGS_retry_not_run)};
  if (const std::string centre = absl::GetFlag(FLAGS_started_in);
      !centre.empty()) {
    const auto address = parse_endpoint(absl::GetFlag(FLAGS_record));
    if (!address) return refuse("--record: " + address.error().text);
    std::printf("%llu\n", static_cast<unsigned long long>(
                              bench::started_in(address.value(), centre)));
    return 0;
  }
  const auto length = parse_duration(absl::GetFlag(FLAGS_length));
  if (!length) return refuse("--length: " + length.error().text);
  options.length = length.value();
  for (const std::string& text : absl::GetFlag(FLAGS_start)) {
    const auto address = parse_endpoint(text);
    if (!address) return refuse("--start: " + address.error().text);
    options.start.push_back(address.value());
  }
  for (const std::string& text : absl::GetFlag(FLAGS_mix)) {
    options.mix.push_back(read_entry(text));
  }
  if (options.start.empty()) return refuse("--start: names no address");
  if (options.mix.empty()) return refuse("--mix: names no service");
  bench::load load(options);
  load.run();

  json all = json::object();
  bool sound = true;
  if (absl::GetFlag(FLAGS_table)) {
    std::printf("%-28s %7s %7s %7s %7s %7s %5s %5s %8s %8s %8s %8s\n",
                "queries", "sent", "whole", "partial", "not run", "unknown",
                "lost", "wrong", "coverage", "p50 ms", "p99 ms", "p99.9");
  }
  for (const auto& [name, seen] : load.figures()) {
    all[name] = to_json(seen);
    sound = sound && seen.lost == 0 && seen.wrong == 0;
    if (absl::GetFlag(FLAGS_table)) print_row(name, all[name]);
  }
  const std::vector<duration>& delays = load.send_delays();
  std::printf("machine: sends delayed by p99 %.2f ms, at most %.2f ms\n",
              milliseconds(bench::quantile(delays, 0.99)),
              milliseconds(bench::quantile(delays, 1.0)));
  if (const std::string at = absl::GetFlag(FLAGS_record); !at.empty()) {
    const auto address = parse_endpoint(at);
    if (!address) return refuse("--record: " + address.error().text);
    const bench::record_figures truth =
        bench::check_record(address.value(), load.once());
    bench::print(truth);
    sound = sound && truth.sound();
  }
  if (const std::string path = absl::GetFlag(FLAGS_json); !path.empty()) {
    json once = json::object();
    for (const auto& [id, kind] : load.once()) {
      once[id] = front::name_of(kind);
    }
    std::FILE* file = std::fopen(path.c_str(), "w");
    if (file == nullptr) return refuse("--json: cannot write " + path);
    const std::string text = json{{"figures", all}, {"once", once}}.dump(2);
    std::fwrite(text.data(), 1, text.size(), file);
    std::fclose(file);
  }
  return sound ? 0 : 1;
}
