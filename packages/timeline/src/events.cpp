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

nlohmann::json as_json(const event& entry) {
  return {{"wall_us", entry.at.wall}, {"logical", entry.at.logical},
          {"process", entry.process}, {"kind", name_of(entry.kind)},
          {"subject", entry.subject}, {"detail", entry.detail}};
}

std::string dump(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

event event_from(const nlohmann::json& value) {
  event entry;
  entry.at.wall = value.at("wall_us").get<std::uint64_t>();
  entry.at.logical = value.at("logical").get<std::uint32_t>();
  entry.process = value.at("process").get<std::string>();
  entry.subject = value.at("subject").get<std::string>();
  entry.detail = value.at("detail").get<std::string>();
  const auto name = value.at("kind").get<std::string>();
  const auto found = std::ranges::find(kind_names, name);
  if (found == kind_names.end()) {
    throw std::invalid_argument("unknown event kind \"" + name + "\"");
  }
  entry.kind = static_cast<event_kind>(found - kind_names.begin());
  return entry;
}

}  // namespace

std::string_view name_of(event_kind kind) noexcept {
  return kind_names[static_cast<std::size_t>(kind)];
}

void ring::add(event entry) {
  const std::lock_guard<std::mutex> guard(mutex_);
  if (events_.size() < capacity_) {
    events_.push_back(std::move(entry));
    return;
  }
  events_[next_] = std::move(entry);
  next_ = (next_ + 1) % capacity_;
  ++dropped_;
}

std::vector<event> ring::events() const {
  const std::lock_guard<std::mutex> guard(mutex_);
  std::vector<event> ordered(events_);
  std::rotate(ordered.begin(),
              ordered.begin() + static_cast<std::ptrdiff_t>(next_),
              ordered.end());
  return ordered;
}

std::uint64_t ring::dropped() const {
  const std::lock_guard<std::mutex> guard(mutex_);
  return dropped_;
}

std::vector<event> merge(std::vector<report> reports) {
  std::vector<event> all;
  for (report& part : reports) {
    std::ranges::move(part.events, std::back_inserter(all));
  }
  std::ranges::stable_sort(all, [](const event& left, const event& right) {
    if (left.at != right.at) return left.at < right.at;
    return left.process < right.process;
  });
  return all;
}

std::string to_text(const event& entry) {
  const std::time_t seconds =
      static_cast<std::time_t>(entry.at.wall / 1'000'000);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 64> time{};
  std::snprintf(time.data(), time.size(), "%02d:%02d:%02d.%06u+%u",
                parts.tm_hour, parts.tm_min, parts.tm_sec,
                static_cast<unsigned>(entry.at.wall % 1'000'000),
                entry.at.logical);
  std::string line(time.data());
  line += "  " + entry.process + "  " + std::string(name_of(entry.kind));
  if (!entry.subject.empty()) line += "  " + entry.subject;
  if (!entry.detail.empty()) line += "  " + entry.detail;
  return line;
}

std::string to_json_line(const event& entry) {
  return dump(as_json(entry));
}

std::string to_json(const std::vector<event>& events) {
  nlohmann::json list = nlohmann::json::array();
  std::ranges::transform(events, std::back_inserter(list), as_json);
  return dump(list);
}

result<std::vector<event>, timeline_error> from_json(std::string_view text) {
  try {
    const nlohmann::json list = nlohmann::json::parse(text);
    std::vector<event> events;
    std::ranges::transform(list, std::back_inserter(events), event_from);
    return events;
  } catch (const std::exception& error) {
    return timeline_error{timeline_errc::malformed, error.what()};
  }
}

}  // namespace medlarloft::timeline
