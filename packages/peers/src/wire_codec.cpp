#include "wire_codec.hpp"

#include <capnp/serialize.h>

#include <stdexcept>

namespace medlarloft::peers {
namespace detail {
namespace {

std::int64_t to_nanoseconds(duration value) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(value).count();
}

duration to_duration(std::int64_t nanoseconds) {
  return std::chrono::duration_cast<duration>(
      std::chrono::nanoseconds(nanoseconds));
}

template <class Enum>
Enum checked_enum(std::uint8_t value, Enum last) {
  if (value > static_cast<std::uint8_t>(last)) {
    throw std::invalid_argument("enumerator " + std::to_string(value) +
                                " is out of range");
  }
  return static_cast<Enum>(value);
}

unsigned list_size(std::size_t size) {
  return static_cast<unsigned>(size);
}

void write(const query::row& from, wire::Row::Builder to) {
  to.setId(from.id);
  to.setPosition(from.position);
  to.setScore(from.score);
  to.setBody(from.body);
}

query::row read(wire::Row::Reader from) {
  return {text_of(from.getId()), from.getPosition(), from.getScore(),
          text_of(from.getBody())};
}

void write(const task_result& from, wire::TaskResult::Builder to) {
  to.setAttempt(from.attempt);
  to.setHow(static_cast<std::uint8_t>(from.status));
  to.setSnapshot(from.answer.snapshot);
  to.setRangeFrom(from.answer.range.from);
  to.setRangeTo(from.answer.range.to);
  to.setOldest(from.oldest);
  to.setNewest(from.newest);
  to.setLatency(to_nanoseconds(from.latency));
  auto rows = to.initRows(list_size(from.answer.rows.size()));
  for (unsigned i = 0; i < rows.size(); ++i) {
    write(from.answer.rows[i], rows[i]);
  }
}

task_result read(wire::TaskResult::Reader from) {
  task_result result;
  result.attempt = from.getAttempt();
  result.status = checked_enum(from.getHow(), task_status::overloaded);
  result.answer.snapshot = from.getSnapshot();
  result.answer.range = {from.getRangeFrom(), from.getRangeTo()};
  result.oldest = from.getOldest();
  result.newest = from.getNewest();
  result.latency = to_duration(from.getLatency());
  result.answer.rows.reserve(from.getRows().size());
  for (const auto row : from.getRows())
    result.answer.rows.push_back(read(row));
  return result;
}

void write(const membership::member_record& from, wire::Member::Builder to) {
  to.setId(from.id);
  to.setDataCentre(from.data_centre);
  to.setControlIp(from.control.ip);
  to.setControlPort(from.control.port);
  to.setIncarnation(from.incarnation);
  to.setState(static_cast<std::uint8_t>(from.state));
  to.setCapacity(from.capacity);
}

membership::member_record read(wire::Member::Reader from) {
  return {text_of(from.getId()),
          text_of(from.getDataCentre()),
          {text_of(from.getControlIp()), from.getControlPort()},
          from.getIncarnation(),
          checked_enum(from.getState(), membership::member_state::left),
          from.getCapacity()};
}

std::uint8_t encode_leaving(const std::optional<bool>& leaving) {
  if (!leaving) return 0;
  return *leaving ? 1 : 2;
}

void write(const membership::server_report& from, wire::Word::Builder to) {
  to.setLeaf(from.leaf);
  to.setWarmStartId(from.warm_start_id);
  to.setAge(to_nanoseconds(from.age));
  to.setLeaving(encode_leaving(from.leaving));
}

membership::server_report read(wire::Word::Reader from) {
  membership::server_report report;
  report.leaf = text_of(from.getLeaf());
  report.warm_start_id = text_of(from.getWarmStartId());
  report.age = to_duration(from.getAge());
  if (from.getLeaving() != 0) report.leaving = from.getLeaving() == 1;
  return report;
}

}  // namespace

void write(const timeline::hybrid_timestamp& from, wire::Stamp::Builder to) {
  to.setWall(from.wall);
  to.setLogical(from.logical);
}

timeline::hybrid_timestamp read(wire::Stamp::Reader from) {
  return {from.getWall(), from.getLogical()};
}

void write(const subquery& from, wire::Part::Builder to) {
  to.setPartId(from.subquery_id);
  to.setRequestId(from.request_id);
  to.setService(from.service);
  to.setPriority(static_cast<std::uint8_t>(from.priority));
  to.setBody(from.body);
  to.setRemaining(to_nanoseconds(from.remaining));
  to.setIdempotent(from.idempotent);
  to.setRowLimit(static_cast<std::uint32_t>(from.row_limit));
  to.setFlushAfter(to_nanoseconds(from.flush_after));
  auto tasks = to.initTasks(list_size(from.tasks.size()));
  for (unsigned i = 0; i < tasks.size(); ++i) {
    const subquery_task& task = from.tasks[i];
    tasks[i].setAttempt(task.attempt);
    tasks[i].setLeaf(task.leaf);
    tasks[i].setShard(task.shard);
    tasks[i].setRangeFrom(task.range.from);
    tasks[i].setRangeTo(task.range.to);
    tasks[i].setSnapshot(task.snapshot);
  }
}

subquery read(wire::Part::Reader from) {
  subquery work;
  work.subquery_id = from.getPartId();
  work.request_id = text_of(from.getRequestId());
  work.service = text_of(from.getService());
  work.priority =
      checked_enum(from.getPriority(), notes::service_class::ordinary);
  work.body = text_of(from.getBody());
  work.remaining = to_duration(from.getRemaining());
  work.idempotent = from.getIdempotent();
  work.row_limit = from.getRowLimit();
  work.flush_after = to_duration(from.getFlushAfter());
  work.tasks.reserve(from.getTasks().size());
  for (const auto task : from.getTasks()) {
    work.tasks.push_back({task.getAttempt(),
                          text_of(task.getLeaf()),
                          text_of(task.getShard()),
                          {task.getRangeFrom(), task.getRangeTo()},
                          task.getSnapshot()});
  }
  return work;
}

void write(const subquery_answer& from, wire::PartAnswer::Builder to) {
  to.setPartId(from.subquery_id);
  to.setPending(from.pending);
  auto results = to.initResults(list_size(from.results.size()));
  for (unsigned i = 0; i < results.size(); ++i) {
    write(from.results[i], results[i]);
  }
}

subquery_answer read(wire::PartAnswer::Reader from) {
  subquery_answer answer;
  answer.subquery_id = from.getPartId();
  answer.pending = from.getPending();
  answer.results.reserve(from.getResults().size());
  for (const auto result : from.getResults()) {
    answer.results.push_back(read(result));
  }
  return answer;
}

void write(const membership::message& from, wire::Message::Builder to) {
  to.setKind(static_cast<std::uint8_t>(from.kind));
  to.setSender(from.from);
  to.setSequence(from.sequence);
  to.setTarget(from.target);
  to.setVersion(from.version);
  to.setDigest(from.digest);
  to.setRoot(from.root);
  to.setLoad(from.load);
  to.setSourceFails(from.store_failing);
  to.setSourceAge(static_cast<std::uint32_t>(from.store_age.count()));
  auto updates = to.initUpdates(list_size(from.updates.size()));
  for (unsigned i = 0; i < updates.size(); ++i) {
    write(from.updates[i], updates[i]);
  }
  auto note_list = to.initNotes(list_size(from.notes.size()));
  for (unsigned i = 0; i < note_list.size(); ++i) {
    note_list[i].setVersion(from.notes[i].version);
    note_list[i].setBase(from.notes[i].base);
    note_list[i].setText(bytes_of(from.notes[i].text));
  }
  auto reports = to.initWords(list_size(from.server_reports.size()));
  for (unsigned i = 0; i < reports.size(); ++i)
    write(from.server_reports[i], reports[i]);
}

membership::message read(wire::Message::Reader from) {
  membership::message value;
  value.kind =
      checked_enum(from.getKind(), membership::message_kind::server_reports);
  value.from = text_of(from.getSender());
  value.sequence = from.getSequence();
  value.target = text_of(from.getTarget());
  value.version = from.getVersion();
  value.digest = from.getDigest();
  value.root = text_of(from.getRoot());
  value.load = from.getLoad();
  value.store_failing = from.getSourceFails();
  value.store_age = std::chrono::milliseconds(from.getSourceAge());
  value.updates.reserve(from.getUpdates().size());
  for (const auto update : from.getUpdates()) {
    value.updates.push_back(read(update));
  }
  for (const auto note : from.getNotes()) {
    value.notes.push_back(
        {note.getVersion(), note.getBase(), text_of(note.getText())});
  }
  for (const auto report : from.getWords())
    value.server_reports.push_back(read(report));
  return value;
}

}  // namespace detail

std::string encode(const membership::message& message) {
  capnp::MallocMessageBuilder builder;
  detail::write(message, builder.initRoot<wire::Message>());
  const auto words = capnp::messageToFlatArray(builder);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

std::size_t encoded_size(const subquery& work) {
  capnp::MallocMessageBuilder builder;
  detail::write(work, builder.initRoot<wire::Part>());
  return capnp::messageToFlatArray(builder).asBytes().size();
}

namespace {

/// Calls `read` with the message in the bytes.
template <class Value, class Read>
result<Value, wire_error> decode_with(std::string_view bytes,
                                      const Read& read) {
  // Cap'n Proto needs aligned words; the text may be unaligned.
  auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
  std::copy_n(bytes.begin(), words.asBytes().size(),
              reinterpret_cast<char*>(words.begin()));
  try {
    capnp::FlatArrayMessageReader reader(words);
    return Value(read(reader.getRoot<wire::Message>()));
  } catch (const kj::Exception& error) {
    return wire_error{wire_errc::malformed, error.getDescription().cStr()};
  } catch (const std::exception& error) {
    return wire_error{wire_errc::malformed, error.what()};
  }
}

}  // namespace

std::string encode(const quota::quota_message& message) {
  capnp::MallocMessageBuilder builder;
  detail::write(message, builder.initRoot<wire::Message>());
  const auto words = capnp::messageToFlatArray(builder);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

result<membership::message, wire_error> decode(std::string_view bytes) {
  return decode_with<membership::message>(
      bytes, [](wire::Message::Reader from) { return detail::read(from); });
}

result<any_message, wire_error> decode_any(std::string_view bytes) {
  return decode_with<any_message>(
      bytes, [](wire::Message::Reader from) -> any_message {
        if (from.getKind() == detail::quota_kind)
          return detail::read_quota(from);
        return detail::read(from);
      });
}

}  // namespace medlarloft::peers
