#include <algorithm>

#include "capacity.hpp"
#include "medlarloft/front.hpp"
#include "medlarloft/peers.hpp"
#include "medlarloft/query.hpp"
#include "sample_service.hpp"

namespace medlarloft::bench {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t full_shards = 530;

// One query over all shards of a service, each answered at once.
void run_query(const notes::service& service) {
  query::attempt_id next = 0;
  query::request asked{.id = "r",
                       .service = &service,
                       .deadline = time_point(1s),
                       .snapshot = 7};
  query::execution run(asked, {.hedge_after = 20ms}, query::plain_hooks(next));
  const query::actions begun = run.start(time_point(0s));
  for (const query::send_action& one : begun.sends) {
    run.on_answer(time_point(5ms), one.attempt,
                  query::answer_of(*one.shard, 7));
  }
}

peers::subquery sample_part(std::size_t tasks) {
  peers::subquery work{.subquery_id = 1,
                       .request_id = "request",
                       .service = "desk",
                       .body = "find mast 7"};
  for (std::size_t i = 0; i < tasks; ++i) {
    work.tasks.push_back({.attempt = i,
                          .leaf = "leaf-" + std::to_string(i),
                          .shard = "s" + std::to_string(i),
                          .range = {i, i + 1},
                          .snapshot = 7});
  }
  return work;
}

}  // namespace

void measure_queries(std::vector<slope>& slopes) {
  for (const std::size_t shards :
       {std::size_t{10}, std::size_t{100}, std::size_t{300}, full_shards}) {
    const notes::service service = query::sample_service(shards, 3);
    add(slopes, "execution_ns", "ns per leaf request",
        static_cast<double>(shards),
        shortest_run(20, [&service] { run_query(service); }));
  }
}

void measure_codecs(std::vector<slope>& slopes) {
  for (const std::size_t tasks :
       {std::size_t{1}, std::size_t{9}, std::size_t{60}, full_shards}) {
    const peers::subquery work = sample_part(tasks);
    add(slopes, "part_bytes", "bytes per leaf request",
        static_cast<double>(tasks),
        static_cast<double>(peers::encoded_size(work)));
  }
  for (const std::size_t rows : {1U, 10U, 50U, 100U}) {
    front::leaf_reply reply{.request_id = "request", .start_id = "leaf#0"};
    for (std::size_t i = 0; i < rows; ++i) {
      reply.answer.rows.push_back(
          {"lease-desk/" + std::to_string(i), i, 1.0, "snapshot 7"});
    }
    reply.answer.range = {0, 1000};
    const std::string text = front::write_leaf_reply(reply);
    const auto size = static_cast<double>(rows);
    add(slopes, "leaf_reply_bytes", "bytes per row", size,
        static_cast<double>(text.size()));
    add(slopes, "read_leaf_reply_ns", "ns per row", size,
        shortest_run(50, [&text] { (void)front::read_leaf_reply(text); }));
  }
}

}  // namespace medlarloft::bench
