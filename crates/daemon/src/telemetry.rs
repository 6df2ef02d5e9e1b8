//! Metrics in the Prometheus text format.

use std::sync::Arc;

use eyre::WrapErr;
use jaysaddle_reducer::ControlState;
use jaysaddle_types::node::NodeState;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::view::FleetView;
use jaysaddle_types::view::GroupState;
use jaysaddle_types::view::VmState;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

/// Renders the metrics of this process for a Prometheus scrape.
#[derive(Clone)]
pub struct MetricsRenderer {
    handle: PrometheusHandle,
}

/// Bucket bounds of the time histograms, in seconds.
const TIME_BUCKETS: [f64; 14] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 1.9, 5.0, 20.0,
];

impl MetricsRenderer {
    /// Installs the metrics recorder of the process and registers the descriptions of the metrics.
    ///
    /// # Errors
    ///
    /// Fails when a recorder is already installed.
    pub fn install() -> eyre::Result<Self> {
        let handle = PrometheusBuilder::new()
            .set_buckets(&TIME_BUCKETS)
            .wrap_err("the histogram bounds are not valid")?
            .install_recorder()
            .wrap_err("a metrics recorder is already installed")?;
        describe();
        Ok(Self { handle })
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}

fn describe() {
    metrics::describe_gauge!(
        "jaysaddle_group_downtime_seconds_total",
        metrics::Unit::Seconds,
        "Time for which a wanted group of the model was not ready, summed over groups, as seen by this node"
    );
    metrics::describe_gauge!(
        "jaysaddle_stranded_accelerators",
        "Accelerators of live VMs that are in no ready or loading group, as seen by this node"
    );
    metrics::describe_gauge!("jaysaddle_groups", "Groups by model and state");
    metrics::describe_gauge!("jaysaddle_vms", "VMs by state");
    metrics::describe_gauge!("jaysaddle_nodes", "Nodes by state");
    metrics::describe_gauge!(
        "jaysaddle_held_shards",
        "Shards whose lease this node holds"
    );
    metrics::describe_gauge!(
        "jaysaddle_store_reachable",
        "1 when the store answers this node"
    );
    metrics::describe_gauge!("jaysaddle_open_requests", "Requests of callers under way");
    metrics::describe_counter!("jaysaddle_requests_total", "Requests ended, by result");
    metrics::describe_counter!(
        "jaysaddle_refusals_total",
        "Refusals, by reason and verdict"
    );
    metrics::describe_counter!("jaysaddle_decisions_total", "Decisions, by kind");
    metrics::describe_counter!(
        "jaysaddle_invariant_violations_total",
        "Effects withheld because they would have broken an invariant"
    );
    metrics::describe_counter!("jaysaddle_tokens_total", "Tokens passed to callers");
    metrics::describe_counter!(
        "jaysaddle_stream_resumes_total",
        "Streams resumed on a new connection"
    );
    metrics::describe_histogram!(
        "jaysaddle_first_token_seconds",
        metrics::Unit::Seconds,
        "Time from the arrival of a request to its first token"
    );
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn gauge_by_state<S: PartialEq + Copy>(
    name: &'static str,
    states: &[(S, &'static str)],
    items: impl Iterator<Item = S> + Clone,
) {
    for (state, label) in states {
        let count = items.clone().filter(|item| item == state).count();
        metrics::gauge!(name, "state" => *label).set(as_f64(count));
    }
}

/// Updates the fleet gauges. `held_shards` is the number of leases held by this node, and `elapsed`
/// the time since the last update.
pub fn update_gauges(
    state: &ControlState,
    view: &Arc<FleetView>,
    held_shards: usize,
    elapsed: TimeSpan,
) {
    let elapsed_secs = f64::from(u32::try_from(elapsed.as_millis()).unwrap_or(u32::MAX)) / 1000.0;
    for rule in &view.rules.models {
        let ready = view
            .groups
            .iter()
            .filter(|group| group.model == rule.name && group.state == GroupState::Ready)
            .count();
        let wanted = usize::try_from(rule.groups).unwrap_or(usize::MAX);
        let missing = wanted.saturating_sub(ready);
        let model = rule.name.to_string();
        metrics::gauge!("jaysaddle_groups", "model" => model.clone(), "state" => "ready")
            .set(as_f64(ready));
        metrics::gauge!("jaysaddle_groups", "model" => model.clone(), "state" => "missing")
            .set(as_f64(missing));
        // Counters of the recorder are integers, so this monotonic sum of seconds is a gauge.
        metrics::gauge!("jaysaddle_group_downtime_seconds_total", "model" => model)
            .increment(as_f64(missing) * elapsed_secs);
    }
    metrics::gauge!("jaysaddle_stranded_accelerators")
        .set(f64::from(state.stranded_accelerators(view)));
    gauge_by_state(
        "jaysaddle_vms",
        &[
            (VmState::Unknown, "unknown"),
            (VmState::Live, "live"),
            (VmState::Straggler, "straggler"),
            (VmState::Suspect, "suspect"),
            (VmState::Dead, "dead"),
            (VmState::Leaving, "leaving"),
            (VmState::Returning, "returning"),
        ],
        state.vm_states(),
    );
    gauge_by_state(
        "jaysaddle_nodes",
        &[
            (NodeState::Alive, "alive"),
            (NodeState::Suspect, "suspect"),
            (NodeState::Leaving, "leaving"),
            (NodeState::Dead, "dead"),
        ],
        view.nodes.iter().map(|(_, state)| *state),
    );
    metrics::gauge!("jaysaddle_held_shards").set(as_f64(held_shards));
    metrics::gauge!("jaysaddle_store_reachable")
        .set(f64::from(u8::from(state.is_store_reachable())));
}
