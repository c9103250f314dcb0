#!/usr/bin/env bash
# Starts or stops the stand-ins and routers of the deployment with direct sending, or shows it under faults:
# direct.sh up|down|demo
# Process ids and logs are written to run/direct in the root of the repository.
set -euo pipefail
cd "$(dirname "$0")/.."
action=${1:?usage: direct.sh up|down|demo}
deploy=deploy/direct
run=run/direct
host=demo.example
store=127.11.4.1:8001
routers=(127.11.1.1 127.11.1.2 127.11.1.3)
key=demo-key-anagrafe

start_process() { # start_process NAME PROGRAM ARGUMENTS...
	local process=$1
	shift
	"$@" >>"$run/$process.log" 2>&1 &
	echo $! >"$run/$process.pid"
	disown
}

upstream_names() {
	python3 -c 'import json,sys; print("\n".join(u["name"] for u in json.load(open(sys.argv[1]))["upstreams"]))' "$deploy/standins.json"
}

wait_until() { # wait_until WHAT COMMAND...: waits up to 20 s
	local what=$1
	shift
	for _ in $(seq 200); do
		"$@" >/dev/null 2>&1 && return 0
		sleep 0.1
	done
	echo "direct.sh: $what took more than 20 s" >&2
	return 1
}

start_fleet() {
	if compgen -G "$run/*.pid" >/dev/null; then
		echo "direct.sh: already running; stop it with: scripts/direct.sh down" >&2
		exit 1
	fi
	mkdir -p "$run"
	rm -f "$run"/*.log
	start_process store bin/standin-store --settings "$deploy/standins.json"
	wait_until "the start of the store" curl -fsS "http://127.11.4.1:8000/kv-range"
	for name in $(upstream_names); do
		start_process "$name" bin/standin-upstream --settings "$deploy/standins.json" --name "$name"
	done
	for file in "$deploy"/*.router.json; do
		start_process "$(basename "$file" .json)" bin/oriole-router --direct --settings "$file"
	done
	for router in "${routers[@]}"; do wait_until "the start of router $router" curl -fsS "http://$router:8081/"; done
}

# stop_fleet terminates all processes and waits for them.
stop_fleet() {
	local file
	for file in "$run"/*.router.pid "$run"/*.pid; do
		[ -e "$file" ] || continue
		kill -TERM "$(cat "$file")" 2>/dev/null || true
	done
	for file in "$run"/*.pid; do
		[ -e "$file" ] || continue
		wait_until "the end of $(basename "$file" .pid)" gone "$(cat "$file")"
		rm -f "$file"
	done
}

gone() { ! kill -0 "$1" 2>/dev/null; }

kill_process() { # kill_process NAME: ends a process without a goodbye
	kill -KILL "$(cat "$run/$1.pid")"
	wait_until "the end of $1" gone "$(cat "$run/$1.pid")"
	rm "$run/$1.pid"
}

call() { # call ROUTER PATH KEY [CURL ARGUMENTS...]
	local router=$1 path=$2 key=$3
	shift 3
	curl -sS --max-time 10 -H "Host: $host" -H "Api-Key: $key" -H 'Orioleusher-Deadline-Ms: 8000' \
		-H "Orioleusher-Request-Id: demo-$RANDOM$RANDOM" "$@" "http://$router:8080$path"
}

status() { call "$1" "$2" "$3" -o /dev/null -w '%{http_code}'; }

# withdraw_key publishes the configuration without the first team's key.
withdraw_key() {
	python3 - "$deploy/config.json" "$key" <<-'PYTHON' | curl -fsS -X PUT --data-binary @- "http://$store/items/op/config"
		import json, sys
		config = json.load(open(sys.argv[1]))
		config["version"] += 1
		for team in config["tenants"]:
		    team["api_keys"] = [key for key in team["api_keys"] if key != sys.argv[2]]
		print(json.dumps(config))
	PYTHON
}

key_is_refused() {
	local router
	for router in "${routers[@]}"; do [ "$(status "$router" /lookup/1 "$key")" = 401 ] || return 1; done
}

demo() {
	echo "== a call through each of ${#routers[@]} routers"
	for router in "${routers[@]}"; do call "$router" /lookup/1 "$key"; done

	echo "== a router is killed: the others serve"
	kill_process catania-3.router
	for router in "${routers[@]:0:2}"; do call "$router" /lookup/1 "$key"; done
	start_process catania-3.router bin/oriole-router --direct --settings "$deploy/catania-3.router.json"
	wait_until "the start of router ${routers[2]}" curl -fsS "http://${routers[2]}:8081/"

	echo "== a stream whose engine is killed after some events: another engine goes on after the last event"
	call "${routers[0]}" /stream/1 "$key" -N -X POST -d 'a question' >"$run/stream.txt" &
	local stream=$!
	wait_until "the fifth event" grep -q 'event 5 of' "$run/stream.txt"
	local engine
	engine=$(sed -n 's/.*event 5 of //p' "$run/stream.txt")
	kill_process "$engine"
	wait "$stream"
	sed -n 's/^data: //p' "$run/stream.txt" | awk '{print $4}' | uniq -c | awk '{print "  " $1 " events of " $2}'
	[ "$(grep -c '^data: ' "$run/stream.txt")" = 20 ] || { echo "direct.sh: the stream is not whole" >&2; exit 1; }

	echo "== the key of one team is withdrawn: every router refuses it, and the other team is served"
	local from
	from=$(date +%s%N)
	withdraw_key
	wait_until "the withdrawal" key_is_refused
	echo "  refused with status 401 by all routers $((($(date +%s%N) - from) / 1000000)) ms after the change"
	call "${routers[0]}" /lookup/1 demo-key-tributi

	echo "== what the first router decided, from its log"
	grep -E 'event=(served|not-served)' "$run/acireale-1.router.log" | tail -n 3 | cut -c 1-200
}

case $action in
up)
	start_fleet
	echo "Running. Try:"
	echo "  curl -N -H 'Host: $host' -H 'Api-Key: $key' -H 'Orioleusher-Request-Id: 1' -d question http://${routers[0]}:8080/stream/1"
	echo "State of one router: curl http://${routers[0]}:9080/debug/state"
	echo "Stop with: scripts/direct.sh down"
	;;
down) stop_fleet ;;
demo)
	trap stop_fleet EXIT
	start_fleet
	sleep 1 # a router retries only after retry.window, when an earlier process of it can't have used the budget
	demo
	;;
*)
	echo "usage: direct.sh up|down|demo" >&2
	exit 2
	;;
esac
