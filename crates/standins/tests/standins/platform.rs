//! Platform: conditional updates, lost answers, watches, limits, the lagging list.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use jaysaddle_platform::HttpStore;
use jaysaddle_platform::PlatformStore;
use jaysaddle_standins::PlatformSettings;
use jaysaddle_standins::PlatformStandin;
use jaysaddle_standins::platform::OutageMode;
use jaysaddle_standins::platform::PlatformFault;
use jaysaddle_standins::platform::PlatformStats;
use jaysaddle_types::evidence::ListedState;
use jaysaddle_types::evidence::ListedVm;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::ids::StoreRevision;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::ids::WriteId;
use jaysaddle_types::store::ObjectKind;
use jaysaddle_types::store::StoreOutcome;
use jaysaddle_types::store::StoreRequest;
use jaysaddle_types::units::RequestRate;
use jaysaddle_types::units::TimeSpan;

use crate::support::wait_for;

fn start(settings: &PlatformSettings) -> (PlatformStandin, HttpStore) {
    let standin = PlatformStandin::start(settings).unwrap();
    let store = HttpStore::new(standin.address());
    (standin, store)
}

fn get(name: &str) -> StoreRequest {
    StoreRequest::Get {
        kind: ObjectKind::Placement,
        name: name.into(),
    }
}

fn put(name: &str, expected: u64, value: &str) -> StoreRequest {
    StoreRequest::Put {
        kind: ObjectKind::Placement,
        name: name.into(),
        expected: ObjectVersion(expected),
        write_id: WriteId::new("w"),
        value: value.into(),
    }
}

fn control(standin: &PlatformStandin, route: &str, body: &impl serde::Serialize) {
    let response = minreq::post(format!("http://{}/control/{route}", standin.address()))
        .with_body(serde_json::to_string(body).unwrap())
        .with_timeout(2)
        .send()
        .unwrap();
    assert_eq!(response.status_code, 200);
}

fn stats(standin: &PlatformStandin) -> PlatformStats {
    let response = minreq::get(format!("http://{}/control/stats", standin.address()))
        .with_timeout(2)
        .send()
        .unwrap();
    serde_json::from_slice(response.as_bytes()).unwrap()
}

/// Guards against a write that takes effect although another one came first.
#[test]
fn a_write_with_an_outdated_version_has_no_effect() {
    let (standin, store) = start(&PlatformSettings::default());
    assert_eq!(store.call(&get("r/d1")), StoreOutcome::Missing);
    let written = StoreOutcome::Written(ObjectVersion(1));
    assert_eq!(store.call(&put("r/d1", 0, "one")), written);
    let conflict = StoreOutcome::Conflict(ObjectVersion(1));
    assert_eq!(store.call(&put("r/d1", 0, "two")), conflict);
    assert_eq!(
        store.call(&put("r/d1", 1, "three")),
        StoreOutcome::Written(ObjectVersion(2))
    );
    let StoreOutcome::Found(object) = store.call(&get("r/d1")) else {
        panic!("the object is missing");
    };
    assert_eq!((object.value.as_str(), object.version.0), ("three", 2));
    let stats = stats(&standin);
    assert_eq!((stats.writes, stats.conflicts, stats.reads), (2, 1, 2));
}

/// Guards against a lost answer that undoes the write or that looks like a refusal.
#[test]
fn a_write_whose_answer_is_lost_took_effect() {
    let (standin, store) = start(&PlatformSettings::default());
    let fault = PlatformFault {
        lose_writes: Some(1),
        ..PlatformFault::default()
    };
    control(&standin, "fault", &fault);
    let started = Instant::now();
    assert_eq!(store.call(&put("d", 0, "one")), StoreOutcome::Unknown);
    assert!(started.elapsed() < Duration::from_secs(1), "not closed");
    let read = store.call(&get("d"));
    assert!(matches!(read, StoreOutcome::Found(object) if object.value == "one"));
    let written = StoreOutcome::Written(ObjectVersion(2));
    assert_eq!(store.call(&put("d", 1, "two")), written);
}

/// Guards against a watch that misses a write, answers early or never ends.
#[test]
fn a_watch_answers_on_a_write_or_at_its_end() {
    let (standin, store) = start(&PlatformSettings::default());
    store.call(&put("d", 0, "one"));
    let watch = |after, wait| store.watch(ObjectKind::Placement, after, TimeSpan(wait));
    let first = watch(StoreRevision(0), 5000).unwrap();
    assert_eq!((first.revision.0, first.objects.len()), (1, 1));
    let quiet = watch(first.revision, 100).unwrap();
    assert_eq!((quiet.revision.0, quiet.objects.len()), (1, 0));
    thread::scope(|scope| {
        let waiting = scope.spawn(|| watch(first.revision, 8000).unwrap());
        wait_for("the third watch", || stats(&standin).watches == 3);
        store.call(&put("e", 0, "two"));
        let batch = waiting.join().unwrap();
        assert_eq!(batch.revision.0, 2);
        assert_eq!(batch.objects[0].value, "two");
    });
    // Another kind has no news.
    let other = store.watch(ObjectKind::Lease, StoreRevision(1), TimeSpan(50));
    assert!(other.unwrap().objects.is_empty());
}

/// Guards against budgets and the size limit that are not applied.
#[test]
fn calls_above_the_limits_are_refused() {
    let (standin, store) = start(&PlatformSettings {
        read_budget: RequestRate(5),
        write_budget: RequestRate(3),
        ..PlatformSettings::default()
    });
    let large = "x".repeat(1_000_001);
    let response = minreq::put(format!("http://{}/objects/config/d", standin.address()))
        .with_header("If-Match", "0")
        .with_body(large)
        .with_timeout(5)
        .send()
        .unwrap();
    assert_eq!(response.status_code, 413);
    let refused = (0..20)
        .filter(|index| store.call(&put(&format!("d{index}"), 0, "x")) == StoreOutcome::Unavailable)
        .count();
    assert!(refused >= 10, "{refused} of 20 writes refused");
    let refused = (0..20)
        .filter(|_| store.call(&get("d0")) == StoreOutcome::Unavailable)
        .count();
    assert!(refused >= 10, "{refused} of 20 reads refused");
}

/// Guards against an outage that lets calls through or does not end.
#[test]
fn an_outage_stops_calls_and_ends() {
    let (standin, store) = start(&PlatformSettings::default());
    for (mode, write) in [
        (OutageMode::Unavailable, StoreOutcome::Unavailable),
        (OutageMode::Closed, StoreOutcome::Unknown),
    ] {
        let fault = PlatformFault {
            outage: Some(mode),
            ..PlatformFault::default()
        };
        control(&standin, "fault", &fault);
        assert_eq!(store.call(&put("d", 0, "one")), write);
        assert_eq!(store.call(&get("d")), StoreOutcome::Unavailable);
    }
    let fault = PlatformFault {
        outage: Some(OutageMode::Off),
        ..PlatformFault::default()
    };
    control(&standin, "fault", &fault);
    assert_eq!(store.call(&get("d")), StoreOutcome::Missing);
}

/// Guards against a silent store that answers, or that stays silent after the fault.
#[test]
fn a_silent_store_never_answers() {
    let (standin, store) = start(&PlatformSettings::default());
    let silent = |on| PlatformFault {
        silent: Some(on),
        ..PlatformFault::default()
    };
    control(&standin, "fault", &silent(true));
    let started = Instant::now();
    assert_eq!(store.call(&get("d")), StoreOutcome::Unavailable);
    assert!(started.elapsed() >= Duration::from_secs(1));
    control(&standin, "fault", &silent(false));
    assert_eq!(store.call(&get("d")), StoreOutcome::Missing);
}

/// Guards against a list that shows changes at once, which would hide faults of its readers.
#[test]
fn the_list_of_vms_lags() {
    let (standin, store) = start(&PlatformSettings {
        list_lag: TimeSpan::from_millis(400),
        ..PlatformSettings::default()
    });
    let vms = vec![ListedVm {
        vm: VmId::new("a"),
        state: ListedState::Live,
    }];
    let set = Instant::now();
    control(&standin, "vms", &vms);
    wait_for("the list", || store.list_vms().unwrap() == vms);
    assert!(set.elapsed() >= Duration::from_millis(400));
}
