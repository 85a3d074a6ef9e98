#pragma once

/// The commands listed by usage().

#include "medlarloft/client.hpp"

namespace medlarloft::client::detail {

using arguments = std::vector<std::string>;

int note_check(const options& settings, const arguments& files,
               const console& io);
int note_diff(const options& settings, const arguments& files,
              const console& io);
int note_render(const options& settings, const arguments& files,
                const console& io);
int note_status(const options& settings, const arguments& args,
                const console& io);
int take_out(const options& settings, const arguments& args, const console& io);
int bring_back(const options& settings, const arguments& args,
               const console& io);
int members(const options& settings, const arguments& args, const console& io);
int servers(const options& settings, const arguments& args, const console& io);
int stats(const options& settings, const arguments& args, const console& io);
int merged_timeline(const options& settings, const arguments& args,
                    const console& io);
int addresses(const options& settings, const arguments& args,
              const console& io);
int explain(const options& settings, const arguments& args, const console& io);
int ask(const options& settings, const arguments& args, const console& io);

}  // namespace medlarloft::client::detail
