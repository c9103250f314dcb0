#!/usr/bin/env bash
# Runs the churn scenario of each deployment under each routing policy and prints one table of the four measures.
# Usage: bench.sh [POLICY...]. By default it runs all policies; those that this build of the router does not accept are
# skipped. BENCH_FLEETS selects the deployments. BENCH_SCALE multiplies the traffic and the rate limits of the teams.
# Results are written to run/bench.
set -euo pipefail
cd "$(dirname "$0")/.."
out=run/bench
fleets=${BENCH_FLEETS:-lobue lumen}
scale=${BENCH_SCALE:-1}
default_policy=bounded
policies=("$@")
[ ${#policies[@]} -gt 0 ] || policies=("$default_policy" random round-robin rendezvous direct)
mkdir -p "$out"
faults_pid=""
deploy=""

stop_deployment() {
	if [ -n "$faults_pid" ]; then
		kill "$faults_pid" 2>/dev/null || true
		wait "$faults_pid" 2>/dev/null || true
	fi
	faults_pid=""
	[ -z "$deploy" ] || scripts/fleet.sh down "$deploy"
	deploy=""
}
trap stop_deployment EXIT

prepare_deployment() { # prepare_deployment FLEET POLICY: copies the deployment, sets the policy and scales the rate limits
	local copy="$out/$2/$1"
	mkdir -p "$copy"
	cp "deploy/$1"/*.json "$copy/"
	python3 - "$copy" "$2" "$default_policy" "$scale" <<-'PY'
		import glob, json, sys
		copy, policy, default_policy, scale = sys.argv[1:]

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
		if policy != default_policy:
		    for path in glob.glob(copy + "/*.router.json"):
		        edit(path, lambda s: s.update(routing_policy=policy))
	PY
}

policy_accepted() { # policy_accepted FLEET POLICY: reports whether all routers accept the settings
	for file in "$out/$2/$1"/*.router.json; do
		bin/oriole-router --settings "$file" --check >/dev/null 2>&1 || return 1
	done
}

results=()
failed=0
for fleet in $fleets; do
	for policy in "${policies[@]}"; do
		prepare_deployment "$fleet" "$policy"
		if ! policy_accepted "$fleet" "$policy"; then
			echo "bench: policy $policy on $fleet: not run, this build of the router does not accept it"
			continue
		fi
		deploy="$out/$policy/$fleet"
		result="$out/$fleet-$policy"
		rm -f "$result.json" "$result.records" "$result.hook"
		scripts/fleet.sh up "$deploy" >"$result.log"
		scripts/faults.sh "$deploy" "$result.hook" >>"$result.log" 2>&1 &
		faults_pid=$!
		echo "bench: $fleet, policy $policy, progress in $result.log"
		if bin/oriole-load run --scenario "scenarios/$fleet-churn.json" --callers "$deploy/callers.json" \
			--document "$deploy/document.json" --standins "$deploy/standins.json" --hook "$result.hook" \
			--label "$policy" --scale "$scale" --out "$result.json" --records "$result.records" >>"$result.log" 2>&1; then
			results+=("$result.json")
		else
			echo "bench: $fleet, policy $policy: FAILED, see $result.log"
			failed=1
		fi
		stop_deployment
		if ! bin/oriole-load check --records "$result.records" >"$result.check" 2>&1; then
			echo "bench: $fleet, policy $policy: the records violate promises, see $result.check:"
			grep FAIL "$result.check" || true
			[ "$policy" = "$default_policy" ] && failed=1
		fi
	done
done
[ ${#results[@]} -gt 0 ] || exit 1

print_tables() { # print_tables [POLICY...]: prints the table of each fleet, below the command and commit that produced it
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

print_tables "$@" | tee "$out/table.txt"
exit $failed
