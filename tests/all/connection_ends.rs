//! Ends of callers' connections: early responses, pipelined requests and truncated responses.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use jaysaddle_platform_standin::StandinWork;
use jaysaddle_platform_standin::request_headers_with_time;
use serde_json::json;

use crate::platform_nodes::KEY;
use crate::platform_nodes::PlatformNodes;

/// Time from SIGTERM to the requests of a test.
const TIME_AFTER_STOP: Duration = Duration::from_millis(300);
/// Time until which a caller waits for the next bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

fn start_nodes(work: StandinWork) -> PlatformNodes {
    let nodes = PlatformNodes::start(2, 4);
    nodes.wait_serving(2);
    nodes.standin.set_work(work);
    nodes
}

fn stream_work(events: u64, event_ms: u64) -> StandinWork {
    StandinWork {
        events,
        event_interval: Duration::from_millis(event_ms),
        is_plain_reliable: true,
        ..StandinWork::default()
    }
}

fn connect(nodes: &PlatformNodes) -> TcpStream {
    let stream =
        TcpStream::connect(SocketAddr::new(nodes.addresses[0], 7700)).expect("the node accepts");
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("a valid timeout");
    stream
}

/// Request with a body of `body_bytes` bytes, whose caller waits for `stated_ms`.
fn request_text(
    nodes: &PlatformNodes,
    version: &str,
    path: &str,
    body_bytes: usize,
    stated_ms: u64,
) -> Vec<u8> {
    let mut text = format!(
        "POST {path} HTTP/{version}\r\nHost: {}:7700\r\nContent-Length: {body_bytes}\r\n",
        nodes.addresses[0]
    );
    for (name, value) in request_headers_with_time("connection-end", KEY, stated_ms) {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(&"p".repeat(body_bytes));
    text.into_bytes()
}

/// Reads until the end of the connection. Also returns the error at the end; `None` if the node closed it.
fn read_to_end(stream: &mut TcpStream) -> (String, Option<ErrorKind>) {
    let mut received = Vec::new();
    let mut buffer = vec![0; 64 * 1024];
    let error = loop {
        match stream.read(&mut buffer) {
            Ok(0) => break None,
            Ok(count) => received.extend_from_slice(&buffer[..count]),
            Err(error) => break Some(error.kind()),
        }
    };
    (String::from_utf8_lossy(&received).into_owned(), error)
}

/// Status of each response in what a caller has received.
fn statuses(received: &str) -> Vec<&str> {
    let responses = received.split("HTTP/1.1 ").skip(1);
    responses.filter_map(|text| text.get(..3)).collect()
}

/// Guards against received bytes that are lost between two passes over a connection, so that requests are not answered or
/// the middle of one is parsed as another.
#[test]
fn each_of_many_pipelined_requests_is_answered_in_a_stop() {
    let nodes = start_nodes(stream_work(3, 30));
    nodes.nodes[0].terminate();
    thread::sleep(TIME_AFTER_STOP);
    let mut stream = connect(&nodes);
    let request = request_text(&nodes, "1.1", "/drafts/x", 150, 5000);
    stream
        .write_all(&request.repeat(151))
        .expect("the node reads");
    let (received, error) = read_to_end(&mut stream);
    let statuses = statuses(&received);
    assert_eq!(error, None);
    assert_eq!(statuses.len(), 151, "{statuses:?}");
    assert_eq!(statuses[0], "200");
    assert!(
        statuses[1..].iter().all(|status| *status == "503"),
        "{statuses:?}"
    );
}

/// Guards against the unread body of a request that is parsed as further requests, and against an early response that a
/// reset destroys while its caller still sends.
#[test]
fn early_response_to_a_large_body_is_the_only_one() {
    let nodes = start_nodes(stream_work(3, 30));
    for is_stopping in [false, true] {
        if is_stopping {
            nodes.nodes[0].terminate();
            thread::sleep(TIME_AFTER_STOP);
        }
        for (path, body_bytes, expected) in [
            ("/other/x", 2 << 20, "404"),
            ("/drafts/x", 2 << 20, "413"),
            ("/other/x", 30_000, "404"),
        ] {
            let mut stream = connect(&nodes);
            let request = request_text(&nodes, "1.1", path, body_bytes, 5000);
            let sent = stream.write_all(&request);
            let (received, error) = read_to_end(&mut stream);
            println!("{path}, {body_bytes} bytes, stopping {is_stopping}: {sent:?} {error:?}");
            assert!(sent.is_ok(), "{sent:?}");
            assert_eq!(error, None);
            assert_eq!(statuses(&received), [expected]);
        }
    }
}

/// Guards against a truncated response that looks complete, because its caller does not know chunks and the end of the
/// connection ends the response.
#[test]
fn truncated_response_without_chunks_ends_with_a_reset() {
    let nodes = start_nodes(stream_work(50, 60));
    let mut stream = connect(&nodes);
    let request = request_text(&nodes, "1.0", "/drafts/x", 100, 900);
    stream.write_all(&request).expect("the node reads");
    let (received, error) = read_to_end(&mut stream);
    let events = received.matches("data: token").count();
    assert!(events < 50, "{events} events");
    assert_eq!(error, Some(ErrorKind::ConnectionReset));
    // A response that is cut because its process ends.
    let work = stream_work(200, 60);
    nodes.standin.set_work(work);
    let mut stream = connect(&nodes);
    let request = request_text(&nodes, "1.0", "/drafts/x", 100, 15_000);
    stream.write_all(&request).expect("the node reads");
    thread::sleep(TIME_AFTER_STOP);
    nodes.nodes[0].terminate();
    let (received, error) = read_to_end(&mut stream);
    assert!(received.matches("data: token").count() < 200);
    assert_eq!(error, Some(ErrorKind::ConnectionReset));
}

/// Guards against responses to callers that do not read them, which keep their memory and leave none for others.
#[test]
fn response_that_nobody_reads_gives_its_memory_back() {
    let nodes = PlatformNodes::start_with(2, 4, json!({"memory": "160MB"}));
    nodes.wait_serving(2);
    nodes.standin.set_work(StandinWork {
        answer_bytes: Some(12 << 20),
        is_plain_reliable: true,
        ..StandinWork::default()
    });
    let request = request_text(&nodes, "1.1", "/lookups/x", 100, 5000);
    let mut silent: Vec<TcpStream> = (0..3).map(|_| connect(&nodes)).collect();
    for stream in &mut silent {
        stream.write_all(&request).expect("the node reads");
    }
    let held = |nodes: &PlatformNodes| {
        let metrics = nodes.get(0, 7701, "/metrics")?;
        let text = metrics.as_str().ok()?;
        let marker = "jaysaddle_held_response_bytes{kind=\"request\"} ";
        let line = text.lines().find_map(|line| line.strip_prefix(marker))?;
        line.trim().parse::<f64>().ok()
    };
    nodes.wait("responses are held", |nodes| {
        held(nodes).is_some_and(|bytes| bytes >= 12e6)
    });
    nodes.wait("nothing is held", |nodes| held(nodes) == Some(0.0));
    nodes.wait("the caller is named in the log", |nodes| {
        nodes.log(0).contains("event=caller_not_reading")
    });
    let response = nodes.request(0, "after", "/lookups/x", KEY);
    assert_eq!(response.status_code, 200);
}
