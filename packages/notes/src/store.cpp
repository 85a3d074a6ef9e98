#include <algorithm>
#include <numeric>

#include "medlarloft/notes.hpp"

namespace medlarloft::notes {
namespace {

constexpr std::size_t max_recent_notes = 256;
constexpr std::size_t max_recent_bytes = 4U << 20;

offer_outcome refused(const note_error& error) {
  if (error.code == note_errc::wrong_base) {
    return {verdict::gap, error};
  }
  return {verdict::invalid, error};
}

note_error conflict_at(note_version version) {
  return {note_errc::conflict, "version", std::to_string(version),
          "is in force with other content"};
}

std::size_t total_bytes(const std::vector<release_note>& notes) {
  return std::accumulate(notes.begin(), notes.end(), std::size_t{0},
                         [](std::size_t sum, const release_note& note) {
                           return sum + note.text.size();
                         });
}

}  // namespace

note_store::note_store() : model_(std::make_shared<fleet_model>()) {}

offer_outcome note_store::offer(const release_note& note) {
  return offer_chain({note}, std::nullopt);
}

offer_outcome note_store::offer_chain(const std::vector<release_note>& chain,
                                      std::optional<std::uint64_t> digest) {
  if (chain.empty()) return {verdict::known};
  const note_version offered = chain.back().version;
  if (offered < version()) return {verdict::older};
  if (offered == version() && digest) {
    if (*digest == this->digest()) return {verdict::known};
    return {verdict::conflict, conflict_at(offered)};
  }
  model_ptr folded = model_;
  std::vector<const release_note*> applied;
  offer_outcome outcome{.result = verdict::accepted, .gapless = true};
  for (const release_note& note : chain) {
    const bool behind = note.version <= folded->version && note.base != 0;
    if (behind && note.version < offered) continue;
    if (behind && offered == version()) {
      // The same version again, as an increment: the digest would tell a
      // difference, and without one the first content stays.
      return {verdict::known};
    }
    auto next = fold(*folded, note);
    if (!next) return refused(next.error());
    const bool skips =
        note.base == 0 && folded->version != 0 && note.version != 1;
    if (skips) outcome.gapless = false;
    folded = std::move(next).value();
    outcome.steps.push_back(folded);
    applied.push_back(&note);
  }
  if (digest && folded->digest != *digest) {
    return {verdict::invalid,
            note_error{note_errc::digest_mismatch, "digest",
                       std::to_string(folded->digest),
                       "is not the digest that was published"}};
  }
  if (folded->version == version()) {
    if (folded->digest == this->digest()) {
      return {verdict::known};
    }
    return {verdict::conflict, conflict_at(offered)};
  }
  model_ = std::move(folded);
  whole_.reset();
  for (const release_note* note : applied)
    remember(*note);
  return outcome;
}

void note_store::remember(const release_note& note) {
  const bool follows = recent_.empty() || recent_.back().version == note.base;
  if (note.base == 0 || !follows) recent_.clear();
  if (note.base == 0) {
    whole_ = note;
    return;
  }
  recent_.push_back(note);
  while (recent_.size() > max_recent_notes ||
         total_bytes(recent_) > max_recent_bytes) {
    recent_.erase(recent_.begin());
  }
}

std::vector<release_note> note_store::since(note_version from) const {
  if (from >= version()) return {};
  const auto next = std::find_if(
      recent_.begin(), recent_.end(),
      [from](const release_note& note) { return note.base == from; });
  if (from != 0 && next != recent_.end()) return {next, recent_.end()};
  if (!whole_ || whole_->version != version()) whole_ = whole_note(*model_);
  return {*whole_};
}

}  // namespace medlarloft::notes
