#!/usr/bin/env bash
# Carries out the faults of processes that oriole-load run writes to its hook file: faults.sh DEPLOYMENT_FOLDER HOOK_FILE
# Each line is "kill|freeze|thaw|restart ROUTER". It acts only on the process ids that fleet.sh wrote to run/NAME.
set -euo pipefail
cd "$(dirname "$0")/.."
deploy=${1:?usage: faults.sh DEPLOYMENT_FOLDER HOOK_FILE}
hook=${2:?usage: faults.sh DEPLOYMENT_FOLDER HOOK_FILE}
run="run/$(basename "$deploy")"
touch "$hook"

tail -n +1 -F "$hook" 2>/dev/null | while read -r act router; do
	pid=$(cat "$run/$router.router.pid" 2>/dev/null || true)
	case $act in
	kill) kill -KILL "$pid" || true ;;
	freeze) kill -STOP "$pid" || true ;;
	thaw) kill -CONT "$pid" || true ;;
	restart)
		bin/oriole-router --settings "$deploy/$router.router.json" >>"$run/$router.router.log" 2>&1 &
		echo $! >"$run/$router.router.pid"
		;;
	*) echo "faults.sh: act \"$act\" does not exist" >&2 ;;
	esac
done
