//! Measures the frames, bytes and connections that membership uses over loopback connections.
//!
//! `cargo run --release -p jaysaddle-transport --example measure_links -- [nodes] [seconds]`

#[allow(
    dead_code,
    reason = "the test uses more of the cluster module than this example"
)]
#[path = "../tests/all/cluster.rs"]
mod cluster;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use jaysaddle_transport::TransportSettings;
use metrics::Counter;
use metrics::Gauge;
use metrics::Histogram;
use metrics::Key;
use metrics::KeyName;
use metrics::Metadata;
use metrics::Recorder;
use metrics::SharedString;
use metrics::Unit;

/// Time allowed for all nodes to join before the measurement.
const JOIN_TIME: Duration = Duration::from_secs(20);

/// Metrics recorder that sums counters over all nodes, which share this process.
#[derive(Clone, Default)]
struct SumRecorder {
    counters: Arc<Mutex<BTreeMap<String, Arc<AtomicU64>>>>,
}

impl SumRecorder {
    fn read(&self) -> BTreeMap<String, u64> {
        let counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        let entries = counters.iter();
        entries
            .map(|(name, counter)| (name.clone(), counter.load(Ordering::Relaxed)))
            .collect()
    }
}

impl Recorder for SumRecorder {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        let mut counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        let counter = counters.entry(key.to_string()).or_default();
        Counter::from_arc(Arc::clone(counter))
    }

    fn register_gauge(&self, _: &Key, _: &Metadata<'_>) -> Gauge {
        Gauge::noop()
    }

    fn register_histogram(&self, _: &Key, _: &Metadata<'_>) -> Histogram {
        Histogram::noop()
    }
}

fn main() {
    let mut numbers = std::env::args()
        .skip(1)
        .filter_map(|text| text.parse().ok());
    let nodes: usize = numbers.next().unwrap_or(40);
    let seconds = numbers.next().unwrap_or(60) as u64;
    let recorder = SumRecorder::default();
    if metrics::set_global_recorder(recorder.clone()).is_err() {
        eprintln!("another metrics recorder is installed");
        return;
    }
    let cluster = cluster::start_cluster(nodes, &TransportSettings::default());
    std::thread::sleep(JOIN_TIME);
    let before = recorder.read();
    std::thread::sleep(Duration::from_secs(seconds));
    let after = recorder.read();
    println!("{nodes} nodes, {seconds} s without changes, per node and second:");
    for (name, value) in after {
        let increase = value - before.get(&name).copied().unwrap_or(0);
        println!(
            "{name}: {:.2}",
            increase as f64 / (nodes as u64 * seconds) as f64
        );
    }
    for node in cluster {
        node.stop();
    }
}
