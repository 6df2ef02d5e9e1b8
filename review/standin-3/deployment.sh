# Functions of the scripts: a small deployment of stand-ins and nodes as separate processes. Sourced by review/N/run.sh.

STANDIN="$ROOT/target/review-3/standin"
NODE_PROGRAM="$ROOT/target/release/jaysaddled"
WORK="$(mktemp -d)"
# A loopback subnet of this run, so that ports are free.
SUBNET="127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))"
STORE="$SUBNET.7:8223"
PIDS=()

for program in "$STANDIN" "$NODE_PROGRAM"; do
    [ -x "$program" ] || { echo "missing $program" >&2; exit 2; }
done

# Ends all processes of this run, and no others.
end_all() {
    for pid in "${PIDS[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$WORK"
}
trap end_all EXIT

could_not_run() {
    echo "could not run: $1" >&2
    exit 2
}

# start NAME COMMAND...: starts a process whose output goes to a file. Its id is in LAST.
start() {
    local name="$1"
    shift
    "$@" >>"$WORK/$name.log" 2>&1 &
    LAST=$!
    PIDS+=("$LAST")
}

start_store() {
    start store "$STANDIN" store --listen "$STORE"
}

# start_server NUMBER OPTION...: a plain backend server. SERVER_PIDS[NUMBER] is its process.
declare -A SERVER_PIDS BOOTS
start_server() {
    local number="$1"
    shift
    BOOTS[$number]=$((${BOOTS[$number]:-0} + 1))
    # Each start has an id of its own.
    start "server-$number" "$STANDIN" server --listen "$SUBNET.$((50 + number)):8120" --id "i-server-$number-${BOOTS[$number]}" \
        --service desk-app --zone hall-a --store "$STORE" "$@"
    SERVER_PIDS[$number]=$LAST
}

# start_node NUMBER: a node with the command of the deploy file, and its settings as the template has them.
declare -A NODE_PIDS
start_node() {
    local ip="$SUBNET.$1"
    cat >"$WORK/node-$1.yaml" <<SETTINGS
node: "front-hall-a-$1"
failure_domain: "hall-a"
address: "$ip"
listen:
  callers: "$ip:8227"
  readiness: "$ip:8220"
  directory: "$ip:8224"
  metrics: "$ip:9464"
peer_ports: [7340, 7355]
store: "$STORE"
memory: "260MB"
processor: 0.25
is_first_start: true
bounds:
  stop_grace: "8s"
  drain: "2000ms"
  repeat_ratio: 0.2
  repeat_slack: 105
  directory_lifetime_secs: 5
SETTINGS
    start "node-$1" "$NODE_PROGRAM" --entry-settings "$WORK/node-$1.yaml"
    NODE_PIDS[$1]=$LAST
}

# Service of the engines of standin-3/engines.rust.
POOL="{\"name\":\"pool\",\"healthPath\":\"/healthz\",\"maxConns\":200,\"engine\":{\"slots\":8,\"models\":[{\"name\":\"m0\",\"size\":3,\
\"share\":1.0,\"pace\":1.0,\"loadS\":2.0,\"warmupS\":0.8}],\"loadsPerS\":5.0,\"loads_at_once\":7,\"formMs\":100.0}}"

# put_config ROUTES: writes the configuration as the operator does.
put_config() {
    local spec="{\"version\":1,\"routes\":[$1],\"services\":[{\"name\":\"desk-app\",\"healthPath\":\"/healthz\",\"maxConns\":100},$POOL],\
\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\
\"tenants\":[{\"name\":\"lender\",\"apiKeys\":[\"key-1\"]}]}"
    curl -sf --noproxy '*' --max-time 2 -o /dev/null -X PUT -H 'Content-Type: application/json' \
        -d "{\"metadata\":{\"name\":\"main\"},\"spec\":$spec}" "http://$STORE/objects/config/main" \
        || could_not_run "the configuration was not stored"
}

# route NAME KIND ATTEMPTS [SERVICE]: a route of the configuration.
route() {
    echo "{\"name\":\"$1\",\"host\":\"desk.example\",\"pathPrefix\":\"/$1/\",\"kind\":\"$2\",\"timeoutMs\":6000,\"sloMs\":1500,\
\"priority\":1,\"service\":\"${4:-desk-app}\",\"maxAttempts\":$3$( [ "$2" != stream ] || echo ",\"resumable\":true,\"gapTargetMs\":300")}"
}

# wait_ready ADDRESS...: waits until nodes are ready.
wait_ready() {
    for address in "$@"; do
        for _ in $(seq 100); do
            curl -sf --noproxy '*' --max-time 1 -o /dev/null "http://$address/readyz" && continue 2
            sleep 0.1
        done
        could_not_run "$address is not ready"
    done
}

# restart_ended BACK_MS OPTION...: starts each of the six servers again that has ended, BACK_MS after its end. Called again and again.
declare -A ENDED
restart_ended() {
    local back_ms="$1" now number
    shift
    now=$(date +%s%3N)
    for number in 1 2 3 4 5 6; do
        if [ -n "${ENDED[$number]:-}" ]; then
            if [ "$now" -ge $((ENDED[$number] + back_ms)) ]; then
                unset "ENDED[$number]"
                start_server "$number" "$@"
            fi
        elif ! kill -0 "${SERVER_PIDS[$number]}" 2>/dev/null; then
            ENDED[$number]=$now
        fi
    done
}

# record_deadly FILE CONTACT_MS: writes the record of a deployment with a deadly request. REACHED is the number of its retries that reached
# servers later than CONTACT_MS after it had ended the third.
record_deadly() {
    local third crashes
    grep -h '^[0-9]' "$WORK"/pages.log "$WORK"/sound.log "$WORK"/server-*.log | sort -n >"$WORK/all"
    third="$( (grep ' crash server=' "$WORK/all" || true) | sed -n 3p | cut -d' ' -f1)"
    REACHED=0
    if [ -n "$third" ]; then
        REACHED="$( (grep ' run server=.* id=page-' "$WORK/all" || true) | awk -v from=$((third + $2)) '$1 > from' \
            | grep -o 'id=page-[0-9-]*' | sort -u | wc -l)"
    fi
    crashes="$(grep -c ' crash server=' "$WORK/all" || true)"
    {
        cat "$WORK/all"
        echo "crashes=$crashes third_crash=${third:-none} retries_that_reached_servers_later_than_$2_ms_after_it=$REACHED"
    } >"$1"
    grep -q 'id=page-1-1 ' "$WORK/all" || could_not_run "the pages were not asked for"
    grep -q 'answered id=sound-.* status=200' "$WORK/all" || could_not_run "no request was served"
}
