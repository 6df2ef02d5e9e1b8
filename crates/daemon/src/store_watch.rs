//! Threads that watch the platform: watches of the object store and polling of the VM list.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use jaysaddle_reducer::ControlEvent;
use jaysaddle_types::ids::StoreRevision;
use jaysaddle_types::store::ObjectKind;
use jaysaddle_types::units::TimeSpan;

use crate::clock;
use crate::shared_state::SharedState;

/// Initial backoff after a failed call. It doubles up to [`MAX_BACKOFF`] and is jittered, so that
/// the nodes do not call at the same time when the store recovers.
const MIN_BACKOFF: TimeSpan = TimeSpan::from_millis(200);

/// Maximum backoff after a failed call, before jitter.
const MAX_BACKOFF: TimeSpan = TimeSpan::from_secs(2);

/// Polling interval of the VM list with up to [`LIST_BASE_NODES`] nodes. With more nodes, each
/// polls less often, so that the total call rate does not grow with the fleet.
const LIST_INTERVAL: TimeSpan = TimeSpan::from_secs(1);

/// Number of nodes up to which each node polls the VM list every [`LIST_INTERVAL`].
const LIST_BASE_NODES: usize = 7;

/// Exponential backoff with jitter between failed calls.
struct CallBackoff {
    delay: TimeSpan,
    jitter: u64,
}

impl CallBackoff {
    fn new(shared: &SharedState, salt: u64) -> Self {
        Self {
            delay: MIN_BACKOFF,
            jitter: shared.own_node.key.incarnation.0 ^ salt,
        }
    }

    fn reset(&mut self) {
        self.delay = MIN_BACKOFF;
    }

    fn wait(&mut self) {
        // A linear congruential generator is sufficient to spread the calls of the nodes.
        self.jitter = self
            .jitter
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let permille = 500 + (self.jitter >> 33) % 1000;
        thread::sleep(Duration::from_millis(
            self.delay.as_millis() * permille / 1000,
        ));
        self.delay = TimeSpan(self.delay.as_millis() * 2).min(MAX_BACKOFF);
    }
}

fn watch_objects(shared: &SharedState, kind: ObjectKind) {
    let mut backoff = CallBackoff::new(shared, u64::from(kind == ObjectKind::Placement));
    let mut revision = StoreRevision(0);
    loop {
        match shared
            .store
            .watch(kind, revision, shared.settings.timing.watch_wait)
        {
            Ok(batch) => {
                backoff.reset();
                // A lower revision means that the store lost its history; read all objects again.
                if batch.revision < revision {
                    log::error!(
                        "the store's revision decreased; reading all {kind:?} objects again"
                    );
                    revision = StoreRevision(0);
                    continue;
                }
                revision = batch.revision;
                shared.send_control_event(ControlEvent::ObjectsChanged {
                    kind,
                    objects: batch.objects,
                });
            }
            Err(error) => {
                log::debug!("watch of {kind:?} objects failed: {error:#}");
                shared.send_control_event(ControlEvent::StoreReachable(false));
                backoff.wait();
            }
        }
    }
}

fn poll_vm_list(shared: &SharedState) {
    let mut backoff = CallBackoff::new(shared, 2);
    loop {
        let started = clock::now();
        match shared.store.list_vms() {
            Ok(list) => {
                backoff.reset();
                shared.send_control_event(ControlEvent::VmsListed(list));
            }
            Err(error) => {
                log::debug!("reading the VM list failed: {error:#}");
                backoff.wait();
                continue;
            }
        }
        let nodes = shared.view().nodes.len().max(LIST_BASE_NODES);
        let factor = u64::try_from(nodes.div_ceil(LIST_BASE_NODES)).unwrap_or(1);
        let next = started + TimeSpan(LIST_INTERVAL.as_millis() * factor);
        thread::sleep(next.since(clock::now()).as_duration());
    }
}

/// Starts the watch and polling threads, which run until the process ends.
///
/// # Errors
///
/// Fails when a thread cannot be started.
pub fn start(shared: &Arc<SharedState>) -> std::io::Result<()> {
    for kind in [ObjectKind::Config, ObjectKind::Placement] {
        let shared = shared.clone();
        thread::Builder::new()
            .name(format!("watch-{}", kind.as_str()))
            .spawn(move || watch_objects(&shared, kind))?;
    }
    let shared = shared.clone();
    thread::Builder::new()
        .name("vm-list".into())
        .spawn(move || poll_vm_list(&shared))?;
    Ok(())
}
