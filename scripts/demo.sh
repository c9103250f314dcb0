#!/usr/bin/env bash
# Starts a deployment, sends requests to it, prints the results and stops the deployment: demo.sh DEPLOYMENT_FOLDER
set -euo pipefail
cd "$(dirname "$0")/.."
deploy=${1:?usage: demo.sh DEPLOYMENT_FOLDER}
trap 'scripts/fleet.sh down "$deploy"' EXIT
scripts/fleet.sh up "$deploy"
bin/oriole-load demo --callers "$deploy/callers.json" --document "$deploy/document.json"
