/// The stand-ins of a deployment in one process: the platform, every backend
/// server of a note, the links between data centres, and a page to steer
/// them. Ends by SIGTERM.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "leaf_fake.hpp"
#include "link_fake.hpp"
#include "medlarloft/settings.hpp"
#include "platform_fake.hpp"

ABSL_FLAG(std::string, folder, "", "folder with the published values");
ABSL_FLAG(std::string, note, "", "release note that lists the servers");
ABSL_FLAG(std::string, configuration, "127.0.0.1:6000",
          "address of the configuration service");
ABSL_FLAG(std::string, hosts, "127.0.0.1:6001", "address of the host list");
ABSL_FLAG(std::string, steer, "127.0.0.1:6002", "address of the steering page");
ABSL_FLAG(std::string, leaf_time, "2ms", "usual time of a leaf request");
ABSL_FLAG(std::string, link_delay, "4ms", "one-way delay between data centres");
ABSL_FLAG(int, link_port_offset, 1000,
          "a published peers address listens this far below its target");

namespace {

using namespace medlarloft;
using nlohmann::json;

struct flags {
  std::string folder;
  std::string note;
  endpoint configuration;
  endpoint hosts;
  endpoint steer;
  duration leaf_time{};
  duration link_delay{};
};

class deployment {
 public:
  deployment(net::io_context& loop, flags values, notes::model_ptr model);

  bool start();

 private:
  fakes::link_state rule(const std::string& from_ip, const endpoint& to);
  void steer(const net::http_request& request, const net::respond& answer);
  std::vector<fakes::leaf_fake*> chosen(const std::string& target);
  std::string leaf_command(const std::string& target);
  std::string link_command(const std::string& target);
  std::string record() const;

  flags flags_;
  notes::model_ptr model_;
  fakes::platform_fake platform_;
  std::vector<std::unique_ptr<fakes::leaf_fake>> leafs_;
  std::vector<std::unique_ptr<fakes::link_fake>> links_;
  std::map<std::string, std::string> centre_of_ip_;
  std::set<std::string> cut_;
  std::set<std::string> silent_;
  net::http_server steering_;
};

deployment::deployment(net::io_context& loop, flags values,
                       notes::model_ptr model)
    : flags_(std::move(values)),
      model_(std::move(model)),
      platform_(loop, flags_.folder, flags_.configuration, flags_.hosts),
      steering_(
          {&loop}, {.listen = flags_.steer},
          [this](std::size_t, const net::http_request& request,
                 const net::respond& answer) { steer(request, answer); }) {
  for (const notes::daemon_entry& daemon : model_->daemons) {
    centre_of_ip_[daemon.callers.ip] = daemon.data_centre;
  }
  for (const notes::leaf& leaf : model_->leafs) {
    leafs_.push_back(std::make_unique<fakes::leaf_fake>(
        loop,
        fakes::leaf_options{.config = leaf, .work_time = flags_.leaf_time},
        model_));
  }
  const int offset = absl::GetFlag(FLAGS_link_port_offset);
  for (const notes::daemon_entry& daemon : model_->daemons) {
    endpoint target = daemon.peers;
    target.port = static_cast<std::uint16_t>(target.port + offset);
    links_.push_back(std::make_unique<fakes::link_fake>(
        loop, daemon.peers, target,
        [this](const std::string& from, const endpoint& to) {
          return rule(from, to);
        }));
  }
}

bool deployment::start() {
  const auto failed = [](const std::string& text) {
    std::cerr << "medlarloft_standins: " << text << '\n';
    return false;
  };
  if (auto began = platform_.start(); !began) {
    return failed(began.error().text);
  }
  if (auto began = steering_.start(); !began) {
    return failed(began.error().text);
  }
  for (const auto& leaf : leafs_) {
    if (auto began = leaf->start(); !began) return failed(began.error().text);
  }
  for (const auto& link : links_) {
    if (auto began = link->start(); !began) return failed(began.error());
  }
  return true;
}

fakes::link_state deployment::rule(const std::string& from_ip,
                                   const endpoint& to) {
  const std::string& from = centre_of_ip_[from_ip];
  const std::string& there = centre_of_ip_[to.ip];
  fakes::link_state state;
  if (from == there) return state;
  state.delay = flags_.link_delay;
  state.cut = cut_.contains(from) || cut_.contains(there);
  state.silent = silent_.contains(from) || silent_.contains(there);
  return state;
}

std::vector<fakes::leaf_fake*> deployment::chosen(const std::string& target) {
  const std::string id = front::parameter(target, "id");
  const std::string centre = front::parameter(target, "data_centre");
  std::vector<fakes::leaf_fake*> found;
  for (const auto& leaf : leafs_) {
    const bool by_id = id.empty() || leaf->id().starts_with(id);
    const bool by_centre = centre.empty() || leaf->data_centre() == centre;
    if (by_id && by_centre) found.push_back(leaf.get());
  }
  return found;
}

std::string deployment::leaf_command(const std::string& target) {
  const auto number = [&target](const char* name) {
    return std::strtoull(front::parameter(target, name).c_str(), nullptr, 10);
  };
  const auto has = [&target](const char* name) {
    return !front::parameter(target, name).empty();
  };
  const auto leafs = chosen(target);
  for (fakes::leaf_fake* leaf : leafs) {
    if (has("restart")) leaf->restart();
    if (has("cold")) leaf->turn_cold();
    if (has("leaving")) leaf->set_leaving(number("leaving") != 0);
    if (has("silent")) leaf->faults().silent = number("silent") != 0;
    if (has("crossed")) leaf->faults().crossed = number("crossed") != 0;
    if (has("doubled")) leaf->faults().doubled = number("doubled") != 0;
    if (has("straggle_every")) {
      leaf->faults().straggle_every =
          static_cast<std::uint32_t>(number("straggle_every"));
    }
    if (has("newest")) {
      leaf->set_snapshots(number("oldest"), number("newest"));
    }
    if (has("slow")) {
      const auto slow = parse_duration(front::parameter(target, "slow"));
      if (slow) leaf->faults().slow = slow.value();
    }
  }
  return json{{"leafs", leafs.size()}}.dump();
}

std::string deployment::link_command(const std::string& target) {
  const std::string cut = front::parameter(target, "cut");
  const std::string silent = front::parameter(target, "silent");
  const std::string heal = front::parameter(target, "heal");
  if (!cut.empty()) cut_.insert(cut);
  if (!silent.empty()) silent_.insert(silent);
  for (const auto& link : links_)
    link->apply();
  // Silence holds open connections only; new ones work.
  silent_.clear();
  if (!heal.empty()) cut_.erase(heal);
  return json{{"cut", cut_}}.dump();
}

std::string deployment::record() const {
  json leafs = json::array();
  std::map<std::string, std::uint32_t> once;
  for (const auto& leaf : leafs_) {
    const fakes::leaf_record seen = leaf->record();
    leafs.push_back({{"id", leaf->id()},
                     {"data_centre", leaf->data_centre()},
                     {"started", seen.started},
                     {"finished", seen.finished},
                     {"shed", seen.shed},
                     {"most_in_flight", seen.most_in_flight},
                     {"most_in_flight_cold", seen.most_in_flight_cold},
                     {"cold_overloads", seen.cold_overloads},
                     {"slot_overloads", seen.slot_overloads},
                     {"most_connections", seen.most_connections},
                     {"connections", leaf->connections()}});
    for (const auto& [id, count] : leaf->once_runs())
      once[id] += count;
  }
  json runs = json::object();
  for (const auto& [id, count] : once)
    runs[id] = count;
  return json{{"leafs", leafs},
              {"once_runs", runs},
              {"configuration_reads", platform_.reads()}}
      .dump();
}

void deployment::steer(const net::http_request& request,
                       const net::respond& answer) {
  const std::string& target = request.target;
  if (target.starts_with("/leaf")) {
    answer({.body = leaf_command(target)});
  } else if (target.starts_with("/link")) {
    answer({.body = link_command(target)});
  } else if (target.starts_with("/configuration")) {
    const std::string kind = front::parameter(target, "fault");
    if (kind == "down") platform_.set_fault(fakes::fault::down);
    if (kind == "stale") platform_.set_fault(fakes::fault::stale);
    if (kind == "slow") platform_.set_fault(fakes::fault::slow);
    if (kind == "none") platform_.set_fault(fakes::fault::none);
    answer({.body = "{}"});
  } else if (target == "/record") {
    answer({.body = record()});
  } else {
    answer({.status = 404, .body = "{}"});
  }
}

int refuse(const std::string& text) {
  std::cerr << "medlarloft_standins: " << text << '\n';
  return 2;
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("Stand-ins for platform, servers and links.");
  absl::ParseCommandLine(argc, argv);
  flags values{.folder = absl::GetFlag(FLAGS_folder),
               .note = absl::GetFlag(FLAGS_note)};
  const auto configuration = parse_endpoint(absl::GetFlag(FLAGS_configuration));
  const auto hosts = parse_endpoint(absl::GetFlag(FLAGS_hosts));
  const auto steer = parse_endpoint(absl::GetFlag(FLAGS_steer));
  const auto leaf_time = parse_duration(absl::GetFlag(FLAGS_leaf_time));
  const auto link_delay = parse_duration(absl::GetFlag(FLAGS_link_delay));
  if (!configuration || !hosts || !steer) return refuse("bad address flag");
  if (!leaf_time || !link_delay) return refuse("bad duration flag");
  values.configuration = configuration.value();
  values.hosts = hosts.value();
  values.steer = steer.value();
  values.leaf_time = leaf_time.value();
  values.link_delay = link_delay.value();
  const auto text = settings::read_file(values.note);
  if (!text) return refuse(text.error().text());
  const auto note = notes::read_note(text.value());
  if (!note) return refuse(note.error().text());
  const auto model = notes::fold(notes::fleet_model{}, note.value());
  if (!model) return refuse(model.error().text());

  net::io_context loop;
  deployment all(loop, values, model.value());
  if (!all.start()) return 1;
  boost::asio::signal_set signals(loop, SIGTERM, SIGINT);
  signals.async_wait([&loop](const auto&, int) { loop.stop(); });
  loop.run();
  return 0;
}
