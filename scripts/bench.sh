#!/usr/bin/env bash
# Runs the churn scenario of each deployment under each routing policy and prints one table of the four measures.
# bench.sh [POLICY...]; the default is every policy that this build's routers accept. BENCH_SCALE multiplies the traffic
# and the rates of the teams. Results go to run/bench.
set -euo pipefail
cd "$(dirname "$0")/.."
out=run/bench
fleets=${BENCH_FLEETS:-lobue lumen}
scale=${BENCH_SCALE:-1}
own=bounded
policies=("$@")
[ ${#policies[@]} -gt 0 ] || policies=("$own" random round-robin rendezvous direct)
mkdir -p "$out"
hook_pid=""
deploy=""

stop() {
	if [ -n "$hook_pid" ]; then
		kill "$hook_pid" 2>/dev/null || true
		wait "$hook_pid" 2>/dev/null || true
	fi
	hook_pid=""
	[ -z "$deploy" ] || scripts/fleet.sh down "$deploy"
	deploy=""
}
trap stop EXIT

prepare() { # prepare FLEET POLICY: makes a copy of the deployment whose routers have the policy and whose rates are scaled
	local copy="$out/$2/$1"
	mkdir -p "$copy"
	cp "deploy/$1"/*.json "$copy/"
	python3 - "$copy" "$2" "$own" "$scale" <<-'PY'
		import glob, json, sys
		copy, policy, own, scale = sys.argv[1:]

		def edit(path, change):
		    value = json.load(open(path))
		    change(value)
		    json.dump(value, open(path, "w"), indent=2)

		def scale_rates(document):
		    for team in document["teams"]:
		        team["rate_per_second"] *= float(scale)
		        team["burst"] *= float(scale)

		edit(copy + "/document.json", scale_rates)
		edit(copy + "/standins.json", lambda s: s["platform"].update(document_file=copy + "/document.json"))
		if policy != own:
		    for path in glob.glob(copy + "/*.router.json"):
		        edit(path, lambda s: s.update(routing_policy=policy))
	PY
}

accepted() { # accepted FLEET POLICY
	for file in "$out/$2/$1"/*.router.json; do
		bin/oriole-router --settings "$file" --check >/dev/null 2>&1 || return 1
	done
}

results=()
failed=0
for fleet in $fleets; do
	for policy in "${policies[@]}"; do
		prepare "$fleet" "$policy"
		if ! accepted "$fleet" "$policy"; then
			echo "bench: policy $policy on $fleet: not run, this build's routers do not accept it"
			continue
		fi
		deploy="$out/$policy/$fleet"
		result="$out/$fleet-$policy"
		rm -f "$result.json" "$result.records" "$result.hook"
		scripts/fleet.sh up "$deploy" >"$result.log"
		scripts/faults.sh "$deploy" "$result.hook" >>"$result.log" 2>&1 &
		hook_pid=$!
		echo "bench: $fleet, policy $policy, progress in $result.log"
		if bin/oriole-load run --scenario "scenarios/$fleet-churn.json" --callers "$deploy/callers.json" \
			--document "$deploy/document.json" --standins "$deploy/standins.json" --hook "$result.hook" \
			--label "$policy" --scale "$scale" --out "$result.json" --records "$result.records" >>"$result.log" 2>&1; then
			results+=("$result.json")
		else
			echo "bench: $fleet, policy $policy: FAILED, see $result.log"
			failed=1
		fi
		stop
		if ! bin/oriole-load check --records "$result.records" >"$result.check" 2>&1; then
			echo "bench: $fleet, policy $policy: the records contradict promises, see $result.check:"
			grep FAIL "$result.check" || true
			[ "$policy" = "$own" ] && failed=1
		fi
	done
done
[ ${#results[@]} -gt 0 ] || exit 1

table() { # the table of each fleet, with what made it
	echo "make bench${*:+ POLICIES=\"$*\"}, commit $(git rev-parse --short HEAD 2>/dev/null || echo unknown), $(date -u +%F), scale $scale"
	for fleet in $fleets; do
		list=()
		for result in "${results[@]}"; do
			case $result in "$out/$fleet-"*) list+=("$result") ;; esac
		done
		[ ${#list[@]} -gt 0 ] || continue
		echo
		bin/oriole-load compare "${list[@]}"
		bin/oriole-load plot --out "$out/$fleet.png" "${list[@]}"
	done
}

table "$@" | tee "$out/table.txt"
exit $failed
