#!/usr/bin/env bash
# Runs a case in the current folder: run-case.sh NAME. Ends all processes that the case started, also
# when it is stopped itself.
root="$(cd "$(dirname "$0")/.." && pwd)"
program="$root/target/review/release/review-standins"
if [ ! -x "$program" ] || [ ! -x "$root/target/release/greengagecleat-platform" ]; then
  echo "build first: the deploy file's build, then review/build.sh" >&2
  exit 2
fi
REVIEW_TMP="$(mktemp -d)" || exit 2
export REVIEW_TMP REVIEW_ROOT="$root"
case_pid=
end_all() {
  # A program that ended by itself has ended its processes.
  if [ -n "$case_pid" ]; then
    kill -KILL "$case_pid" 2>/dev/null
    [ ! -f "$REVIEW_TMP/pids" ] || xargs -r kill -KILL <"$REVIEW_TMP/pids" 2>/dev/null
  fi
  [ -z "${KEEP_LOGS:-}" ] || cp "$REVIEW_TMP"/*.log "$KEEP_LOGS"
  rm -rf "$REVIEW_TMP"
}
trap end_all EXIT
trap 'exit 2' INT TERM
"$program" "$1" &
case_pid=$!
wait "$case_pid"
status=$?
case_pid=
exit "$status"
