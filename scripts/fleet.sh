#!/usr/bin/env bash
# Starts or stops every process of a deployment: fleet.sh up|down DEPLOYMENT_FOLDER
# Process ids and logs are written to run/NAME in the root of the repository.
set -euo pipefail
cd "$(dirname "$0")/.."
action=${1:?usage: fleet.sh up|down DEPLOYMENT_FOLDER}
deploy=${2:?usage: fleet.sh up|down DEPLOYMENT_FOLDER}
name=$(basename "$deploy")
run="run/$name"

start_process() { # start_process NAME PROGRAM ARGUMENTS...
	local process=$1
	shift
	"$@" >"$run/$process.log" 2>&1 &
	echo $! >"$run/$process.pid"
}

standin_names() { # standin_names SECTION: prints the names in one section of the settings of the stand-ins
	python3 -c 'import json,sys; print("\n".join(e["name"] for e in json.load(open(sys.argv[1]))[sys.argv[2]]))' "$deploy/standins.json" "$1"
}

entry_addresses() {
	python3 -c 'import json,sys; print("\n".join(json.load(open(sys.argv[1]))["entry_addresses"]))' "$deploy/callers.json"
}

wait_ready() { # wait_ready URL: waits up to 20 s
	for _ in $(seq 200); do
		curl -fsS -o /dev/null "$1" 2>/dev/null && return 0
		sleep 0.1
	done
	echo "fleet.sh: $1 is not ready after 20 s" >&2
	return 1
}

start_fleet() {
	if compgen -G "$run/*.pid" >/dev/null; then
		echo "fleet.sh: $name is already running; stop it with: scripts/fleet.sh down $deploy" >&2
		exit 1
	fi
	mkdir -p "$run"
	start_process platform bin/standin-platform --settings "$deploy/standins.json"
	for e in $(standin_names engines); do start_process "$e" bin/standin-engine --settings "$deploy/standins.json" --name "$e"; done
	for s in $(standin_names services); do start_process "$s" bin/standin-service --settings "$deploy/standins.json" --name "$s"; done
	for file in "$deploy"/*.router.json; do
		start_process "$(basename "$file" .json)" bin/oriole-router --settings "$file"
	done
	for address in $(entry_addresses); do wait_ready "http://${address%:*}:9080/readyz"; done
}

# stop_processes terminates the processes with the given pid files and waits up to 40 s for each to stop.
stop_processes() {
	local file
	for file in "$@"; do kill -TERM "$(cat "$file")" 2>/dev/null || true; done
	for file in "$@"; do
		for _ in $(seq 400); do
			kill -0 "$(cat "$file")" 2>/dev/null || break
			sleep 0.1
		done
		rm -f "$file"
	done
}

stop_fleet() {
	shopt -s nullglob
	stop_processes "$run"/*.router.pid
	stop_processes "$run"/*.pid
}

case $action in
up)
	start_fleet
	first=$(entry_addresses | head -n 1)
	key=$(python3 -c 'import json,sys; print(json.load(open(sys.argv[1]))["teams"][0]["key"])' "$deploy/callers.json")
	model=$(python3 -c 'import json,sys; print(json.load(open(sys.argv[1]))["model"])' "$deploy/callers.json")
	echo "$name is running. Entry addresses:"
	entry_addresses | sed 's/^/  http:\/\//'
	echo "State of one router: curl http://${first%:*}:9080/debug/state"
	echo "Try:"
	echo "  curl -N http://$first/v1/chat/completions -H 'Authorization: Bearer $key' -d '{\"model\":\"$model\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'"
	echo "Stop with: scripts/fleet.sh down $deploy"
	;;
down) stop_fleet ;;
*)
	echo "usage: fleet.sh up|down DEPLOYMENT_FOLDER" >&2
	exit 2
	;;
esac
