#!/usr/bin/env bash
# Runs the whole system on loopback as separate processes, breaks some of it and
# checks what the stand-ins saw. Prints a table and one last line.
set -u
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
bin="$dir/bin"
base=${BALSAMCOVE_DEMO_PORT:-17000}
pids=()

finish() {
  code=$?
  trap - EXIT INT TERM
  [ -n "${load:-}" ] && kill -KILL "$load" 2>/dev/null
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  if [ "$code" -eq 0 ]; then
    echo "demo: ok in ${SECONDS}s"
  else
    echo "demo: FAILED (exit $code); entry logs:"
    tail -n 3 "$dir"/*.log 2>/dev/null
    echo "demo: FAILED after ${SECONDS}s"
  fi
  rm -rf "$dir"
  exit "$code"
}
trap finish EXIT
trap 'exit 130' INT TERM

step() { printf -- '-- %2ss %s\n' "$SECONDS" "$*"; }
fail() { echo "$*" >&2; exit 1; }
launch() { local log=$1; shift; "$@" >"$dir/$log.log" 2>&1 & pids+=($!); }
addr() { echo "127.0.0.1:$((base + $1))"; }

mkdir -p "$bin"
go build -o "$bin/" ./cmd/balsamcove ./cmd/standin || fail "build failed"
SECONDS=0
bc="$bin/balsamcove"
sim="$bin/standin"

step "starting 1 platform, 6 entry hosts, 12 workers and 12 minions"
launch platform "$sim" platform --log "$(addr 1)" --hosts "$(addr 2)"
for _ in $(seq 50); do
  (exec 3<>"/dev/tcp/127.0.0.1/$((base + 2))") 2>/dev/null && break
  sleep 0.1
done
dcs=(tallinn-a tallinn-b tallinn-c)
peers=""
for d in 0 1 2; do for e in 0 1; do
  peers+="  - {name: ${dcs[$d]}-$e, dataCentre: ${dcs[$d]}, address: \"$(addr $((300 + d * 10 + e)))\"}"$'\n'
done; done
entry_pid=()
for d in 0 1 2; do
  for e in 0 1; do
    n=$((d * 10 + e))
    cat >"$dir/entry-$n.yaml" <<EOF
name: ${dcs[$d]}-$e
dataCentre: ${dcs[$d]}
listen: {callers: "$(addr $((100 + n)))", admin: "$(addr $((200 + n)))", peers: "$(addr $((300 + n)))"}
platform: {log: "$(addr 1)", hostList: "$(addr 2)"}
peers:
$peers
EOF
    launch "entry-$n" "$bc" entry --settings "$dir/entry-$n.yaml"
    entry_pid[$n]=${pids[-1]}
  done
  for i in 0 1 2 3; do
    launch "worker-$d-$i" "$sim" worker --id "${dcs[$d]}-w$i" --data-centre "${dcs[$d]}" --address "$(addr $((400 + d * 10 + i)))" --hosts "$(addr 2)"
    launch "minion-$d-$i" "$sim" minion --id "${dcs[$d]}-m$i" --data-centre "${dcs[$d]}" --address "$(addr $((500 + d * 10 + i)))" --hosts "$(addr 2)" --services hire-desk
  done
done
export BALSAMCOVE_SERVER
BALSAMCOVE_SERVER="$(addr 200),$(addr 210),$(addr 220)"
callers="$(addr 100),$(addr 101),$(addr 110),$(addr 111),$(addr 120),$(addr 121)"
for _ in $(seq 100); do
  "$bc" publish examples/kruvikoda.yaml >/dev/null 2>&1 && break
  sleep 0.1
done
"$bc" check examples/kruvikoda.yaml || fail "the example does not check clean"
"$bc" history || fail "no configuration in force"
sleep 3

step "steady load, 40 invoice runs and 12 stock watches"
for i in $(seq 40); do "$bc" submit invoices --id "run-$i" >/dev/null || fail "submit failed"; done
for i in $(seq 12); do "$bc" submit stock-watches --id "watch-$i" >/dev/null || fail "submit failed"; done
"$bc" request hire-desk "two bench vices?" --callers "$callers" || fail "request failed"
"$sim" load hire-desk --callers "$callers" --rate 300 --for 4s --name steady --out "$dir/steady.json" || fail "load failed"

step "the same load while an entry host is killed and another is stopped"
"$sim" load hire-desk --callers "$callers" --rate 300 --for 6s --name killed --out "$dir/killed.json" &
load=$!
sleep 1
kill -KILL "${entry_pid[1]}"
wait "${entry_pid[1]}" 2>/dev/null
sleep 1
kill -TERM "${entry_pid[11]}"
wait "$load" || fail "load failed"

step "draining tallinn-b under load, then restoring it"
"$sim" load hire-desk --callers "$callers" --rate 300 --for 6s --name drained --out "$dir/drained.json" &
load=$!
for i in $(seq 41 60); do "$bc" submit invoices --id "run-$i" >/dev/null || fail "submit failed"; done
"$bc" drain tallinn-b --wait --limit 20s || fail "drain failed"
"$bc" restore tallinn-b || fail "restore failed"
"$bc" explain watch-1 || fail "explain failed"
wait "$load" || fail "load failed"

step "jobs of several steps on 4 scheduling hosts, a data centre evacuated"
launch fleet "$sim" fleet --address "$(addr 3)" --data-centres tallinn-a,tallinn-b --workers 6
admins=""
for i in 0 1 2 3; do
  dc=${dcs[$((i % 2))]}
  cat >"$dir/schedule-$i.yaml" <<EOF
name: $dc-s$i
dataCentre: $dc
listen: {admin: "$(addr $((600 + i)))", peers: "$(addr $((610 + i)))"}
platform: {store: "$(addr 3)", directory: "$(addr 3)"}
EOF
  admins+="${admins:+,}$(addr $((600 + i)))"
done
jobs() { "$bc" --server "$admins" "$@"; }
start_schedulers() {
  scheduler_pid=()
  for i in 0 1 2 3; do
    launch "schedule-$i-$1" "$bc" schedule --settings "$dir/schedule-$i.yaml"
    scheduler_pid[$i]=${pids[-1]}
  done
}
submit_job() {
  for _ in $(seq 50); do
    jobs job submit examples/job.yaml --id "$1" >/dev/null 2>&1 && return
    sleep 0.1
  done
  fail "job $1 was not accepted"
}
start_schedulers first
for i in $(seq 12); do submit_job "job-$i"; done
"$sim" evacuate tallinn-b --address "$(addr 3)" || fail "evacuation failed"
for i in $(seq 13 18); do submit_job "job-$i"; done
jobs job explain job-18 || fail "explain failed"
submit_job job-19
jobs job cancel job-19 || fail "cancel failed"

step "all scheduling hosts are killed and started again"
for p in "${scheduler_pid[@]}"; do
  kill -KILL "$p"
  wait "$p" 2>/dev/null
done
start_schedulers second
"$sim" evacuate tallinn-b --end --address "$(addr 3)" || fail "restore failed"
completed() { jobs --output json job list --state completed 2>/dev/null | grep -c '"id"'; }
for _ in $(seq 200); do
  [ "$(completed)" -eq 18 ] && break
  sleep 0.1
done
jobs job list || fail "list failed"
[ "$(completed)" -eq 18 ] || fail "$(completed) of 18 jobs completed"
jobs job status job-19 | grep -q cancelled || fail "job-19 is not cancelled"
"$sim" audit --address "$(addr 3)" || fail "promises of the scheduling hosts broken"

step "checking what the stand-ins recorded"
"$sim" verify --hosts "$(addr 2)" --server "$BALSAMCOVE_SERVER" --outcomes "$dir/steady.json,$dir/killed.json,$dir/drained.json" || fail "promises broken"
[ "$SECONDS" -le 90 ] || fail "took longer than 90 s"
