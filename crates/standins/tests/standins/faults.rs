//! Engines: injected faults.

use std::time::Duration;

use jaysaddle_engine::EngineClient;
use jaysaddle_engine::HttpEngine;
use jaysaddle_engine::ReportFailure;
use jaysaddle_engine::StreamItem;
use jaysaddle_standins::EngineStandin;
use jaysaddle_standins::engine::FaultKind;
use jaysaddle_standins::engine::VmBinding;
use jaysaddle_standins::expected_text;
use jaysaddle_types::engine::EngineRole;
use jaysaddle_types::engine::FinishReason;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::TimeSpan;

use crate::support::CALL;
use crate::support::address;
use crate::support::answer;
use crate::support::chunks;
use crate::support::collect;
use crate::support::completion;
use crate::support::fault;
use crate::support::is_whole;
use crate::support::join;
use crate::support::pair_settings;
use crate::support::start_group;
use crate::support::starts;
use crate::support::wait_for;

/// Guards against a killed VM that answers, blocks its neighbours or keeps its state.
#[test]
fn a_killed_vm_refuses_connections_and_comes_back_empty() {
    let standin = start_group(pair_settings());
    let receiver = HttpEngine.complete(address(&standin, "a"), completion("r", "p", 2000));
    assert!(matches!(receiver.recv(), Ok(StreamItem::Chunk(_))));
    standin.inject(&fault("b", FaultKind::Kill)).unwrap();
    let report = HttpEngine.report(address(&standin, "b"), CALL);
    assert_eq!(report, Err(ReportFailure::Refused));
    wait_for("the leader missing b", || !is_whole(&standin, 1));
    let last = receiver.iter().last();
    assert_eq!(last, Some(StreamItem::Ended), "the run was not aborted");
    standin.inject(&fault("b", FaultKind::Recover)).unwrap();
    let report = HttpEngine.report(address(&standin, "b"), CALL).unwrap();
    assert_eq!(report.role, EngineRole::Idle);
    HttpEngine.order(address(&standin, "b"), &join(1), CALL);
    wait_for("the group becoming whole", || is_whole(&standin, 1));
}

/// Guards against a killed leader whose streams stay open.
#[test]
fn a_killed_leader_closes_its_streams() {
    let standin = start_group(pair_settings());
    let receiver = HttpEngine.complete(address(&standin, "a"), completion("r", "p", 2000));
    assert!(matches!(receiver.recv(), Ok(StreamItem::Chunk(_))));
    standin.inject(&fault("a", FaultKind::Kill)).unwrap();
    let mut last = None;
    while let Ok(item) = receiver.recv_timeout(Duration::from_secs(3)) {
        last = Some(item);
    }
    assert_eq!(last, Some(StreamItem::Ended));
    let items = collect(&standin, completion("r2", "p", 5));
    assert_eq!(items, [StreamItem::NotSent]);
}

/// Guards against a frozen VM that answers or loses its state.
#[test]
fn a_frozen_vm_does_not_answer_until_it_recovers() {
    let standin = start_group(pair_settings());
    let receiver = HttpEngine.complete(address(&standin, "a"), completion("r", "p", 100));
    assert!(matches!(receiver.recv(), Ok(StreamItem::Chunk(_))));
    standin.inject(&fault("a", FaultKind::Freeze)).unwrap();
    let report = HttpEngine.report(address(&standin, "a"), TimeSpan::from_secs(1));
    assert_eq!(report, Err(ReportFailure::Timeout));
    assert!(HttpEngine.report(address(&standin, "b"), CALL).is_ok());
    standin.inject(&fault("a", FaultKind::Recover)).unwrap();
    let items: Vec<StreamItem> = receiver.into_iter().collect();
    assert_eq!(answer(&items).1, Some(FinishReason::Length));
}

/// Guards against a silent stream that closes, or a resume that does not work beside it.
#[test]
fn a_silent_stream_is_resumed_on_a_new_connection() {
    let standin = start_group(pair_settings());
    let receiver = HttpEngine.complete(address(&standin, "a"), completion("r", "p", 100));
    assert!(matches!(receiver.recv(), Ok(StreamItem::Chunk(_))));
    standin.inject(&fault("a", FaultKind::Silent)).unwrap();
    while receiver.recv_timeout(Duration::from_millis(500)).is_ok() {}
    assert!(!receiver.is_disconnected(), "the stream was closed");
    let mut resumed = completion("r", "p", 100);
    resumed.resume = true;
    let items = collect(&standin, resumed);
    let expected = expected_text(&ModelId::new("m"), "p", 100);
    assert_eq!(answer(&items), (expected, Some(FinishReason::Length)));
    assert_eq!(starts(&standin, "r"), 1);
}

/// Guards against faults of the stream that have no effect, which would pass tests vacuously.
#[test]
fn pieces_are_duplicated_reordered_and_left_out() {
    let standin = start_group(pair_settings());
    let offsets = |id: &str| -> Vec<u32> {
        let items = collect(&standin, completion(id, "p", 6));
        chunks(&items).iter().map(|chunk| chunk.offset).collect()
    };
    standin.inject(&fault("a", FaultKind::Duplicate)).unwrap();
    let seen = offsets("duplicated");
    assert!(seen.windows(2).any(|pair| pair[0] == pair[1]), "{seen:?}");
    standin.inject(&fault("a", FaultKind::Recover)).unwrap();
    standin.inject(&fault("a", FaultKind::Reorder)).unwrap();
    let seen = offsets("reordered");
    assert!(!seen.is_sorted(), "{seen:?}");
    standin.inject(&fault("a", FaultKind::Recover)).unwrap();
    standin.inject(&fault("a", FaultKind::Empty)).unwrap();
    let items = collect(&standin, completion("empty", "p", 6));
    assert_eq!(answer(&items), (String::new(), Some(FinishReason::Length)));
}

/// Guards against a leader that does not see members of other processes.
#[test]
fn a_leader_checks_members_of_other_processes() {
    let process = |name: &str| {
        let mut settings = pair_settings();
        settings.vms.retain(|binding| binding.vm.as_str() == name);
        EngineStandin::start(settings).unwrap()
    };
    let (leader, member) = (process("a"), process("b"));
    let at = address(&member, "b");
    leader.add_peer(&VmBinding {
        vm: VmId::new("b"),
        address: at,
    });
    HttpEngine.order(at, &join(1), CALL);
    HttpEngine.order(address(&leader, "a"), &join(1), CALL);
    wait_for("the group becoming whole", || is_whole(&leader, 1));
    member.inject(&fault("b", FaultKind::Freeze)).unwrap();
    wait_for("the leader missing b", || !is_whole(&leader, 1));
}
