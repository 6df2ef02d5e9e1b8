//! Engines: answers, resume, at-most-once, refusals, limits, cancel.

use std::thread;
use std::time::Duration;

use jaysaddle_engine::EngineClient;
use jaysaddle_engine::HttpEngine;
use jaysaddle_engine::StreamItem;
use jaysaddle_standins::EngineSettings;
use jaysaddle_standins::EngineSpeed;
use jaysaddle_standins::WeightSettings;
use jaysaddle_standins::WeightStandin;
use jaysaddle_standins::engine::FaultKind;
use jaysaddle_standins::engine::WeightSource;
use jaysaddle_standins::expected_text;
use jaysaddle_standins::weights::WeightStats;
use jaysaddle_types::engine::EngineRefusal;
use jaysaddle_types::engine::FinishReason;
use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::units::TimeSpan;

use crate::support::address;
use crate::support::answer;
use crate::support::chunks;
use crate::support::collect;
use crate::support::completion;
use crate::support::fault;
use crate::support::pair_settings;
use crate::support::start_group;
use crate::support::starts;

fn expected(prompt: &str, max_tokens: u32) -> String {
    expected_text(&ModelId::new("m"), prompt, max_tokens)
}

/// Guards against mixed, cut or reordered answers of requests that share a batch.
#[test]
fn each_caller_gets_its_own_complete_answer() {
    let standin = start_group(pair_settings());
    thread::scope(|scope| {
        for index in 0..40 {
            let standin = &standin;
            scope.spawn(move || {
                let prompt = format!("prompt {index}");
                let request = completion(&format!("r{index}"), &prompt, 30);
                let items = collect(standin, request);
                let whole = (expected(&prompt, 30), Some(FinishReason::Length));
                assert_eq!(answer(&items), whole);
                assert_eq!(items.last(), Some(&StreamItem::Ended));
                assert_eq!(starts(standin, &format!("r{index}")), 1);
            });
        }
    });
}

/// Guards against an answer function that two prompts or positions share.
#[test]
fn answers_differ_by_prompt_and_position() {
    assert_ne!(expected("a", 8), expected("b", 8));
    let text = expected("a", 100);
    let words: std::collections::BTreeSet<&str> = text.split_whitespace().collect();
    assert!(words.len() > 98, "{} different words", words.len());
}

/// Guards against a second run when a cut stream is resumed or the request is sent again.
#[test]
fn a_cut_stream_is_resumed_without_a_second_run() {
    let standin = start_group(pair_settings());
    let receiver = HttpEngine.complete(address(&standin, "a"), completion("r", "p", 200));
    let mut items: Vec<StreamItem> = receiver.iter().take(20).collect();
    standin.inject(&fault("a", FaultKind::Cut)).unwrap();
    items.extend(receiver);
    assert_eq!(items.last(), Some(&StreamItem::Ended));
    let (text, finish) = answer(&items);
    assert_eq!(finish, None);
    let offset = chunks(&items).iter().map(|chunk| chunk.tokens).sum();
    let mut resumed = completion("r", "p", 200);
    resumed.offset = offset;
    resumed.resume = true;
    resumed.attempt = 2;
    let rest = collect(&standin, resumed);
    let (rest, finish) = answer(&rest);
    assert_eq!(text + &rest, expected("p", 200));
    assert_eq!(finish, Some(FinishReason::Length));
    let again = collect(&standin, completion("r", "p", 200));
    assert_eq!(answer(&again).0, expected("p", 200));
    assert_eq!(starts(&standin, "r"), 1);
}

/// Guards against a refusal after a run, or a run after a refusal.
#[test]
fn refused_requests_do_not_run() {
    let standin = start_group(pair_settings());
    let refusal = |request| match collect(&standin, request).as_slice() {
        [StreamItem::Refused(refusal)] => *refusal,
        items => panic!("expected a refusal, got {items:?}"),
    };
    let base = || completion("r", "p", 5);
    let mut request = base();
    request.resume = true;
    assert_eq!(refusal(request), EngineRefusal::UnknownRequest);
    let mut request = base();
    request.generation = Generation(2);
    assert_eq!(refusal(request), EngineRefusal::StaleGeneration);
    let mut request = base();
    request.model = ModelId::new("other");
    assert_eq!(refusal(request), EngineRefusal::WrongModel);
    let mut request = base();
    request.deadline_ms = 0;
    assert_eq!(refusal(request), EngineRefusal::DeadlineExceeded);
    standin.inject(&fault("b", FaultKind::Kill)).unwrap();
    thread::sleep(Duration::from_millis(320));
    assert_eq!(refusal(base()), EngineRefusal::NotWhole);
    standin.inject(&fault("a", FaultKind::Leave)).unwrap();
    assert_eq!(refusal(base()), EngineRefusal::Leaving);
    assert_eq!(starts(&standin, "r"), 0);
}

/// Guards against an unlimited queue.
#[test]
fn requests_beyond_slots_and_queue_are_refused() {
    let standin = start_group(EngineSettings {
        speed: EngineSpeed {
            slots: 2,
            queue_limit: 2,
            token_time: TimeSpan::from_millis(20),
            ..EngineSpeed::default()
        },
        ..pair_settings()
    });
    let refused = thread::scope(|scope| {
        let calls: Vec<_> = (0..12)
            .map(|index| {
                let request = completion(&format!("r{index}"), "p", 40);
                scope.spawn(|| collect(&standin, request))
            })
            .collect();
        let results = calls.into_iter().map(|call| call.join().unwrap());
        results
            .filter(|items| items[0] == StreamItem::Refused(EngineRefusal::Overloaded))
            .count()
    });
    // Two run and two wait; none ends before all have arrived.
    assert_eq!(refused, 8);
}

/// Guards against work that goes on after a cancel or a deadline.
#[test]
fn cancel_and_deadline_end_a_run() {
    let standin = start_group(pair_settings());
    let receiver = HttpEngine.complete(address(&standin, "a"), completion("r", "p", 2000));
    let first: Vec<StreamItem> = receiver.iter().take(2).collect();
    HttpEngine.cancel(address(&standin, "a"), &RequestId::new("r"));
    let mut items = first;
    items.extend(receiver);
    assert_eq!(answer(&items).1, Some(FinishReason::Cancelled));
    let mut request = completion("late", "p", 2000);
    request.deadline_ms = 300;
    let items = collect(&standin, request);
    let tokens: u32 = chunks(&items).iter().map(|chunk| chunk.tokens).sum();
    assert!(tokens < 100, "{tokens} tokens before a deadline of 300 ms");
}

/// Guards against a prefix cache that never hits.
#[test]
fn a_repeated_prompt_is_cached() {
    let standin = start_group(pair_settings());
    let prompt = "x".repeat(1024);
    let cold = chunks(&collect(&standin, completion("r1", &prompt, 3)));
    let warm = chunks(&collect(&standin, completion("r2", &prompt, 3)));
    assert_eq!(cold[0].cached_tokens, 0);
    assert_eq!(warm[0].cached_tokens, 256);
}

/// Guards against outputs that are kept for ever while the engine is never idle.
#[test]
fn old_outputs_are_forgotten_under_load() {
    let standin = start_group(EngineSettings {
        output_kept: TimeSpan::from_millis(100),
        ..pair_settings()
    });
    collect(&standin, completion("old", "p", 2));
    let busy = HttpEngine.complete(address(&standin, "a"), completion("busy", "p", 600));
    thread::sleep(Duration::from_millis(1500));
    let mut resumed = completion("old", "p", 2);
    resumed.resume = true;
    let items = collect(&standin, resumed);
    assert_eq!(items, [StreamItem::Refused(EngineRefusal::UnknownRequest)]);
    assert!(!busy.is_disconnected(), "the engine became idle");
}

/// Guards against a queue that ignores priorities.
#[test]
fn the_highest_priority_leaves_the_queue_first() {
    let standin = start_group(EngineSettings {
        speed: EngineSpeed {
            slots: 1,
            ..EngineSpeed::default()
        },
        ..pair_settings()
    });
    let first = HttpEngine.complete(address(&standin, "a"), completion("r0", "p", 60));
    assert!(matches!(first.recv(), Ok(StreamItem::Chunk(_))));
    let (sender, order) = flume::unbounded();
    thread::scope(|scope| {
        for (id, priority) in [("low", 1), ("middle", 5), ("high", 9)] {
            let mut request = completion(id, "p", 10);
            request.priority = priority;
            let (standin, sender) = (&standin, sender.clone());
            scope.spawn(move || {
                collect(standin, request);
                sender.send(id).unwrap();
            });
        }
    });
    drop(sender);
    let order: Vec<&str> = order.into_iter().collect();
    assert_eq!(order, ["high", "middle", "low"]);
}

/// Guards against loads that pass by the weight store.
#[test]
fn loads_go_through_the_weight_store() {
    let store = WeightStandin::start(&WeightSettings {
        load_time: TimeSpan::from_millis(20),
        ..WeightSettings::default()
    })
    .unwrap();
    let _standin = start_group(EngineSettings {
        weights: WeightSource::Store(store.address()),
        ..pair_settings()
    });
    let stats = minreq::get(format!("http://{}/control/stats", store.address()))
        .send()
        .unwrap();
    let stats: WeightStats = serde_json::from_slice(stats.as_bytes()).unwrap();
    assert_eq!(stats.loads, 2);
}
