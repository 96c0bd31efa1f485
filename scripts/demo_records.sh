#!/usr/bin/env bash
# Prints the records of the demo as a JSON array. Usage: demo_records.sh FIRST_TARGET_PORT
# Two services, summit-pages and work-orders, with 2 targets each in every one of three zones.
set -euo pipefail
port=$1
separator='['
record() { printf '%s\n%s' "$separator" "$1"; separator=','; }
for zone in a b c; do
  record "{\"kind\":\"zone\",\"schema\":1,\"name\":\"$zone\",\"spec\":{\"region\":\"adriatic\",\"state\":\"in\"}}"
done
for service in summit-pages work-orders; do
  record "{\"kind\":\"service\",\"schema\":1,\"name\":\"$service\",\"spec\":{\"default_rule\":\"$service\",\"slots\":2,\"cold_limit\":1,\"connections\":220,\"probes_per_second\":2}}"
  for zone in a b c; do
    for number in 1 2; do
      record "{\"kind\":\"target\",\"schema\":1,\"name\":\"$service-$zone$number\",\"spec\":{\"service\":\"$service\",\"zone\":\"$zone\",\"address\":\"127.0.0.1:$port\",\"state\":\"active\"}}"
      port=$((port + 1))
    done
  done
done
record '{"kind":"rule","schema":1,"name":"summit-pages","spec":{"service":"summit-pages","method":"GET","path_prefix":"/","class":"interactive","deadline_ms":2000,"idempotent":true,"attempts":3}}'
record '{"kind":"rule","schema":1,"name":"packs","spec":{"service":"summit-pages","method":"GET","path_prefix":"/pack/","class":"bulk","deadline_ms":10000,"idempotent":true,"attempts":2}}'
record '{"kind":"rule","schema":2,"name":"work-orders","spec":{"service":"work-orders","method":"POST","path_prefix":"/","class":"transactional","deadline_ms":2000,"idempotent":false,"attempts":2,"shards_per_zone":1}}'
printf '\n]\n'
