//! Descriptions of all metrics, and gauges for the state of the node. docs/metrics.md lists the metrics.

use jaysaddle_adapter::store::ObjectKind;
use jaysaddle_daemon::clock;
use jaysaddle_fleet::controller::FleetStats;
use jaysaddle_fleet::peers::PeerPhase;
use jaysaddle_gateway::crash_guard::ContentState;

use crate::log_writer;
use crate::node::EntryNode;
use crate::response_bounds::BoundKind;
use crate::silence::AwaitedPart;
use crate::silence::SilenceEnd;
use crate::store_client::UNREADABLE_OBJECTS;

/// Registers the descriptions of the metrics and initializes counters, so that they are exported
/// before their first event.
pub fn describe() {
    let counters = [
        (
            "jaysaddle_backend_connections_total",
            "Connections opened to backend servers",
        ),
        (
            "jaysaddle_stopping_connections_total",
            "Connections of callers accepted while this node stops",
        ),
        (
            "jaysaddle_stopping_requests_total",
            "Requests of callers received while this node stops",
        ),
        (
            "jaysaddle_streams_resumed_total",
            "Streams that went on at another group",
        ),
        ("jaysaddle_streams_broken_total", "Streams that were cut"),
        (
            "jaysaddle_repeats_total",
            "Requests that were sent to a second target",
        ),
        (
            "jaysaddle_repeats_withheld_total",
            "Repeats for which the shared budget had no room",
        ),
        (
            "jaysaddle_limited_sends_total",
            "Requests that were sent to a backend server with a request limit",
        ),
        (
            "jaysaddle_limit_diversions_total",
            "Requests that were sent elsewhere because a request limit was used up",
        ),
        (
            "jaysaddle_cold_sends_total",
            "Requests and calls sent to cold backend servers",
        ),
        (
            "jaysaddle_evacuation_changes_total",
            "Changes of the evacuated failure domains",
        ),
        (
            "jaysaddle_evacuations_undecodable_total",
            "Evacuations in the store that name no failure domain",
        ),
        (
            "jaysaddle_cold_times_ignored_total",
            "Entries that state an invalid time for which their backend server is cold",
        ),
        (
            "jaysaddle_store_restores_total",
            "Times that the store came back from an older copy",
        ),
        (
            "jaysaddle_log_lines_left_out_total",
            "Log lines left out by the limit for each place in the code",
        ),
        (
            "jaysaddle_log_lines_lost_total",
            "Log lines lost because standard output took none",
        ),
    ];
    for (name, text) in counters {
        metrics::describe_counter!(name, text);
        metrics::counter!(name).increment(0);
    }
    let histograms = [
        (
            "jaysaddle_request_seconds",
            "Time from the arrival of a request to the end of its answer",
        ),
        (
            "jaysaddle_first_token_seconds",
            "Time from the arrival of a stream's request to its first data",
        ),
        (
            "jaysaddle_longest_pause_seconds",
            "Longest pause between two pieces of data of a stream",
        ),
        (
            "jaysaddle_loop_lag_seconds",
            "Time by which the event loop runs a regular task later than planned",
        ),
        (
            "jaysaddle_store_call_seconds",
            "Time of a call to the platform's store, without watches",
        ),
    ];
    for (name, text) in histograms {
        metrics::describe_histogram!(name, metrics::Unit::Seconds, text);
    }
    let server_ends = "jaysaddle_server_ends_total";
    metrics::describe_counter!(
        server_ends,
        "Processes of backend servers that ended while this node had requests there, by whether that was announced"
    );
    for planned in ["false", "true"] {
        metrics::counter!(server_ends, "planned" => planned).increment(0);
    }
    let refusals = "jaysaddle_content_refusals_total";
    metrics::describe_counter!(
        refusals,
        "Sends that were refused because the content of the request ends backend servers, by state of the content"
    );
    let decisions = "jaysaddle_content_decisions_total";
    metrics::describe_counter!(decisions, "Decisions on such content, by its new state");
    for state in [ContentState::Held, ContentState::Blocked] {
        metrics::counter!(refusals, "state" => state.to_string()).increment(0);
        metrics::counter!(decisions, "state" => state.to_string()).increment(0);
    }
    metrics::counter!(decisions, "state" => "released").increment(0);
    metrics::describe_counter!(
        "jaysaddle_server_checks_total",
        "Checks of a backend server after an answer has broken off, by what they have shown"
    );
    metrics::describe_counter!(
        "jaysaddle_content_weighings_total",
        "Pieces of content at several ends that were weighed on new evidence, by result"
    );
    metrics::describe_counter!(
        "jaysaddle_retries_withheld_total",
        "Requests that were not sent to a further backend server, because the process of an earlier one had ended under them"
    );
    metrics::describe_counter!(
        "jaysaddle_requests_passed_on_total",
        "Requests that were passed on to a peer, because this node reaches no backend server"
    );
    let reach = "jaysaddle_server_reach_changes_total";
    metrics::describe_counter!(
        reach,
        "Changes of whether this node reaches backend servers at all"
    );
    for state in ["cut_off", "returned"] {
        metrics::counter!(reach, "state" => state).increment(0);
    }
    let rewrites = "jaysaddle_store_rewrites_total";
    metrics::describe_counter!(rewrites, "Objects that were written again after a restore");
    for kind in ["node", "lease"] {
        metrics::counter!(rewrites, "kind" => kind).increment(0);
    }
    let silent = "jaysaddle_silent_attempts_total";
    metrics::describe_counter!(
        silent,
        "Attempts beside which another one was tried because their backend server sent nothing, by the part that was awaited"
    );
    for part in AwaitedPart::ALL {
        metrics::counter!(silent, "part" => part.label()).increment(0);
    }
    let ends = "jaysaddle_silence_ends_total";
    metrics::describe_counter!(ends, "Silent attempts, by what came of them");
    for end in SilenceEnd::ALL {
        metrics::counter!(ends, "end" => end.label()).increment(0);
    }
    metrics::describe_counter!(
        UNREADABLE_OBJECTS,
        "Unreadable objects in responses of the store, by kind"
    );
    for kind in ObjectKind::ALL {
        metrics::counter!(UNREADABLE_OBJECTS, "kind" => kind.as_str()).increment(0);
    }
    let bounds = "jaysaddle_response_bounds_total";
    metrics::describe_counter!(
        bounds,
        "Responses cut because they reached a bound, by kind"
    );
    for kind in BoundKind::ALL {
        metrics::counter!(bounds, "kind" => kind.label()).increment(0);
    }
    metrics::describe_counter!("jaysaddle_requests_total", "Requests, by kind and result");
    metrics::describe_counter!(
        "jaysaddle_failures_total",
        "Failures made by this node, by reason, verdict and priority"
    );
    metrics::describe_counter!("jaysaddle_store_calls_total", "Calls to the store, by kind");
    metrics::describe_counter!(
        "jaysaddle_store_failures_total",
        "Calls to the store that were refused or not answered, by kind"
    );
}

/// Publishes the fleet's stats; called on the lease holder only.
pub fn publish_fleet(stats: &FleetStats) {
    metrics::gauge!("jaysaddle_stranded_accelerators").set(stats.stranded() as f64);
    let vms = [
        ("member", stats.members),
        ("free", stats.free),
        ("loading", stats.loading),
        ("leaving", stats.leaving),
        ("lost", stats.lost),
    ];
    for (state, count) in vms {
        metrics::gauge!("jaysaddle_vms", "state" => state).set(count as f64);
    }
    let interval = stats.interval.as_duration().as_secs_f64();
    for model in &stats.models {
        let name = model.model.to_string();
        let groups = [
            ("serving", model.serving),
            ("forming", model.forming),
            ("ending", model.ending),
        ];
        for (state, count) in groups {
            metrics::gauge!("jaysaddle_groups", "model" => name.clone(), "state" => state)
                .set(count as f64);
        }
        metrics::gauge!("jaysaddle_demand_groups", "model" => name.clone()).set(model.demand);
        metrics::gauge!("jaysaddle_group_downtime_seconds_total", "model" => name)
            .increment(model.missing() as f64 * interval);
    }
}

/// Updates the gauges for the state of the node; called before each scrape.
pub fn publish_node(node: &EntryNode) {
    let now = clock::now();
    let is_held = node.lease.borrow().held_term(now).is_some();
    let is_serving = node.phase.get() == PeerPhase::Serving;
    let ages = [
        ("table", node.table_read_at.get()),
        ("store", node.store_read_at.get()),
    ];
    for (source, time) in ages {
        let seconds = time.map_or(f64::NAN, |time| now.since(time).as_duration().as_secs_f64());
        metrics::gauge!("jaysaddle_reading_age_seconds", "of" => source).set(seconds);
    }
    metrics::gauge!("jaysaddle_store_era").set(node.store.era().unwrap_or_default().0 as f64);
    metrics::gauge!("jaysaddle_config_version").set(node.config_version() as f64);
    metrics::gauge!("jaysaddle_lease_held").set(f64::from(u8::from(is_held)));
    metrics::gauge!("jaysaddle_serving").set(f64::from(u8::from(is_serving)));
    let is_reachable = !node.store.is_unreachable(now);
    metrics::gauge!("jaysaddle_store_reachable").set(f64::from(u8::from(is_reachable)));
    let reaches_servers = !node.reach.is_cut_off();
    metrics::gauge!("jaysaddle_servers_reachable").set(f64::from(u8::from(reaches_servers)));
    metrics::gauge!("jaysaddle_live_peers").set(node.peers.borrow().live(now).count() as f64);
    let limits = node.gateway.borrow().limits_in_force();
    metrics::gauge!("jaysaddle_request_limits").set(limits as f64);
    let crashes = node.crashes.borrow();
    let gateway = node.gateway.borrow();
    metrics::gauge!("jaysaddle_cold_servers").set(gateway.cold_servers() as f64);
    metrics::counter!("jaysaddle_cold_sends_total").absolute(gateway.cold_sends());
    let evacuated = node.evacuations.borrow().domains().count();
    metrics::gauge!("jaysaddle_evacuated_domains").set(evacuated as f64);
    metrics::gauge!("jaysaddle_content_suspects").set(crashes.suspects() as f64);
    metrics::gauge!("jaysaddle_content_blocks").set(crashes.blocks().count() as f64);
    metrics::gauge!("jaysaddle_open_requests").set(f64::from(node.open_requests.get()));
    let connections = [
        ("caller", node.caller_connections.get()),
        ("backend", node.pool.open_connections()),
    ];
    for (kind, count) in connections {
        metrics::gauge!("jaysaddle_connections", "kind" => kind).set(f64::from(count));
    }
    metrics::gauge!("jaysaddle_held_body_bytes").set(node.budgets.bodies.held().0 as f64);
    for (kind, bytes) in node.budgets.held_responses() {
        metrics::gauge!("jaysaddle_held_response_bytes", "kind" => kind).set(bytes.0 as f64);
    }
    metrics::counter!("jaysaddle_log_lines_lost_total").absolute(log_writer::lost_lines());
}
