//! Nodes on the platform that do not run for a while, as on a suspended VM: what they find then waits in their sockets.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use jaysaddle_platform_standin::StandinWork;
use jaysaddle_platform_standin::target_with_work;

use crate::platform_nodes::PlatformNodes;
use crate::raw_callers::CALLERS_PORT;
use crate::raw_callers::RawConnection;
use crate::raw_callers::RawOutcome;
use crate::raw_callers::request_text;

/// Time that callers state to wait.
const STATED_MS: u64 = 14_000;

/// Sends requests to the first node at the same time, calls `meanwhile` when all are under way, and returns those without a whole
/// response.
fn call_during(
    nodes: &PlatformNodes,
    targets: &[String],
    meanwhile: impl FnOnce(&PlatformNodes),
) -> Vec<String> {
    let address = nodes.addresses[0];
    thread::scope(|scope| {
        let calls: Vec<_> = (0..).zip(targets).collect();
        let callers: Vec<_> = calls
            .into_iter()
            .map(|(number, target)| {
                scope.spawn(move || {
                    let stream = TcpStream::connect(SocketAddr::new(address, CALLERS_PORT));
                    let mut connection = RawConnection::new(stream.expect("a connection"));
                    let id = format!("paused-{number}");
                    let text = request_text(address, target, &id, STATED_MS);
                    connection.send(&text, false).expect("the request is sent");
                    (id, connection.read_response(false).0)
                })
            })
            .collect();
        thread::sleep(Duration::from_millis(300));
        meanwhile(nodes);
        let outcomes = callers
            .into_iter()
            .map(|caller| caller.join().expect("no caller panics"));
        outcomes
            .filter(|(_, outcome)| !matches!(outcome, RawOutcome::Complete { status: 200, .. }))
            .map(|(id, outcome)| {
                let runs = nodes.standin.run_count(&id);
                format!("{id}, runs {runs}: {outcome:?}")
            })
            .collect()
    })
}

/// Guards against a stopping node that exits when it wakes from a pause of its own, without a look at the responses that wait in its
/// sockets.
#[test]
fn responses_that_wait_when_a_stopping_node_wakes_are_delivered() {
    let nodes = PlatformNodes::start(1, 4);
    nodes.wait_serving(2);
    let work = StandinWork {
        events: 20,
        event_interval: Duration::from_millis(120),
        answer_time: Duration::from_millis(2500),
        answer_bytes: Some(400_000),
        is_plain_reliable: true,
    };
    nodes.standin.set_work(work);
    let targets = ["/drafts/x", "/lookups/x"].map(|path| target_with_work(path, &work));
    let targets: Vec<String> = targets.into_iter().cycle().take(12).collect();
    let cut = call_during(&nodes, &targets, |nodes| {
        let process = &nodes.nodes[0];
        let stopped = Instant::now();
        process.terminate();
        thread::sleep(Duration::from_millis(500));
        process.pause();
        thread::sleep(Duration::from_millis(7700).saturating_sub(stopped.elapsed()));
        process.resume();
    });
    assert!(cut.is_empty(), "{cut:#?}\n{}", nodes.log(0));
}

/// Guards against a node that takes its own pause for the silence of the store and of its peers: it cuts its watches, and its
/// directory names no other node.
#[test]
fn store_and_peers_are_not_lost_after_a_pause_of_the_node() {
    let nodes = PlatformNodes::start(3, 8);
    nodes.wait_serving(4);
    nodes.wait("the directories list all nodes", |nodes| {
        (0..3).all(|node| nodes.resolved(node) == 3)
    });
    let mut listed = Vec::new();
    for pause_ms in [1000, 1550, 2300, 3000] {
        let process = &nodes.nodes[0];
        process.pause();
        thread::sleep(Duration::from_millis(pause_ms));
        let directory = thread::scope(|scope| {
            let directory = scope.spawn(|| nodes.resolved(0));
            thread::sleep(Duration::from_millis(20));
            process.resume();
            directory.join().expect("no panic")
        });
        listed.push(directory);
        thread::sleep(Duration::from_millis(700));
    }
    let log = nodes.log(0);
    let lost: Vec<&str> = log
        .lines()
        .filter(|line| line.contains("store_lost"))
        .collect();
    assert!(lost.is_empty() && listed == [3; 4], "{listed:?}\n{lost:#?}");
}
