#include "fleet_state.hpp"

#include "read_pace.hpp"

namespace medlarloft::tier {
fleet_state::fleet_state(const adapter& platform, leafs::leaf_set& leafs,
                         event_log& log, std::string operator_prefix)
    : platform_(platform),
      leafs_(leafs),
      log_(log),
      copy_({.removal_delay = removal_hold,
             .immediate_prefix = std::move(operator_prefix)}) {}

void fleet_state::apply(time_point now,
                        const std::vector<replica::change>& changes,
                        replica::revision upto, std::string_view source) {
  take(now, copy_.apply(now, changes, upto), source);
}

void fleet_state::apply_listing(time_point now,
                                const std::vector<replica::change>& listing,
                                replica::revision from,
                                std::string_view source) {
  take(now, copy_.apply_listing(now, listing, from), source);
}

void fleet_state::store_answers(time_point now, bool answers) {
  copy_.set_store_reachable(now, answers);
}

void fleet_state::tick(time_point now) {
  take(now, copy_.tick(now), "hold_ended");
}

void fleet_state::take(time_point now,
                       const std::vector<replica::update>& updates,
                       std::string_view source) {
  for (const replica::update& each : updates) {
    if (each.value) {
      take_record(now, each, source);
    } else {
      take_removal(each.key, source);
    }
  }
}

void fleet_state::take_record(time_point now, const replica::update& each,
                              std::string_view source) {
  record read = platform_.read_record(each.key, *each.value);
  if (auto* fresh = std::get_if<routes::configuration>(&read)) {
    take_configuration(std::move(*fresh), source);
  } else if (const auto* said = std::get_if<leafs::leaf_registration>(&read)) {
    leafs_.put(now, *said);
    log_.write("leaf_registered", {{"leaf", said->id},
                                   {"service", said->service},
                                   {"draining", said->draining},
                                   {"cold_for", said->cold_time_left},
                                   {"source", source},
                                   {"revision", copy_.last_revision()}});
  } else if (const auto* zone = std::get_if<data_centre_out>(&read)) {
    out_.insert(zone->data_centre);
    leafs_.set_data_centres_out(out_);
    log_.write("data_centre_out", {{"data_centre", zone->data_centre},
                                   {"source", source},
                                   {"revision", copy_.last_revision()}});
  } else {
    // A record that cannot be read names no leaf, also where one did before.
    if (platform_.parse_key(each.key).kind == record_kind::leaf) {
      leafs_.remove(platform_.parse_key(each.key).name);
    }
    log_.write("record_ignored",
               {{"key", each.key},
                {"reason", std::get<ignored_record>(read).reason},
                {"source", source}});
  }
}

void fleet_state::take_removal(const std::string& key,
                               std::string_view source) {
  const parsed_key subject = platform_.parse_key(key);
  if (subject.kind == record_kind::leaf) {
    leafs_.remove(subject.name);
    log_.write("leaf_gone", {{"leaf", subject.name}, {"source", source}});
  } else if (subject.kind == record_kind::data_centre_out) {
    out_.erase(subject.name);
    leafs_.set_data_centres_out(out_);
    log_.write("data_centre_back",
               {{"data_centre", subject.name}, {"source", source}});
  }
  // The configuration in force stays when its record is gone.
}

void fleet_state::take_configuration(routes::configuration fresh,
                                     std::string_view source) {
  if (table_ && fresh.version <= table_->version()) return;
  for (const auto& [name, service] : fresh.services) {
    leafs_.set_limits(name, {.max_connections = service.max_connections,
                             .cold_rate_limit = service.cold_rate_limit});
  }
  log_.write("configuration_in_force", {{"version", fresh.version},
                                        {"routes", fresh.routes.size()},
                                        {"source", source},
                                        {"revision", copy_.last_revision()}});
  table_ = std::make_shared<const routes::route_table>(std::move(fresh));
}

}  // namespace medlarloft::tier
