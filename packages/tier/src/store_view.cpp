#include "store_view.hpp"

#include "store_read_timing.hpp"

namespace medlarloft::tier {

store_view::store_view(const adapter& platform, leafs::leaf_set& leafs,
                       event_log& log, std::string operator_prefix)
    : platform_(platform),
      leafs_(leafs),
      log_(log),
      records_({.removal_delay = record_removal_delay,
                .immediate_prefix = std::move(operator_prefix)}) {}

void store_view::apply(time_point now,
                       const std::vector<replica::change>& changes,
                       replica::position position, std::string_view source) {
  apply_updates(now, records_.apply(now, changes, position), source);
}

void store_view::apply_listing(time_point now,
                               const std::vector<replica::change>& listing,
                               replica::position position,
                               std::string_view source) {
  const replica::position before = records_.last_position();
  const bool restored =
      before > replica::position{} && position.era() > before.era();
  const auto updates = records_.apply_listing(now, listing, position);
  if (restored) {
    log_.write("store_restored", {{"from_era", before.era()},
                                  {"to_era", position.era()},
                                  {"from_revision", before.number()},
                                  {"revision", position.number()},
                                  {"source", source}});
  }
  apply_updates(now, updates, source);
}

void store_view::set_store_state(time_point now, replica::store_state state) {
  records_.set_store_state(now, state);
}

void store_view::tick(time_point now) {
  apply_updates(now, records_.tick(now), "hold_ended");
}

void store_view::apply_updates(time_point now,
                               const std::vector<replica::update>& updates,
                               std::string_view source) {
  for (const replica::update& update : updates) {
    if (update.value) {
      apply_record(now, update, source);
    } else {
      apply_removal(now, update.key, source);
    }
  }
}

void store_view::apply_record(time_point now, const replica::update& update,
                              std::string_view source) {
  record read = platform_.read_record(update.key, *update.value);
  if (auto* configuration = std::get_if<routes::configuration>(&read)) {
    apply_configuration(now, std::move(*configuration), source);
  } else if (const auto* leaf = std::get_if<leafs::leaf_registration>(&read)) {
    const leafs::leaf_handle handle = leafs_.put(now, *leaf);
    log_.write("leaf_registered",
               {{"leaf", leaf->id},
                {"service", leaf->service},
                {"draining", leaf->draining},
                {"usable", leafs_.usable(handle)},
                {"cold_for", leaf->cold_time_left},
                {"source", source},
                {"revision", records_.last_position().number()}});
  } else if (const auto* out = std::get_if<data_centre_out>(&read)) {
    data_centres_out_.insert(out->data_centre);
    leafs_.set_data_centres_out(data_centres_out_);
    log_.write("data_centre_out",
               {{"data_centre", out->data_centre},
                {"source", source},
                {"revision", records_.last_position().number()}});
  } else {
    // A malformed record removes the leaf that an earlier value described.
    if (platform_.parse_key(update.key).kind == record_kind::leaf) {
      leafs_.remove(now, platform_.parse_key(update.key).name);
    }
    log_.write("record_ignored",
               {{"key", update.key},
                {"reason", std::get<ignored_record>(read).reason},
                {"source", source}});
  }
}

void store_view::apply_removal(time_point now, const std::string& key,
                               std::string_view source) {
  const parsed_key parsed = platform_.parse_key(key);
  if (parsed.kind == record_kind::leaf) {
    leafs_.remove(now, parsed.name);
    log_.write("leaf_gone", {{"leaf", parsed.name}, {"source", source}});
  } else if (parsed.kind == record_kind::data_centre_out) {
    data_centres_out_.erase(parsed.name);
    leafs_.set_data_centres_out(data_centres_out_);
    log_.write("data_centre_back",
               {{"data_centre", parsed.name}, {"source", source}});
  }
  // The configuration in force stays when its record is removed.
}

void store_view::apply_configuration(time_point now,
                                     routes::configuration configuration,
                                     std::string_view source) {
  if (table_ && configuration.version <= table_->version()) return;
  for (const auto& [name, service] : configuration.services) {
    leafs_.set_limits(now, name,
                      {.max_connections = service.max_connections,
                       .cold_rate_limit = service.cold_rate_limit});
  }
  log_.write("configuration_in_force",
             {{"version", configuration.version},
              {"routes", configuration.routes.size()},
              {"accounts", configuration.accounts.size()},
              {"source", source},
              {"revision", records_.last_position().number()}});
  table_ =
      std::make_shared<const routes::route_table>(std::move(configuration));
  for (const std::string& problem : table_->problems()) {
    log_.write("configuration_ambiguous",
               {{"version", table_->version()}, {"problem", problem}});
  }
}

}  // namespace medlarloft::tier
