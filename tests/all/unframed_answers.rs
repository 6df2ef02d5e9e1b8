//! Answers with neither a length nor chunks, which end with their connections, in front of a daemon as a process.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use jaysaddle_platform_standin::EndlessBytes;
use jaysaddle_platform_standin::EndlessCalls;
use jaysaddle_platform_standin::StandinWork;
use jaysaddle_platform_standin::UNFRAMED_ANSWER;

use crate::platform_nodes::KEY;
use crate::platform_nodes::PlatformNodes;
use crate::raw_callers::CALLERS_PORT;
use crate::raw_callers::RawConnection;
use crate::raw_callers::RawOutcome;
use crate::raw_callers::request_text;

/// Number of requests of each test.
const REQUESTS: usize = 12;
/// Events of a stream of the first kind of server, and of the second.
const WORK: StandinWork = StandinWork {
    events: 4,
    event_interval: Duration::from_millis(20),
    answer_time: Duration::ZERO,
    answer_bytes: None,
    is_plain_reliable: true,
};

/// Starts a node whose engines or plain servers, all but the last, answer with `bytes`.
fn start(bytes: EndlessBytes, is_plain: bool) -> PlatformNodes {
    let nodes = PlatformNodes::start(1, 4);
    nodes.wait_serving(2);
    nodes.standin.set_work(WORK);
    let servers = if is_plain {
        nodes.standin.plain_servers()
    } else {
        let groups = nodes.standin.serving_groups();
        groups.into_iter().map(|group| group[0].clone()).collect()
    };
    let calls = EndlessCalls::Requests;
    for server in &servers[..servers.len() - 1] {
        nodes.standin.set_endless(server, calls, Some(bytes));
    }
    nodes
}

fn events(count: u64) -> String {
    let event = |number| format!("id: {number}\ndata: token {number}\n\n");
    (1..=count).map(event).collect()
}

/// Sends requests at the same time, so that each server gets some, and returns the texts of the answers.
fn texts(nodes: &PlatformNodes, name: &str, path: &str) -> Vec<String> {
    thread::scope(|scope| {
        let calls: Vec<_> = (0..REQUESTS)
            .map(|number| {
                scope.spawn(move || {
                    let response = nodes.request(0, &format!("{name}{number}"), path, KEY);
                    assert_eq!(response.status_code, 200, "{}", nodes.log(0));
                    response.as_str().expect("text").to_owned()
                })
            })
            .collect();
        let texts = calls.into_iter().map(|call| call.join());
        texts.map(|text| text.expect("no caller panics")).collect()
    })
}

/// Guards against an answer that ends with its connection and is taken for a broken one.
#[test]
fn answer_that_ends_with_its_connection_is_whole() {
    let nodes = start(EndlessBytes::UnframedAnswer, true);
    let texts = texts(&nodes, "whole", "/lookups/x");
    let unframed = texts.iter().filter(|text| *text == UNFRAMED_ANSWER).count();
    assert!(unframed > 0, "{texts:?}");
    assert!(
        texts
            .iter()
            .all(|text| text == UNFRAMED_ANSWER || text == "done")
    );
    // Its connection carries no other request.
    let counts = nodes.standin.endless_counts();
    assert_eq!(counts.connections, unframed as u64);
}

/// Guards against an answer whose connection was reset and that reaches the caller as a whole one.
#[test]
fn answer_whose_connection_is_reset_is_not_whole() {
    let nodes = start(EndlessBytes::UnframedReset, true);
    let texts = texts(&nodes, "reset", "/lookups/x");
    assert!(nodes.standin.endless_counts().connections > 0);
    assert!(texts.iter().all(|text| text == "done"), "{texts:?}");
}

/// Guards against a stream that ends with its connection, between two events, and is taken for a broken one.
#[test]
fn stream_that_ends_with_its_connection_is_whole() {
    let nodes = start(EndlessBytes::UnframedStream, false);
    let texts = texts(&nodes, "stream", "/drafts/x");
    assert!(texts.contains(&events(2)), "{texts:?}");
    assert!(
        texts
            .iter()
            .all(|text| *text == events(2) || *text == events(WORK.events))
    );
    assert!(!nodes.log(0).contains("event=stream_resumed"));
}

/// Guards against a stream that ends inside an event and reaches the caller as a whole one, or with half an event.
#[test]
fn stream_that_ends_inside_an_event_goes_on_at_another_group() {
    for bytes in [
        EndlessBytes::UnframedPartialEvent,
        EndlessBytes::UnframedOpenEvent,
    ] {
        let nodes = start(bytes, false);
        let texts = texts(&nodes, "partial", "/drafts/x");
        assert!(nodes.standin.endless_counts().connections > 0);
        let whole = events(WORK.events);
        assert!(
            texts.iter().all(|text| *text == whole),
            "{bytes:?}: {texts:?}"
        );
        nodes.wait("the log has the resumption", |nodes| {
            nodes.log(0).contains("event=stream_resumed")
        });
    }
}

/// The same if no other group is left: the caller sees that the stream is broken.
#[test]
fn stream_that_ends_inside_an_event_is_no_whole_stream() {
    let nodes = PlatformNodes::start(1, 2);
    nodes.wait_serving(1);
    let leader = nodes.standin.serving_groups()[0][0].clone();
    let bytes = Some(EndlessBytes::UnframedPartialEvent);
    nodes
        .standin
        .set_endless(&leader, EndlessCalls::Requests, bytes);
    let address = nodes.addresses[0];
    let stream = TcpStream::connect(SocketAddr::new(address, CALLERS_PORT)).expect("a connection");
    let mut connection = RawConnection::new(stream);
    let text = request_text(address, "/drafts/x", "broken", 14_000);
    connection.send(&text, false).expect("the request is sent");
    let (outcome, _) = connection.read_response(false);
    assert!(matches!(outcome, RawOutcome::Cut { .. }), "{outcome:?}");
    nodes.wait("the log has the broken stream", |nodes| {
        nodes.log(0).contains("event=stream_broken")
    });
}
