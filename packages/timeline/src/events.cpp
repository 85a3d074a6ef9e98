#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <iterator>
#include <nlohmann/json.hpp>

#include "medlarloft/timeline.hpp"

namespace medlarloft::timeline {
namespace {

constexpr std::array<std::string_view, 22> kind_names{
    "note_accepted",    "note_refused",  "source_failed",
    "source_recovered", "member_joined", "member_suspected",
    "member_left",      "member_failed", "data_centre_out",
    "data_centre_in",   "server_cold",   "server_warm",
    "server_leaving",   "server_back",   "connection_silent",
    "query_refused",    "hedge_sent",    "snapshot_rerun",
    "view_expired",     "view_renewed",  "stop_began",
    "stop_finished"};

nlohmann::json to_json_object(const event& entry) {
  return {
      {"wall_us", entry.timestamp.wall}, {"logical", entry.timestamp.logical},
      {"process", entry.process},        {"kind", name_of(entry.kind)},
      {"subject", entry.subject},        {"detail", entry.detail}};
}

std::string dump(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

event from_json_object(const nlohmann::json& value) {
  event entry;
  entry.timestamp.wall = value.at("wall_us").get<std::uint64_t>();
  entry.timestamp.logical = value.at("logical").get<std::uint32_t>();
  entry.process = value.at("process").get<std::string>();
  entry.subject = value.at("subject").get<std::string>();
  entry.detail = value.at("detail").get<std::string>();
  const auto name = value.at("kind").get<std::string>();
  const auto kind = std::ranges::find(kind_names, name);
  if (kind == kind_names.end()) {
    throw std::invalid_argument("unknown event kind \"" + name + "\"");
  }
  entry.kind = static_cast<event_kind>(kind - kind_names.begin());
  return entry;
}

}  // namespace

std::string_view name_of(event_kind kind) noexcept {
  return kind_names[static_cast<std::size_t>(kind)];
}

void event_ring::add(event entry) {
  const std::lock_guard<std::mutex> guard(mutex_);
  if (events_.size() < capacity_) {
    events_.push_back(std::move(entry));
    return;
  }
  events_[next_] = std::move(entry);
  next_ = (next_ + 1) % capacity_;
  ++dropped_;
}

std::vector<event> event_ring::events() const {
  const std::lock_guard<std::mutex> guard(mutex_);
  std::vector<event> ordered(events_);
  std::rotate(ordered.begin(),
              ordered.begin() + static_cast<std::ptrdiff_t>(next_),
              ordered.end());
  return ordered;
}

std::uint64_t event_ring::dropped() const {
  const std::lock_guard<std::mutex> guard(mutex_);
  return dropped_;
}

std::vector<event> merge(std::vector<process_events> processes) {
  std::vector<event> all;
  for (process_events& process : processes) {
    std::ranges::move(process.events, std::back_inserter(all));
  }
  std::ranges::stable_sort(all, [](const event& left, const event& right) {
    if (left.timestamp != right.timestamp)
      return left.timestamp < right.timestamp;
    return left.process < right.process;
  });
  return all;
}

std::string to_text(const event& entry) {
  const std::time_t seconds =
      static_cast<std::time_t>(entry.timestamp.wall / 1'000'000);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, 64> time{};
  std::snprintf(time.data(), time.size(), "%02d:%02d:%02d.%06u+%u", utc.tm_hour,
                utc.tm_min, utc.tm_sec,
                static_cast<unsigned>(entry.timestamp.wall % 1'000'000),
                entry.timestamp.logical);
  std::string line(time.data());
  line += "  " + entry.process + "  " + std::string(name_of(entry.kind));
  if (!entry.subject.empty()) line += "  " + entry.subject;
  if (!entry.detail.empty()) line += "  " + entry.detail;
  return line;
}

std::string to_json_line(const event& entry) {
  return dump(to_json_object(entry));
}

std::string to_json(const std::vector<event>& events) {
  nlohmann::json list = nlohmann::json::array();
  std::ranges::transform(events, std::back_inserter(list), to_json_object);
  return dump(list);
}

result<std::vector<event>, timeline_error> from_json(std::string_view text) {
  try {
    const nlohmann::json list = nlohmann::json::parse(text);
    std::vector<event> events;
    std::ranges::transform(list, std::back_inserter(events), from_json_object);
    return events;
  } catch (const std::exception& error) {
    return timeline_error{timeline_errc::malformed, error.what()};
  }
}

}  // namespace medlarloft::timeline
