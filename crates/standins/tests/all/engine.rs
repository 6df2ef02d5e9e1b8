//! Tests of the engine stand-in: runs, orders, members, interrupted streams.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use jaysaddle_engine::EngineClient;
use jaysaddle_engine::HttpEngine;
use jaysaddle_engine::StreamItem;
use jaysaddle_standins::EngineSettings;
use jaysaddle_standins::EngineSpeed;
use jaysaddle_standins::EngineStandin;
use jaysaddle_standins::engine::FaultKind;
use jaysaddle_standins::engine::FencingMode;
use jaysaddle_standins::engine::VmFault;
use jaysaddle_standins::engine::WeightSource;
use jaysaddle_standins::expected_text;
use jaysaddle_types::engine::EngineCompletion;
use jaysaddle_types::engine::EngineOrder;
use jaysaddle_types::engine::EngineRefusal;
use jaysaddle_types::engine::OrderAction;
use jaysaddle_types::engine::OrderOutcome;
use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::ModelVersion;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::TimeSpan;

use crate::CLOSE_TIMEOUT;
use crate::WAIT_TIMEOUT;
use crate::wait_until;

const CALL_TIMEOUT: TimeSpan = TimeSpan::from_millis(5000);

/// Two engines of one process.
struct TestGroup {
    standin: EngineStandin,
    leader: SocketAddr,
    member: SocketAddr,
}

impl TestGroup {
    fn start(fencing: FencingMode, token_ms: u64) -> Self {
        let binding = |name: &str| format!("{name}=127.0.0.1:0").parse().expect("a binding");
        let standin = EngineStandin::start(EngineSettings {
            vms: vec![binding("vm-1"), binding("vm-2")],
            fencing,
            speed: EngineSpeed {
                token_time: TimeSpan::from_millis(token_ms),
                ..EngineSpeed::default()
            },
            weights: WeightSource::Fixed(TimeSpan::from_millis(10)),
            member_check_interval: TimeSpan::from_millis(20),
            ..EngineSettings::default()
        })
        .expect("the engines start");
        let addresses = standin.addresses();
        Self {
            leader: addresses[0].1,
            member: addresses[1].1,
            standin,
        }
    }

    /// Starts the engines and forms a group of generation 5.
    fn start_complete(token_ms: u64) -> Self {
        let group = Self::start(FencingMode::Enforced, token_ms);
        for address in [group.leader, group.member] {
            assert_eq!(group.join(address, 5), Some(OrderOutcome::Accepted));
        }
        wait_until("the group is complete", || group.is_complete());
        group
    }

    fn join(&self, address: SocketAddr, generation: u64) -> Option<OrderOutcome> {
        let order = EngineOrder {
            group: GroupId::new("group-1"),
            generation: Generation(generation),
            action: OrderAction::Join {
                model: ModelId::new("reminder"),
                version: ModelVersion::new("1"),
                members: vec![VmId::new("vm-1"), VmId::new("vm-2")],
            },
        };
        HttpEngine.send_order(address, &order, CALL_TIMEOUT)
    }

    fn is_complete(&self) -> bool {
        HttpEngine
            .fetch_report(self.leader, CALL_TIMEOUT)
            .is_ok_and(|report| {
                report.confirms(
                    &GroupId::new("group-1"),
                    Generation(5),
                    &[VmId::new("vm-1"), VmId::new("vm-2")],
                )
            })
    }

    fn inject(&self, vm: &str, fault: FaultKind) {
        let fault = VmFault {
            vm: Some(VmId::new(vm)),
            fault,
            value: None,
        };
        self.standin.inject(&fault).expect("the fault is injected");
    }

    fn stream(&self, completion: EngineCompletion) -> flume::Receiver<StreamItem> {
        HttpEngine.start_completion(self.leader, completion)
    }

    fn starts(&self, request: &str) -> u32 {
        let runs = self.standin.runs();
        assert_eq!(runs.dropped, 0);
        runs.runs
            .iter()
            .filter(|run| run.request_id.as_str() == request)
            .map(|run| run.starts)
            .sum()
    }
}

fn completion(id: &str, max_tokens: u32) -> EngineCompletion {
    EngineCompletion {
        request_id: RequestId::new(id),
        attempt: 1,
        group: GroupId::new("group-1"),
        generation: Generation(5),
        model: ModelId::new("reminder"),
        prompt: "remind borrower 7".to_owned(),
        max_tokens,
        priority: 5,
        offset: 0,
        resume: false,
        deadline_ms: 20_000,
    }
}

fn expected(max_tokens: u32) -> String {
    expected_text(&ModelId::new("reminder"), "remind borrower 7", max_tokens)
}

/// Reads a stream to its end; returns its text, its token count and whether it had a finish reason.
fn read_to_end(stream: &flume::Receiver<StreamItem>) -> (String, u32, bool) {
    let mut text = String::new();
    let mut tokens = 0;
    let mut finished = false;
    loop {
        match stream
            .recv_timeout(WAIT_TIMEOUT)
            .expect("the stream continues")
        {
            StreamItem::Chunk(chunk) => {
                text.push_str(&chunk.text);
                tokens += chunk.tokens;
                finished |= chunk.finish.is_some();
            }
            StreamItem::Ended => return (text, tokens, finished),
            other => panic!("unexpected {other:?}"),
        }
    }
}

fn read_refusal(stream: &flume::Receiver<StreamItem>) -> EngineRefusal {
    match stream.recv_timeout(WAIT_TIMEOUT) {
        Ok(StreamItem::Refused(refusal)) => refusal,
        other => panic!("expected a refusal, got {other:?}"),
    }
}

/// Guards against a resume that repeats or skips tokens or starts a second run.
#[test]
fn cut_stream_resumes_at_offset_without_second_run() {
    let group = TestGroup::start_complete(10);
    let stream = group.stream(completion("r1", 40));
    let Ok(StreamItem::Chunk(first)) = stream.recv_timeout(WAIT_TIMEOUT) else {
        panic!("no token was received");
    };
    let cut = Instant::now();
    group.inject("vm-1", FaultKind::Cut);
    let (rest, tokens, finished) = read_to_end(&stream);
    assert!(
        cut.elapsed() < CLOSE_TIMEOUT,
        "the cut stream was not closed in time"
    );
    assert!(!finished, "the cut stream has a finish reason");
    let offset = first.tokens + tokens;
    assert!(offset < 40, "the stream was not cut");
    let resumed = group.stream(EngineCompletion {
        attempt: 2,
        offset,
        resume: true,
        ..completion("r1", 40)
    });
    let (end, _, finished) = read_to_end(&resumed);
    assert!(finished);
    assert_eq!(format!("{}{rest}{end}", first.text), expected(40));
    assert_eq!(group.starts("r1"), 1);
}

/// Guards against a stream stalled by a `silent` fault that is closed or finishes, and against new
/// connections that hang as well.
#[test]
fn stalled_stream_stays_open_while_new_streams_work() {
    let group = TestGroup::start_complete(10);
    let stream = group.stream(completion("r2", 40));
    stream
        .recv_timeout(WAIT_TIMEOUT)
        .expect("the first token is received");
    group.inject("vm-1", FaultKind::Silent);
    let resumed = group.stream(EngineCompletion {
        resume: true,
        ..completion("r2", 40)
    });
    let (text, _, finished) = read_to_end(&resumed);
    assert!(finished);
    assert_eq!(text, expected(40));
    // More time has passed than the complete output takes; the stalled stream was neither
    // closed nor finished.
    while let Ok(item) = stream.recv_timeout(Duration::from_millis(200)) {
        assert!(
            matches!(&item, StreamItem::Chunk(chunk) if chunk.finish.is_none()),
            "unexpected {item:?}"
        );
    }
    assert!(!stream.is_disconnected());
    assert_eq!(group.starts("r2"), 1);
}

/// Guards against executing a request again when its id is submitted repeatedly.
#[test]
fn same_request_id_runs_once() {
    let group = TestGroup::start_complete(2);
    let streams: Vec<_> = (0..4).map(|_| group.stream(completion("r3", 20))).collect();
    for stream in &streams {
        assert_eq!(read_to_end(stream).0, expected(20));
    }
    assert_eq!(
        read_to_end(&group.stream(completion("r3", 20))).0,
        expected(20)
    );
    assert_eq!(group.starts("r3"), 1);
}

/// Guards against starting a run on a resume of an unknown request.
#[test]
fn resume_of_unknown_request_is_refused() {
    let group = TestGroup::start_complete(2);
    let stream = group.stream(EngineCompletion {
        resume: true,
        ..completion("r4", 20)
    });
    assert_eq!(read_refusal(&stream), EngineRefusal::UnknownRequest);
    assert_eq!(group.starts("r4"), 0);
}

/// Guards against an engine with fencing that executes an order with an outdated token.
#[test]
fn enforced_fencing_refuses_stale_order() {
    let group = TestGroup::start_complete(2);
    let stale = OrderOutcome::Stale {
        generation: Generation(5),
    };
    assert_eq!(group.join(group.leader, 4), Some(stale));
    assert!(group.is_complete());
    let stream = group.stream(EngineCompletion {
        generation: Generation(4),
        ..completion("r5", 20)
    });
    assert_eq!(read_refusal(&stream), EngineRefusal::StaleGeneration);
}

/// Guards against an engine without fencing that checks tokens nevertheless.
#[test]
fn ignored_fencing_accepts_last_order() {
    let group = TestGroup::start(FencingMode::Ignored, 2);
    for generation in [5, 4] {
        let outcome = group.join(group.leader, generation);
        assert_eq!(outcome, Some(OrderOutcome::Accepted));
    }
    let report = HttpEngine
        .fetch_report(group.leader, CALL_TIMEOUT)
        .expect("the engine responds");
    assert_eq!(report.generation, Generation(4));
}

/// Guards against a leader that executes a request while a member is missing.
#[test]
fn request_is_refused_while_a_member_is_missing() {
    let group = TestGroup::start_complete(2);
    group.inject("vm-2", FaultKind::Kill);
    wait_until("a member is missing", || !group.is_complete());
    let stream = group.stream(completion("r6", 20));
    assert_eq!(read_refusal(&stream), EngineRefusal::NotWhole);
    assert_eq!(group.starts("r6"), 0);
}
