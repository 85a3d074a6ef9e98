#include <algorithm>

#include "medlarloft/quota.hpp"

namespace medlarloft::quota {
namespace {

constexpr std::size_t max_coordinators = 3;

}  // namespace

node::node(const options& settings)
    : id_(settings.id),
      client_({.id = settings.id,
               .process = settings.process,
               .allowed = settings.allowed,
               .started_at = settings.started_at}),
      coordinator_({.id = settings.id,
                    .process = settings.process,
                    .allowed = settings.allowed}) {}

void node::set_limits(const account_limits& limits) {
  client_.set_limits(limits);
  coordinator_.set_limits(limits);
}

// A daemon that is its own coordinator sends no message.
std::vector<envelope> node::tick(time_point now) {
  std::vector<envelope> messages = client_.tick(now);
  for (const envelope& sent : messages) {
    if (sent.to == id_)
      client_.receive(now, coordinator_.receive(now, sent.message));
  }
  std::erase_if(messages,
                [this](const envelope& sent) { return sent.to == id_; });
  return messages;
}

std::optional<envelope> node::receive(time_point now,
                                      const quota_message& message) {
  if (message.is_answer) {
    client_.receive(now, message);
    return std::nullopt;
  }
  return envelope{message.from, coordinator_.receive(now, message)};
}

void node::reset(time_point now) {
  client_.reset(now);
  coordinator_.reset();
}

std::vector<std::string> choose_coordinators(
    const std::map<std::string, std::uint32_t>& capacities) {
  std::uint32_t greatest = 0;
  for (const auto& [id, capacity] : capacities)
    greatest = std::max(greatest, capacity);
  std::vector<std::string> chosen;
  for (const auto& [id, capacity] : capacities)
    if (capacity >= greatest) chosen.push_back(id);
  std::ranges::sort(chosen, {}, [](const std::string& id) {
    return hash64(id, hash64("quota"));
  });
  if (chosen.size() > max_coordinators) chosen.resize(max_coordinators);
  return chosen;
}

}  // namespace medlarloft::quota
