# Functions of demo, experiment and the process tests. They start a deployment
# of test doubles and daemons as separate processes and control it. Source this
# file, then call `deploy NAME`.

bin=${BUILD:-build}/bin
work=$(mktemp -d)
declare -A pids

finish() {
  local pid
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  # A suspended daemon handles SIGTERM only after SIGCONT.
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
  sleep 0.1
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap finish EXIT

# choose NAME: sets the variables of the deployment attiki or cairo.
choose() {
  name=$1
  case "$name" in
    attiki) net=41
      mix=lease-desk=3,lease-desk:critical=1,landlord-portal=3,contract-vault=2,carrier-billing!=1 ;;
    cairo) net=42
      mix=dispatch-desk=4,call-centre=3,clinic-portal=2,ledger-sync!=1 ;;
    *) echo "\"$name\" is neither attiki nor cairo" >&2; exit 2 ;;
  esac
  steer=127.$net.0.1:6002
  start=127.$net.1.1:7000,127.$net.2.1:7000,127.$net.3.1:7000
  local suffix list=()
  for suffix in 1.1 1.2 1.3 2.1 2.2 2.3 3.1 3.2; do
    list+=("127.$net.$suffix:7003")
  done
  all=$(IFS=,; echo "${list[*]}")
}

# publish FILE...: publishes a complete chain of notes, the newest last.
publish() {
  "$bin/medlarloft" note render --out "$work/values" "$@" > /dev/null
}

# start_standins [FLAGS...]: starts the test doubles of the platform and of the
# backend servers.
start_standins() {
  "$bin/medlarloft_standins" --folder "$work/values" \
    --note "examples/$name/note-1.json" --configuration "127.$net.0.1:6000" \
    --hosts "127.$net.0.1:6001" --steer "$steer" "$@" \
    2>> "$work/standins.log" &
  pids[standins]=$!
}

# start_daemon ID: starts one daemon. If `query_settings` is set, it becomes the
# query section of the settings.
start_daemon() {
  local settings="examples/$name/$1.json"
  if [ -n "${query_settings:-}" ]; then
    sed "s/\"traffic_threads\"/\"query\": {$query_settings}, &/" \
      "$settings" > "$work/$1.json"
    settings="$work/$1.json"
  fi
  "$bin/medlarloftd" --settings "$settings" 2>> "$work/$1.log" &
  pids[$1]=$!
}

# deploy NAME [FLAGS...]: starts a deployment and waits until all daemons are
# ready. The flags are those of the test doubles.
deploy() {
  choose "$1"
  publish "examples/$name/note-1.json"
  start_standins "${@:2}"
  local n
  for n in 1 2 3 4 5 6 7 8; do start_daemon "$name-e$n"; done
  await "ready=true" 8
  # Daemons use their shares of limits after `hold_off`, 1 s in the examples.
  sleep 1.2
}

stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
  rm -rf "$work/values"
}

# await PATTERN COUNT: waits until the status of COUNT daemons matches.
await() {
  local pattern=$1 count=$2 deadline=$((SECONDS + 20)) matching
  while [ "$SECONDS" -lt "$deadline" ]; do
    matching=$("$bin/medlarloft" --daemons "$all" note status 2>/dev/null |
      grep -c "$pattern" || true)
    [ "$matching" -ge "$count" ] && return 0
    sleep 0.05
  done
  echo "fewer than $count daemons reached the status $pattern" >&2
  return 1
}

# Prints the processor time that this host lacked so far: ticks stolen by other
# virtual machines, and microseconds in which some process waited for a core.
processor_waits() {
  awk 'FNR == 1 && FILENAME == "/proc/stat" {stolen = $9}
       $1 == "some" {sub("total=", "", $5); waited = $5}
       END {printf "%d %d", stolen, waited}' /proc/stat /proc/pressure/cpu
}

# load LENGTH NAME [FLAGS...]: runs callers in the first data centre.
load() {
  local stolen waited before after code=0
  before=$(processor_waits 2> /dev/null || true)
  "$bin/medlarloft_load" --start "$start" --data_centre "$name-1" \
    --rate "${rate:-200}" --length "$1" --mix "$mix" --name "$2" \
    --record "$steer" "${@:3}" || code=$?
  after=$(processor_waits 2> /dev/null || true)
  read -r stolen waited <<< "$before"
  awk -v s="${stolen:-0}" -v w="${waited:-0}" \
    '{printf "machine: %d ticks stolen, %d ms waited for a core\n",
             $1 - s, ($2 - w) / 1000}' <<< "${after:-0 0}"
  return "$code"
}

# steering COMMAND: sends a command to the test doubles.
steering() { curl -s -o /dev/null "http://$steer/$1"; }

# started_in DATA_CENTRE: prints the number of leaf requests started there.
started_in() {
  "$bin/medlarloft_load" --started_in "$1" --record "$steer"
}

# counter NAME: prints the sum of a counter over all daemons.
counter() {
  "$bin/medlarloft" --daemons "$all" stats 2>/dev/null |
    awk -v name="medlarloft_$1_total" 'index($1, name "{") == 1 {sum += $2}
                                       END {printf "%d", sum}'
}

events() { "$bin/medlarloft" --daemons "$all" timeline 2>/dev/null; }

# Prints the current time in milliseconds.
milliseconds() { echo $(($(date +%s%N) / 1000000)); }
