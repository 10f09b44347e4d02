#!/usr/bin/env bash
# Starts a small system on loopback, serves a streamed draft and a booking, loses one entry, goes on
# serving, shows the time line and stops everything it started. Exits 0 only if every answer was
# checked whole. With --keep it stays up until interrupted and prints addresses and tokens.
set -u
cd "$(dirname "$0")/.." || exit 1

KEEP=0
PROFILE=debug
CARGO_FLAGS=()
TOKEN_VISITS=quickstart-visits
TOKEN_NIGHT=quickstart-night
MODEL=visit-report
MODEL_LAYERS=36
START_LIMIT_S=30

usage() {
  cat <<'TEXT'
usage: scripts/quickstart.sh [--keep] [--release]

  --keep     leave the system up until interrupted, and print its addresses and tokens
  --release  build and run optimised programs

Exit codes: 0 every answer was checked whole, 1 something failed, 2 wrong usage.
TEXT
}

for word in "$@"; do
  case "$word" in
    --keep) KEEP=1 ;;
    --release) PROFILE=release; CARGO_FLAGS=(--release) ;;
    -h | --help) usage; exit 0 ;;
    *) usage >&2; exit 2 ;;
  esac
done

RUN_DIR=$(mktemp -d "${TMPDIR:-/tmp}/banyan-quickstart.XXXXXX") || exit 1
BIN=${CARGO_TARGET_DIR:-target}/$PROFILE
PIDS=()
FAILED=0

# Ends what this script started, by process id, and waits for it.
stop_all() {
  local pid
  for pid in "${PIDS[@]}"; do kill "$pid" 2>/dev/null; done
  for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null; done
  PIDS=()
}
trap stop_all EXIT
trap 'exit 130' INT TERM

say() { printf '\n== %s\n' "$1"; }

fail() {
  printf 'quickstart: FAILED: %s (logs: %s)\n' "$1" "$RUN_DIR" >&2
  exit 1
}

# start NAME COMMAND...: runs a program and waits for the line that says that it is ready.
start() {
  local name=$1 waited=0
  shift
  "$@" >"$RUN_DIR/$name.out" 2>"$RUN_DIR/$name.log" &
  LAST_PID=$!
  PIDS+=("$LAST_PID")
  until [ -s "$RUN_DIR/$name.out" ]; do
    kill -0 "$LAST_PID" 2>/dev/null || fail "$name did not start: $(tail -n 3 "$RUN_DIR/$name.log")"
    [ "$waited" -lt $((START_LIMIT_S * 10)) ] || fail "$name was not ready in $START_LIMIT_S s"
    waited=$((waited + 1))
    sleep 0.1
  done
}

# field NAME FIELD: an address from the line with which a program said that it is ready.
field() { sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p" "$RUN_DIR/$1.out" | head -n 1; }

# expect TITLE COMMAND...: shows a command's output, keeps it in a file and notes if it fails.
expect() {
  local status
  say "$1"
  shift
  "$@" >"$RUN_DIR/last"
  status=$?
  cat "$RUN_DIR/last"
  [ "$status" = 0 ] && return
  FAILED=1
  printf 'quickstart: not as expected (exit %s): %s\n' "$status" "$*" >&2
}

say 'build'
cargo build --locked --bins "${CARGO_FLAGS[@]}" || fail 'the build'

say 'start'
start platform "$BIN/banyan-standin" platform
PLATFORM=$(field platform address)
DECLARATION=$RUN_DIR/quickstart.jsonc
cp examples/quickstart.jsonc "$DECLARATION" || fail 'the declaration cannot be copied'

# place OLD NEW: puts the address of a process that was started into the declaration.
place() {
  sed "s/\"$1\"/\"$2\"/" "$DECLARATION" >"$DECLARATION.new" && mv "$DECLARATION.new" "$DECLARATION"
}

number=0
for zone in gebze tuzla dilovasi; do
  number=$((number + 1))
  layers="$(((number - 1) * 12))-$((number * 12 - 1))"
  start "engine-$number" "$BIN/banyan-standin" engine --name "engine-$number" --model "$MODEL" \
    --model-layers "$MODEL_LAYERS" --layers "$layers" --batch 8 --step-ms 5 \
    --platform "$PLATFORM" --zone "$zone"
  place "127.0.0.1:1810$number" "$(field "engine-$number" address)"
done
start booking-1 "$BIN/banyan-standin" service --name booking-1 --platform "$PLATFORM" --zone gebze
place 127.0.0.1:18201 "$(field booking-1 address)"

CALLERS=()
for number in 1 2 3; do
  start "entry-$number" "$BIN/banyan-entry" --settings "examples/quickstart/entry-$number.jsonc" \
    --platform-address "$PLATFORM"
  CALLERS+=("$(field "entry-$number" caller_address)")
  [ "$number" = 1 ] && FIRST_ENTRY_PID=$LAST_PID
done
printf 'platform %s; entries for callers: %s\n' "$PLATFORM" "${CALLERS[*]}"

CTL=("$BIN/banyanctl" --platform "$PLATFORM")

draft() {
  "$BIN/banyanctl" try completion --caller "$1" --token "$TOKEN_VISITS" --model "$MODEL" \
    --prompt "$2" --max-tokens 24
}

book() {
  "$BIN/banyanctl" try call --caller "$1" --token "$TOKEN_VISITS" --service booking --call book \
    --key "$KEY" --body '{"horse":"Zvijezda","yard":"Zagorje"}'
}

KEY=quickstart-$$-$(date +%s)
expect 'apply the declaration, whole or not at all' "${CTL[@]}" apply "$DECLARATION" --author quickstart
expect 'in force' "${CTL[@]}" in-force
expect 'a streamed draft through entry 1' draft "${CALLERS[0]}" 'Left panel tight at the withers.'
expect 'a booking through entry 2' book "${CALLERS[1]}"
mv "$RUN_DIR/last" "$RUN_DIR/booking"
expect 'status' "${CTL[@]}" status
"$BIN/banyan-timeline" --platform "$PLATFORM" --json >"$RUN_DIR/events.jsonl" || FAILED=1

say 'entry 1 is killed'
kill -9 "$FIRST_ENTRY_PID"
wait "$FIRST_ENTRY_PID" 2>/dev/null
expect 'a streamed draft through entry 2' draft "${CALLERS[1]}" 'Girth galls, new panel ordered.'
expect 'a streamed draft through entry 3' draft "${CALLERS[2]}" 'Balance front to back is good.'
expect 'the same booking again, through entry 3: it does not run again' \
  book "${CALLERS[2]}"
if ! cmp -s "$RUN_DIR/booking" "$RUN_DIR/last"; then
  printf 'quickstart: the repeated booking had another answer\n' >&2
  FAILED=1
fi

say 'time line of the bookings and of what came into force'
"$BIN/banyan-timeline" --platform "$PLATFORM" --file "$RUN_DIR/events.jsonl" \
  --html "$RUN_DIR/timeline.html" --kind in-force --kind claim-appended --kind claim-read \
  --kind dispatched --kind completed 2>"$RUN_DIR/timeline.log"
"$BIN/banyan-timeline" --platform "$PLATFORM" --file "$RUN_DIR/events.jsonl" \
  --html "$RUN_DIR/timeline.html" >"$RUN_DIR/timeline.txt" 2>>"$RUN_DIR/timeline.log"
printf 'the whole time line: %s and %s\n' "$RUN_DIR/timeline.txt" "$RUN_DIR/timeline.html"

if [ "$KEEP" = 1 ]; then
  say 'left up until interrupted'
  printf 'platform:  %s\ncallers:   %s (entry 1 was killed)\n' "$PLATFORM" "${CALLERS[*]:1}"
  printf 'operators: %s %s\n' "$(field entry-2 operator_address)" "$(field entry-3 operator_address)"
  printf 'tokens:    %s (stable-visits), %s (night-shift)\n' "$TOKEN_VISITS" "$TOKEN_NIGHT"
  printf 'try:       %s status --platform %s\n' "$BIN/banyanctl" "$PLATFORM"
  sleep infinity &
  PIDS+=("$!")
  wait "$!"
fi

say 'stop'
stop_all
if [ "$FAILED" = 0 ]; then
  printf 'quickstart: passed; every answer was checked whole\n'
else
  printf 'quickstart: FAILED (logs: %s)\n' "$RUN_DIR" >&2
fi
exit "$FAILED"
