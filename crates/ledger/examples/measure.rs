//! Benchmark of the memory of a full ledger and the latency of its operations.
//!
//! `cargo run --release -p jaysaddle-ledger --example measure`; `JAYSADDLE_SEED` sets the
//! seed of the keys.

use std::time::Duration;
use std::time::Instant;

use jaysaddle_ledger::ClaimOutcome;
use jaysaddle_ledger::ClaimQuery;
use jaysaddle_ledger::HomeLocation;
use jaysaddle_ledger::LedgerAnswer;
use jaysaddle_ledger::LedgerQuery;
use jaysaddle_ledger::LedgerSettings;
use jaysaddle_ledger::RequestLedger;
use jaysaddle_ledger::StoredResponse;
use jaysaddle_types::ids::AccountId;
use jaysaddle_types::ids::CallId;
use jaysaddle_types::ids::IdempotencyKey;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::request::BodyFingerprint;
use jaysaddle_types::request::HomeToken;
use jaysaddle_types::units::ByteCount;
use jaysaddle_types::units::Timestamp;

const ENTRIES: u64 = 50_000;
const RESPONSE_BYTES: usize = 1_000;
const PAGE_BYTES: u64 = 4_096;

fn main() {
    let seed = std::env::var("JAYSADDLE_SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(20_261_203);
    println!(
        "seed {seed}; {ENTRIES} claims, responses of {RESPONSE_BYTES} bytes, keys of 36 characters"
    );
    // The first ledger stays allocated, because the second would reuse the memory that it frees.
    let first = measure_memory(seed, 0);
    measure_memory(seed, RESPONSE_BYTES);
    drop(first);
    measure_operations(seed);
}

fn node(number: u64) -> NodeKey {
    NodeKey {
        id: NodeId::new(format!("entry-{number:03}")),
        incarnation: Incarnation(1),
    }
}

fn key(seed: u64, number: u64) -> IdempotencyKey {
    let mixed = (seed ^ number).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    IdempotencyKey::new(format!("{mixed:016x}-{number:019}"))
}

fn claim(seed: u64, number: u64, now: Timestamp) -> ClaimQuery {
    ClaimQuery {
        request: RequestId::new(format!("entry-000/1/{number}")),
        account: AccountId::new("ebiere-recovery"),
        key: key(seed, number),
        home: Some(HomeToken {
            node: node(0),
            issued: now,
        }),
        fingerprint: BodyFingerprint([7; 32]),
        idempotent: false,
        deadline: Timestamp(now.0 + 30_000),
    }
}

fn response(bytes: usize) -> StoredResponse {
    StoredResponse {
        status: 200,
        content_type: "application/json".into(),
        body: vec![b'x'; bytes].into(),
    }
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").expect("statm is readable");
    let pages = text.split_whitespace().nth(1).expect("statm has fields");
    pages.parse::<u64>().expect("statm holds numbers") * PAGE_BYTES
}

fn run(ledger: &mut RequestLedger, seed: u64, number: u64, bytes: usize) {
    let now = Timestamp(1_000 + number / 100);
    let query = claim(seed, number, now);
    let request = query.request.clone();
    let (outcome, _) = ledger.claim(query, HomeLocation::Local, now);
    assert_eq!(outcome, ClaimOutcome::Granted);
    ledger.record_response(&request, response(bytes), now);
}

fn measure_memory(seed: u64, bytes: usize) -> RequestLedger {
    let settings = LedgerSettings {
        max_response_bytes: ByteCount(1 << 40),
        ..LedgerSettings::default()
    };
    let mut ledger = RequestLedger::new(settings, node(0), Timestamp(1_000));
    let before = resident_bytes();
    for number in 0..ENTRIES {
        run(&mut ledger, seed, number, bytes);
    }
    let used = resident_bytes().saturating_sub(before);
    println!(
        "memory, responses of {bytes:>4} bytes: {:>5} bytes resident per claim, estimate {:>5}",
        used / ENTRIES,
        ledger.estimated_bytes().0 / ENTRIES,
    );
    ledger
}

fn measure_operations(seed: u64) {
    let mut ledger = RequestLedger::new(LedgerSettings::default(), node(0), Timestamp(1_000));
    for number in 0..ENTRIES {
        run(&mut ledger, seed, number, RESPONSE_BYTES);
    }
    print("claim and response, each with an eviction", || {
        let mut times = Vec::new();
        for number in ENTRIES..2 * ENTRIES {
            let begin = Instant::now();
            run(&mut ledger, seed, number, RESPONSE_BYTES);
            times.push(begin.elapsed());
        }
        times
    });
    let now = Timestamp(100_000);
    print("repeated claim of a stored response", || {
        let mut times = Vec::new();
        for number in ENTRIES..2 * ENTRIES {
            let issued = Timestamp(1_000 + number / 100);
            let query = claim(seed, number, issued);
            let begin = Instant::now();
            let (outcome, _) = ledger.claim(query, HomeLocation::Local, now);
            times.push(begin.elapsed());
            assert!(matches!(outcome, ClaimOutcome::Stored(_)));
        }
        times
    });
    print("query of another node for an unknown key", || {
        let mut times = Vec::new();
        for number in 2 * ENTRIES..3 * ENTRIES {
            let query = LedgerQuery {
                call: CallId(number),
                account: AccountId::new("ebiere-recovery"),
                key: key(seed, number),
                fingerprint: BodyFingerprint([7; 32]),
                home: HomeToken {
                    node: node(0),
                    issued: now,
                },
            };
            let begin = Instant::now();
            let answer = ledger.answer_query(&node(1), query, now);
            times.push(begin.elapsed());
            assert_eq!(answer, LedgerAnswer::Granted);
        }
        times
    });
    print("tick with nothing due", || {
        (0..1_000)
            .map(|_| {
                let begin = Instant::now();
                ledger.tick(now);
                begin.elapsed()
            })
            .collect()
    });
    let begin = Instant::now();
    let snapshot = ledger.export(now);
    let exported = begin.elapsed();
    let mut successor = RequestLedger::new(LedgerSettings::default(), node(2), Timestamp(1_000));
    let begin = Instant::now();
    successor.import(snapshot, now);
    println!(
        "export of {ENTRIES} claims {exported:.1?}, import {:.1?}",
        begin.elapsed()
    );
}

fn print(name: &str, measure: impl FnOnce() -> Vec<Duration>) {
    let mut times = measure();
    times.sort_unstable();
    let at = |permille: usize| times[(times.len() - 1) * permille / 1000].as_nanos() as f64;
    println!(
        "{name:<48} p50 {:>6.2} us  p99 {:>6.2} us  p99.9 {:>7.2} us",
        at(500) / 1_000.0,
        at(990) / 1_000.0,
        at(999) / 1_000.0,
    );
}
