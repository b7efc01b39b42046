#!/usr/bin/env bash
# Builds everything, starts the stand-ins and eight daemons of one deployment
# on loopback, confirms its configuration and sends a few requests.
# Usage: scripts/run-local.sh [skyfuel|direktoratet] [--once]
# Without --once everything keeps running until Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/.."
name=${1:-skyfuel}
once=${2:-}
dir=examples/$name
[ -d "$dir" ] || { echo "expected skyfuel or direktoratet, found $name" >&2; exit 2; }
case $name in skyfuel) base=7000 ;; *) base=7400 ;; esac

cargo build --release --locked --workspace
bin=target/release/pistachiomoor
out=$(mktemp -d)
pids=()
stop() {
  trap - EXIT INT TERM
  kill "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  echo "logs are in $out"
}
trap stop EXIT
trap 'exit 130' INT TERM

target/release/standin log --listen "127.0.0.1:$base" >"$out/log.txt" 2>&1 & pids+=($!)
target/release/standin hosts --listen "127.0.0.1:$((base + 1))" >"$out/hosts.txt" 2>&1 & pids+=($!)
while read -r target address slots; do
  target/release/standin target --listen "$address" --name "$target" --slots "$slots" --service-ms 2 \
    >"$out/$target.txt" 2>&1 & pids+=($!)
done <"$dir/targets.txt"

"$bin" check "$dir"/*-?.json
for settings in "$dir"/*-?.json; do
  "$bin" serve --settings "$settings" 2>"$out/$(basename "$settings" .json).log" & pids+=($!)
done

admin=127.0.0.1:$((base + 12))
for _ in $(seq 100); do curl -fsS "http://$admin/ready" >/dev/null 2>&1 && break; sleep 0.1; done
"$bin" plan --admin "$admin" --operator "${USER:-operator}" --reason "first configuration" --out "$out/plan.json" "$dir/intent.json"
"$bin" confirm --admin "$admin" "$out/plan.json"

case $name in
  skyfuel) shared=/orders/quote keyed=/records/tail-HS-ABC ;;
  *) shared=/bookings/slots keyed=/catalogues/supplier-17 ;;
esac
for port in $((base + 10)) $((base + 16)) $((base + 22)) $((base + 28)); do
  for path in "$shared" "$keyed"; do
    for _ in $(seq 100); do
      curl -fsS -o "$out/answer" "http://127.0.0.1:$port$path" 2>/dev/null && break
      sleep 0.1
    done
    echo "127.0.0.1:$port $path -> $(cat "$out/answer")"
  done
done
echo "Call it by hand, for example:"
echo "  curl -i http://127.0.0.1:$((base + 10))$keyed"
echo "  curl -i -X POST --data 'uplift=500' http://127.0.0.1:$((base + 10))$shared"
echo "  $bin status --admin $admin"
[ "$once" = --once ] && exit 0
wait
