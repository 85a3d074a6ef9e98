#pragma once

/// The control thread's state: notes, members, shares, and the view that it
/// publishes. Lives on the control loop.

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "context.hpp"
#include "leaf_pool.hpp"
#include "medlarloft/membership.hpp"
#include "medlarloft/notes.hpp"
#include "medlarloft/peers.hpp"
#include "medlarloft/placement.hpp"
#include "medlarloft/sources.hpp"
#include "platform.hpp"

namespace medlarloft::server {

/// What control needs of the rest of the daemon.
struct control_hooks {
  /// Hands the traffic threads a new view.
  std::function<void(view_ptr)> publish;
  /// Hands them another daemon's word about a server.
  std::function<void(membership::server_report)> word;
  /// Asks them for the state of their servers.
  std::function<void(std::function<void(std::vector<leaf_status>)>)> servers;
};

class control {
 public:
  control(daemon_context& context, peers::event_loop& loop,
          control_hooks hooks);

  /// Starts listening and reading; an error says what cannot be had.
  peers::peer_result<void> start();

  /// Tells callers and peers that this daemon leaves; it serves on.
  void begin_stop();
  /// Tells peers that it has left.
  void finish_stop();
  void close();

  const notes::note_store& store() const noexcept { return store_; }
  std::vector<membership::member_record> members() const;
  std::uint64_t reads() const noexcept { return reader_.reads(); }
  peers::control_counters sent() const noexcept { return client_->sent(); }
  bool watching() const noexcept { return watching_; }

 private:
  void tick();
  void arm();
  void deliver(const membership::message& received);
  void carry_out(const membership::outputs& wanted);
  void offer(const std::vector<notes::release_note>& chain,
             std::uint64_t digest, const std::string& source,
             const std::string& root, bool first_hand);
  void accepted(const notes::model_ptr& before,
                const notes::offer_outcome& outcome, const std::string& source,
                const std::string& root, bool first_hand);
  void take_step(const notes::model_ptr& before, const notes::model_ptr& model);
  void note_centres(const notes::fleet_model& before);
  bool has_watch_duty() const;
  void run_reader();
  void carry_out(const sources::reader_outputs& wanted);
  void poll_hosts();
  void take_hosts(std::vector<sources::host_entry> list);
  void renew_view();
  void publish();
  void send_words();
  bool gone(const std::string& daemon) const;
  bool must_bootstrap() const;
  std::vector<placement::leaf_share> granted_shares(
      const notes::fleet_model& model) const;

  daemon_context& context_;
  peers::event_loop& loop_;
  control_hooks hooks_;
  notes::note_store store_;
  membership::group group_;
  sources::note_reader reader_;
  sources::host_list_state hosts_;
  placement::share_ledger shares_;
  std::shared_ptr<const placement::home_table> homes_;
  std::shared_ptr<const placement::address_book> addresses_;
  platform_hooks platform_;
  std::unique_ptr<peers::control_client> client_;
  std::unique_ptr<peers::control_server> server_;
  boost::asio::steady_timer timer_;
  std::set<std::string> listed_leaving_;
  time_point started_;
  time_point last_tick_;
  time_point next_hosts_;
  time_point next_words_;
  /// Set by whatever the view depends on; cleared when it is built.
  bool dirty_ = true;
  time_point next_build_{};
  time_point next_duty_{};
  bool watching_ = false;
  bool expired_ = true;
  bool ready_ = false;
  bool stopping_ = false;
  bool polling_ = false;
  std::string last_conflict_;
};

}  // namespace medlarloft::server
