#!/usr/bin/env bash
# Carries out the faults of processes that oriole-load run writes to its hook file: faults.sh DEPLOYMENT_FOLDER HOOK_FILE
# Each line is "kill|freeze|thaw|restart ROUTER". It acts only on the process ids that fleet.sh wrote to run/NAME.
set -euo pipefail
cd "$(dirname "$0")/.."
deploy=${1:?usage: faults.sh DEPLOYMENT_FOLDER HOOK_FILE}
hook=${2:?usage: faults.sh DEPLOYMENT_FOLDER HOOK_FILE}
run="run/$(basename "$deploy")"
touch "$hook"

carry_out() { # carry_out ACT ROUTER
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
	*) echo "faults.sh: act \"$1\" does not exist" >&2 ;;
	esac
}

# One process and no pipeline, so that the end of this script leaves none behind that reads the file for ever.
done_lines=0
while true; do
	mapfile -t -s "$done_lines" lines <"$hook"
	for line in "${lines[@]}"; do
		read -r act router <<<"$line"
		carry_out "$act" "$router"
		done_lines=$((done_lines + 1))
	done
	sleep 0.1
done
