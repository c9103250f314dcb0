#!/usr/bin/env bash
# Executes the process faults that oriole-load run writes to its hook file: faults.sh DEPLOYMENT_FOLDER HOOK_FILE
# Each line is "kill|freeze|thaw|restart ROUTER". It signals only the process ids that fleet.sh wrote to run/NAME.
set -euo pipefail
cd "$(dirname "$0")/.."
deploy=${1:?usage: faults.sh DEPLOYMENT_FOLDER HOOK_FILE}
hook=${2:?usage: faults.sh DEPLOYMENT_FOLDER HOOK_FILE}
run="run/$(basename "$deploy")"
touch "$hook"

apply_fault() { # apply_fault SIGNAL ROUTER
	local pid
	pid=$(cat "$run/$2.router.pid" 2>/dev/null || true)
	case $1 in
	kill) kill -KILL "$pid" || true ;;
	freeze) kill -STOP "$pid" || true ;;
	thaw) kill -CONT "$pid" || true ;;
	restart)
		bin/oriole-router --settings "$deploy/$2.router.json" >>"$run/$2.router.log" 2>&1 &
		echo $! >"$run/$2.router.pid"
		;;
	*) echo "faults.sh: unknown signal \"$1\"" >&2 ;;
	esac
}

# The loop runs in this shell and not in a pipeline, whose processes would keep reading the file after this script is killed.
processed_lines=0
while true; do
	mapfile -t -s "$processed_lines" lines <"$hook"
	for line in "${lines[@]}"; do
		read -r signal router <<<"$line"
		apply_fault "$signal" "$router"
		processed_lines=$((processed_lines + 1))
	done
	sleep 0.1
done
