//! Tests of the platform stand-in: object API and rate limits.

use std::thread;
use std::time::Duration;

use jaysaddle_platform::HttpStore;
use jaysaddle_platform::PlatformStore;
use jaysaddle_standins::PlatformSettings;
use jaysaddle_standins::PlatformStandin;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::ids::WriteId;
use jaysaddle_types::store::ObjectKind;
use jaysaddle_types::store::StoreOutcome;
use jaysaddle_types::store::StoreRequest;
use jaysaddle_types::units::RequestRate;
use jaysaddle_types::units::TimeSpan;

fn start(settings: &PlatformSettings) -> (PlatformStandin, HttpStore) {
    let standin = PlatformStandin::start(settings).expect("the platform starts");
    let store = HttpStore::new(standin.address());
    (standin, store)
}

fn put(store: &HttpStore, name: &str, expected: u64, value: &str) -> StoreOutcome {
    store.call(&StoreRequest::Put {
        kind: ObjectKind::Config,
        name: name.into(),
        expected: ObjectVersion(expected),
        write_id: WriteId::new("write-1"),
        value: value.to_owned(),
    })
}

fn get(store: &HttpStore, name: &str) -> StoreOutcome {
    store.call(&StoreRequest::Get {
        kind: ObjectKind::Config,
        name: name.into(),
    })
}

/// Guards against two concurrent writers that both succeed, which would hide lost updates.
#[test]
fn one_of_two_racing_writers_succeeds() {
    let (_standin, store) = start(&PlatformSettings::default());
    assert_eq!(
        put(&store, "rules", 0, "first"),
        StoreOutcome::Written(ObjectVersion(1))
    );
    let writers: Vec<_> = ["left", "right"]
        .into_iter()
        .map(|value| {
            let store = store.clone();
            thread::spawn(move || (value, put(&store, "rules", 1, value)))
        })
        .collect();
    let outcomes: Vec<_> = writers
        .into_iter()
        .map(|writer| writer.join().expect("the writer thread finishes"))
        .collect();
    let written: Vec<_> = outcomes
        .iter()
        .filter(|(_, outcome)| *outcome == StoreOutcome::Written(ObjectVersion(2)))
        .collect();
    let conflicts = outcomes
        .iter()
        .filter(|(_, outcome)| *outcome == StoreOutcome::Conflict(ObjectVersion(2)));
    assert_eq!((written.len(), conflicts.count()), (1, 1), "{outcomes:?}");
    let StoreOutcome::Found(object) = get(&store, "rules") else {
        panic!("the object is missing");
    };
    assert_eq!(object.value, written[0].0);
}

/// Guards against a `lose_writes` fault that loses the write instead of its response.
#[test]
fn lost_response_leaves_write_in_effect() {
    let (standin, store) = start(&PlatformSettings::default());
    let response = minreq::post(format!("http://{}/control/fault", standin.address()))
        .with_body(r#"{"lose_writes": 1}"#)
        .with_timeout(5)
        .send()
        .expect("the platform responds");
    assert_eq!(response.status_code, 200);
    assert_eq!(put(&store, "rules", 0, "value"), StoreOutcome::Unknown);
    let StoreOutcome::Found(object) = get(&store, "rules") else {
        panic!("the write had no effect");
    };
    assert_eq!(
        (object.version, object.value.as_str()),
        (ObjectVersion(1), "value")
    );
    assert_eq!(
        put(&store, "rules", 1, "next"),
        StoreOutcome::Written(ObjectVersion(2))
    );
}

/// Guards against a watch that misses a write or returns one from before its revision again.
#[test]
fn watch_returns_writes_after_revision() {
    let (_standin, store) = start(&PlatformSettings::default());
    put(&store, "old", 0, "1");
    let initial = store
        .watch(
            ObjectKind::Config,
            Default::default(),
            TimeSpan::from_millis(0),
        )
        .expect("the platform responds");
    assert_eq!(initial.objects.len(), 1);
    put(&store, "new", 0, "2");
    let update = store
        .watch(
            ObjectKind::Config,
            initial.revision,
            TimeSpan::from_secs(20),
        )
        .expect("the platform responds");
    let names: Vec<_> = update
        .objects
        .iter()
        .map(|object| object.name.as_str())
        .collect();
    assert_eq!(names, ["new"]);
    let waiting = {
        let store = store.clone();
        thread::spawn(move || {
            store.watch(ObjectKind::Config, update.revision, TimeSpan::from_secs(20))
        })
    };
    thread::sleep(Duration::from_millis(100));
    put(&store, "late", 0, "3");
    let batch = waiting
        .join()
        .expect("the watch thread finishes")
        .expect("the platform responds");
    let names: Vec<_> = batch
        .objects
        .iter()
        .map(|object| object.name.as_str())
        .collect();
    assert_eq!(names, ["late"]);
}

/// Guards against a rate limit that is not enforced.
#[test]
fn calls_beyond_budget_are_refused() {
    let (_standin, store) = start(&PlatformSettings {
        write_budget: RequestRate(1),
        ..PlatformSettings::default()
    });
    let outcomes: Vec<_> = (0..20)
        .map(|number| put(&store, &format!("object-{number}"), 0, "value"))
        .collect();
    assert_eq!(outcomes[0], StoreOutcome::Written(ObjectVersion(1)));
    assert!(
        outcomes.contains(&StoreOutcome::Unavailable),
        "{outcomes:?}"
    );
}
