#include "attempt_log.hpp"

#include <algorithm>

namespace medlarloft::tier {
namespace {

bool is_uneventful(const attempt_record& each) {
  return each.kind == fanout::attempt_kind::first &&
         each.outcome == leafs::attempt_outcome::answered;
}

}  // namespace

duration to_whole_us(duration value) {
  return std::chrono::floor<std::chrono::microseconds>(value);
}

const attempt_record& attempt_log::end(time_point now,
                                       leafs::attempt_id attempt,
                                       leafs::attempt_outcome outcome) {
  attempt_record& ended =
      *std::ranges::find(records_, attempt, &attempt_record::attempt);
  ended.outcome = outcome;
  ended.elapsed = now - ended.sent_at;
  return ended;
}

std::vector<connection_id> attempt_log::connections_to(
    leafs::leaf_handle leaf) const {
  std::vector<connection_id> connections;
  for (const attempt_record& each : records_)
    if (each.leaf == leaf) connections.push_back(each.connection);
  return connections;
}

void attempt_log::write(event_log& log, const std::string& request_id,
                        time_point received_at,
                        const std::vector<std::string>& services) const {
  for (const attempt_record& each : records_) {
    if (is_uneventful(each)) continue;
    log.write("attempt",
              {{"request", request_id},
               {"service", services[each.shard]},
               {"kind", fanout::name_of(each.kind)},
               {"leaf", each.registration->id},
               {"data_centre", each.registration->data_centre},
               {"connection", each.connection},
               {"sent_after", to_whole_us(each.sent_at - received_at)},
               {"expected", to_whole_us(each.expected_time)},
               {"ending",
                each.outcome ? leafs::name_of(*each.outcome) : "no_answer_yet"},
               {"took", to_whole_us(each.elapsed)}});
  }
}

}  // namespace medlarloft::tier
