@0xb7c1f4d2a9e85063;

# Messages between daemons. Times are durations in nanoseconds, since clocks of
# two hosts are never compared.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("medlarloft::peers::wire");

struct Stamp {
  wall @0 :UInt64;
  logical @1 :UInt32;
}

struct Task {
  attempt @0 :UInt64;
  leaf @1 :Text;
  shard @2 :Text;
  rangeFrom @3 :UInt64;
  rangeTo @4 :UInt64;
  snapshot @5 :UInt64;
}

struct Part {
  requestId @0 :Text;
  service @1 :Text;
  priority @2 :UInt8;
  body @3 :Text;
  remaining @4 :Int64;
  idempotent @5 :Bool;
  rowLimit @6 :UInt32;
  flushAfter @7 :Int64;
  tasks @8 :List(Task);
  stamp @9 :Stamp;
  partId @10 :UInt64;  # chosen by the sender at random
}

struct Row {
  id @0 :Text;
  position @1 :UInt64;
  score @2 :Float64;
  body @3 :Text;
}

struct TaskResult {
  attempt @0 :UInt64;
  how @1 :UInt8;
  snapshot @2 :UInt64;
  rangeFrom @3 :UInt64;
  rangeTo @4 :UInt64;
  rows @5 :List(Row);
  oldest @6 :UInt64;
  newest @7 :UInt64;
  latency @8 :Int64;
}

struct PartAnswer {
  partId @0 :UInt64;
  pending @1 :UInt32;
  results @2 :List(TaskResult);
  stamp @3 :Stamp;
}

interface Traffic {
  run @0 (part :Part) -> (answer :PartAnswer);
  collect @1 (partId :UInt64) -> (answer :PartAnswer);
  cancel @2 (partId :UInt64, attempts :List(UInt64)) -> ();
  # Forwards a whole request to the daemon that owns its id.
  forward @3 (request :Text, remaining :Int64, stamp :Stamp)
      -> (status :UInt16, answer :Text, stamp :Stamp);
}

struct Member {
  id @0 :Text;
  dataCentre @1 :Text;
  controlIp @2 :Text;
  controlPort @3 :UInt16;
  incarnation @4 :UInt64;
  state @5 :UInt8;
  # Thousandths of a processor core; 0 when unknown.
  capacity @6 :UInt32;
}

struct Note {
  version @0 :UInt64;
  base @1 :UInt64;
  # Text of a release note, or encoded Changes.
  text @2 :Data;
}

# One change of a record in the store.
struct Change {
  key @0 :Text;
  changedAt @1 :UInt64;
  # The record was removed and has no value.
  removed @2 :Bool;
  value @3 :Data;
}

# Content of a note that carries changes of the store.
struct Changes {
  list @0 :List(Change);
}

struct Word {
  leaf @0 :Text;
  warmStartId @1 :Text;
  age @2 :Int64;
  leaving @3 :UInt8;  # 0: unknown, 1: leaving, 2: not leaving
}

# A time on the clock of the process that wrote it; others return it unchanged.
struct ProcessTime {
  process @0 :UInt64;
  time @1 :Int64;
}

struct Tokens {
  age @0 :Int64;
  amount @1 :Float64;
}

struct QuotaEntry {
  account @0 :Text;
  needed @1 :UInt32;
  ahead @2 :UInt32;
  granted @3 :List(Tokens);
  rate @4 :Float64;
  retryAfter @5 :Int64;
}

struct Quota {
  answer @0 :Bool;
  sent @1 :ProcessTime;
  echo @2 :ProcessTime;
  creation @3 :Tokens;
  entries @4 :List(QuotaEntry);
}

struct Message {
  kind @0 :UInt8;
  sender @1 :Text;
  sequence @2 :UInt64;
  target @3 :Text;
  version @4 :UInt64;
  digest @5 :UInt64;
  updates @6 :List(Member);
  notes @7 :List(Note);
  root @8 :Text;
  words @9 :List(Word);
  stamp @10 :Stamp;
  # Milliseconds since the store is known to have answered some daemon.
  sourceAge @11 :UInt32 = 0xffffffff;
  # Thousandths of the sender's capacity that are in use.
  load @12 :UInt16;
  # The sender reads the store for other daemons and gets no answer.
  sourceFails @13 :Bool;
  # Only in messages of kind 9, which older daemons ignore.
  quota @14 :Quota;
}

interface Control {
  deliver @0 (message :Message) -> ();
}
