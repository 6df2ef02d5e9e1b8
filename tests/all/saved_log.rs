//! `jaysaddle explain --log` on saved logs.

use std::fs;
use std::path::PathBuf;
use std::process::Command;

use jaysaddle::saved_log::SavedLog;
use jaysaddle::saved_log::SubjectKind;

/// Log lines of two nodes. The first node refuses `r1`, and `r2` fails there together with its group; the second
/// node holds the lease.
const FIRST_NODE: &str = "\
ts=10000 level=INFO node=n1 target=run event=started incarnation=10000
ts=20400 level=INFO node=n1 target=report event=request_ended request=r1 result=failed status=503 verdict=not_run reason=full took_ms=0
ts=30600 level=INFO node=n1 target=attempt event=may_have_run request=r2 backend=i-1 reason=\"no data for 605ms\"
ts=30601 level=INFO node=n1 target=report event=request_ended request=r2 result=failed status=502 backend=i-1 group=g1-4@1048580 took_ms=610
ts=30602 level=INFO node=n1 target=report event=request_ended request=r22 result=answered status=200 backend=i-9 group=g1-44@1048620 took_ms=600
";
const SECOND_NODE: &str = "\
   12.5 ts=20000 level=INFO node=n2 target=control event=placement decision=summary vms=4 model=m serving=1 demand=2.5
   12.6 ts=29900 level=INFO node=n2 target=control event=placement group=g1-4@1048580 decision=dissolve vm=i-2 reason=unreachable
   12.7 ts=29950 level=INFO node=n2 target=control event=placement group=g1-44@1048620 decision=serve model=m
   12.8 ts=30700 level=INFO node=n2 target=control event=order vm=i-3 order=\"join g1-4@1048580 model=m\" expected=Some(1)
not a log line
";

fn found(kind: SubjectKind, id: &str) -> Vec<u64> {
    let log = SavedLog::new([FIRST_NODE, SECOND_NODE]);
    log.explain(kind, id)
        .iter()
        .map(|line| line.time_ms)
        .collect()
}

/// Guards against missing log lines between a request's id and the cause of its failure, and against matching ids
/// that only share a prefix.
#[test]
fn request_is_traced_to_its_group() {
    assert_eq!(
        found(SubjectKind::Request, "r2"),
        [29_900, 30_600, 30_601, 30_700]
    );
    assert_eq!(found(SubjectKind::Request, "r1"), [20_000, 20_400]);
    assert!(found(SubjectKind::Request, "r").is_empty());
}

#[test]
fn groups_vms_and_nodes_have_their_own_lines() {
    assert_eq!(found(SubjectKind::Group, "g1-4"), [29_900, 30_700]);
    assert_eq!(found(SubjectKind::Group, "g1-44@1048620"), [29_950]);
    assert_eq!(found(SubjectKind::Vm, "i-3"), [30_700]);
    assert_eq!(found(SubjectKind::Node, "n1"), [10_000]);
}

/// Guards against a command that prints other lines than the matching ones, or lacks a distinct exit code for a
/// subject that no line mentions.
#[test]
fn explain_command_prints_matching_lines() {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("saved-log.txt");
    fs::write(&file, FIRST_NODE).expect("the log can be written");
    let explain = |id: &str| {
        Command::new(env!("CARGO_BIN_EXE_jaysaddle"))
            .args(["explain", "--log"])
            .arg(&file)
            .args(["request", id])
            .output()
            .expect("the tool can be run")
    };
    let known = explain("r2");
    assert!(known.status.success());
    assert_eq!(String::from_utf8_lossy(&known.stdout).lines().count(), 2);
    assert_eq!(explain("unknown").status.code(), Some(6));
}
