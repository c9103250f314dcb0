#!/usr/bin/env bash
# Starts or stops every process of a deployment: fleet.sh up|down DEPLOYMENT_FOLDER
# Process ids and logs go to run/NAME below the repository's root.
set -euo pipefail
cd "$(dirname "$0")/.."
action=${1:?usage: fleet.sh up|down DEPLOYMENT_FOLDER}
deploy=${2:?usage: fleet.sh up|down DEPLOYMENT_FOLDER}
name=$(basename "$deploy")
run="run/$name"

start() { # start NAME PROGRAM ARGUMENTS...
	local process=$1
	shift
	"$@" >"$run/$process.log" 2>&1 &
	echo $! >"$run/$process.pid"
}

names() { # names SECTION: the names in one section of the stand-ins' settings
	python3 -c 'import json,sys; print("\n".join(e["name"] for e in json.load(open(sys.argv[1]))[sys.argv[2]]))' "$deploy/standins.json" "$1"
}

entries() {
	python3 -c 'import json,sys; print("\n".join(json.load(open(sys.argv[1]))["entry_addresses"]))' "$deploy/callers.json"
}

wait_ready() { # wait_ready URL
	for _ in $(seq 200); do
		curl -fsS -o /dev/null "$1" 2>/dev/null && return 0
		sleep 0.1
	done
	echo "fleet.sh: $1 is not ready after 20 s" >&2
	return 1
}

up() {
	if compgen -G "$run/*.pid" >/dev/null; then
		echo "fleet.sh: $name already runs; stop it with: scripts/fleet.sh down $deploy" >&2
		exit 1
	fi
	mkdir -p "$run"
	start platform bin/standin-platform --settings "$deploy/standins.json"
	for e in $(names engines); do start "$e" bin/standin-engine --settings "$deploy/standins.json" --name "$e"; done
	for s in $(names services); do start "$s" bin/standin-service --settings "$deploy/standins.json" --name "$s"; done
	for file in "$deploy"/*.router.json; do
		start "$(basename "$file" .json)" bin/oriole-router --settings "$file"
	done
	for address in $(entries); do wait_ready "http://${address%:*}:9080/readyz"; done
}

# stop_group waits for the graceful stop of the processes whose pid files are given.
stop_group() {
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

down() {
	shopt -s nullglob
	stop_group "$run"/*.router.pid
	stop_group "$run"/*.pid
}

case $action in
up)
	up
	first=$(entries | head -n 1)
	key=$(python3 -c 'import json,sys; print(json.load(open(sys.argv[1]))["teams"][0]["key"])' "$deploy/callers.json")
	model=$(python3 -c 'import json,sys; print(json.load(open(sys.argv[1]))["model"])' "$deploy/callers.json")
	echo "$name is up. Entry addresses:"
	entries | sed 's/^/  http:\/\//'
	echo "State of one router: curl http://${first%:*}:9080/debug/state"
	echo "Try:"
	echo "  curl -N http://$first/v1/chat/completions -H 'Authorization: Bearer $key' -d '{\"model\":\"$model\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'"
	echo "Stop with: scripts/fleet.sh down $deploy"
	;;
down) down ;;
*)
	echo "usage: fleet.sh up|down DEPLOYMENT_FOLDER" >&2
	exit 2
	;;
esac
