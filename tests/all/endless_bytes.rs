//! Backend servers and a store that send bytes until the node closes the connection, to many requests at once.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use jaysaddle_platform_standin::EndlessBytes;
use jaysaddle_platform_standin::EndlessCalls;
use jaysaddle_platform_standin::EndlessCounts;
use jaysaddle_platform_standin::STORE_NAME;
use jaysaddle_platform_standin::request_headers;
use jaysaddle_platform_standin::stream_config;
use serde_json::json;

use crate::platform_nodes::KEY;
use crate::platform_nodes::PlatformNodes;
use crate::platform_nodes::REQUEST_TIMEOUT_SECS;
use crate::process::wait_for;
use crate::raw_callers::CALLERS_PORT;
use crate::raw_callers::request_text;

/// Requests that are sent at once for each kind of endless answer.
const REQUEST_COUNT: usize = 40;
/// Memory of the smallest VM, in the form of the settings.
const VM_MEMORY: &str = "160MB";
/// Memory that a node may take at any time: half of that VM.
const MAX_RESIDENT_BYTES: u64 = 80 << 20;
/// Bytes that an endless answer may hand over: the longest answer of 16 MiB, and as much in buffers of the operating
/// system.
const MAX_TAKEN_BYTES: u64 = 32 << 20;
/// Time for which a server without callers answers without end.
const ENDLESS_TIME: Duration = Duration::from_secs(3);
/// Time that callers state to wait that read nothing, in milliseconds.
const UNREAD_STATED_MS: u64 = 6000;
/// Number of events in each stream of the stand-in engines.
const EVENT_COUNT: usize = 30;

const REQUEST_KINDS: [EndlessBytes; 10] = [
    EndlessBytes::HeadLines,
    EndlessBytes::HeadLine,
    EndlessBytes::InformationalHeads,
    EndlessBytes::Body,
    EndlessBytes::BodyWithLength,
    EndlessBytes::Chunks,
    EndlessBytes::ByteChunks,
    EndlessBytes::ChunkSize,
    EndlessBytes::ChunkExtension,
    EndlessBytes::Trailers,
];

/// Kinds of endless answers to reports, orders and calls of the store. Those that a request shows beside them differ from these
/// in the body only.
const CALL_KINDS: [EndlessBytes; 8] = [
    EndlessBytes::HeadLines,
    EndlessBytes::HeadLine,
    EndlessBytes::InformationalHeads,
    EndlessBytes::Body,
    EndlessBytes::ByteChunks,
    EndlessBytes::ChunkSize,
    EndlessBytes::ChunkExtension,
    EndlessBytes::Trailers,
];

/// Response of a node; `None` if it was cut.
fn call(nodes: &PlatformNodes, number: usize, id: &str, path: &str) -> Option<minreq::Response> {
    let node = number % nodes.nodes.len();
    let mut request = minreq::post(format!("http://{}:7700{path}", nodes.addresses[node]));
    for (name, value) in request_headers(id, KEY) {
        request = request.with_header(name, value);
    }
    let request = request
        .with_body("prompt")
        .with_timeout(REQUEST_TIMEOUT_SECS);
    request.send().ok()
}

fn is_complete(response: &minreq::Response) -> bool {
    let expected: String = (1..=EVENT_COUNT)
        .map(|number| format!("id: {number}\ndata: token {number}\n\n"))
        .collect();
    response.status_code == 200 && response.as_bytes() == expected.as_bytes()
}

/// Calls `path` with many requests at once. Returns their ids and responses.
fn call_many(
    nodes: &PlatformNodes,
    prefix: &str,
    path: &str,
) -> Vec<(String, Option<minreq::Response>)> {
    thread::scope(|scope| {
        let running: Vec<_> = (0..REQUEST_COUNT)
            .map(|number| {
                let id = format!("{prefix}-{number}");
                scope.spawn(move || {
                    let response = call(nodes, number, &id, path);
                    (id, response)
                })
            })
            .collect();
        let finished = running.into_iter();
        finished
            .map(|request| request.join().expect("the caller does not panic"))
            .collect()
    })
}

/// Whether a node has no requests in flight and holds no bytes of responses.
fn holds_nothing(nodes: &PlatformNodes, node: usize) -> bool {
    let Some(scrape) = nodes.get(node, 7701, "/metrics") else {
        return false;
    };
    let text = scrape.as_str().unwrap_or_default();
    let mut lines = text.lines().filter(|line| {
        line.starts_with("jaysaddle_open_requests ")
            || line.starts_with("jaysaddle_held_response_bytes{")
    });
    lines.all(|line| line.ends_with(" 0"))
}

/// Describes in what the nodes violate the bounds, after the answers without end since `before`.
fn violations(nodes: &PlatformNodes, name: &str, before: EndlessCounts) -> Vec<String> {
    let standin = &nodes.standin;
    let are_closed = wait_for(Duration::from_millis(50), || {
        standin.endless_counts().open == 0
    });
    let counts = standin.endless_counts();
    let connections = counts.connections - before.connections;
    let taken = (counts.bytes - before.bytes) / connections.max(1);
    let processes = nodes.nodes.iter();
    let peak = processes.map(|node| node.peak_resident_bytes()).max();
    let peak = peak.expect("a node");
    println!(
        "{name}: {connections} connections, {taken} bytes each, {} MiB of memory",
        peak >> 20
    );
    let mut violations = Vec::new();
    let mut check = |holds: bool, violation: String| {
        if !holds {
            violations.push(format!("{name}: {violation}"));
        }
    };
    check(connections > 0, "no answer without end".to_owned());
    check(are_closed, format!("{} connections open", counts.open));
    check(
        taken <= MAX_TAKEN_BYTES,
        format!("{taken} bytes for each connection"),
    );
    check(
        peak <= MAX_RESIDENT_BYTES,
        format!("{peak} bytes of memory"),
    );
    for number in 0..nodes.nodes.len() {
        let is_served = wait_for(Duration::from_millis(50), || {
            let response = call(nodes, number, "other", "/drafts/x");
            response.as_ref().is_some_and(is_complete)
        });
        check(is_served, format!("node {number} does not serve others"));
        let is_released = wait_for(Duration::from_millis(50), || holds_nothing(nodes, number));
        check(
            is_released,
            format!("node {number} holds requests or bytes"),
        );
    }
    violations
}

/// Starts two nodes on VMs of [`VM_MEMORY`].
fn start_nodes(engines: u16) -> PlatformNodes {
    PlatformNodes::start_with(2, engines, json!({"memory": VM_MEMORY}))
}

/// Guards against answers without end that take a node's memory or time, and against untrue verdicts on them.
#[test]
fn endless_answers_are_closed_and_may_have_run() {
    let nodes = start_nodes(4);
    nodes.wait_serving(2);
    let mut violations_seen = Vec::new();
    for kind in REQUEST_KINDS {
        let name = format!("{kind:?}");
        for server in nodes.standin.plain_servers() {
            nodes
                .standin
                .set_endless(&server, EndlessCalls::Requests, Some(kind));
        }
        let before = nodes.standin.endless_counts();
        thread::scope(|scope| {
            let other = scope.spawn(|| call(&nodes, 0, "meanwhile", "/drafts/x"));
            for (id, response) in call_many(&nodes, &name, "/sends/x") {
                let runs = nodes.standin.run_count(&id);
                let Some(response) = response else {
                    violations_seen.push(format!("{id}: no response"));
                    continue;
                };
                let text = response.as_str().unwrap_or_default().to_owned();
                let is_true = match response.status_code {
                    502 | 504 => runs == 1 && text.contains("may_have_run"),
                    503 => runs == 0 && text.contains("not_run"),
                    _ => false,
                };
                if !is_true {
                    let status = response.status_code;
                    violations_seen.push(format!("{id}: status {status}, {runs} runs: {text}"));
                }
            }
            let other = other.join().expect("the caller does not panic");
            if !other.as_ref().is_some_and(is_complete) {
                violations_seen.push(format!("{name}: another request is not served meanwhile"));
            }
        });
        violations_seen.extend(violations(&nodes, &name, before));
    }
    assert!(violations_seen.is_empty(), "{violations_seen:#?}");
}

/// Guards against requests that may run twice and are not sent to another backend server when one answers without end.
#[test]
fn retry_after_an_endless_answer_gets_a_whole_one() {
    let nodes = start_nodes(4);
    nodes.wait_serving(2);
    let server = nodes.standin.plain_servers().swap_remove(0);
    let mut violations_seen = Vec::new();
    for kind in [EndlessBytes::InformationalHeads, EndlessBytes::Chunks] {
        let name = format!("{kind:?}");
        nodes
            .standin
            .set_endless(&server, EndlessCalls::Requests, Some(kind));
        let before = nodes.standin.endless_counts();
        let mut retried = 0;
        for (id, response) in call_many(&nodes, &name, "/lookups/x") {
            let runs = nodes.standin.run_count(&id);
            let response = response.expect("the node responds");
            let status = response.status_code;
            let is_true = match status {
                200 => runs >= 1 && response.as_bytes() == b"done",
                502 | 504 => runs >= 1,
                503 => runs == 0,
                _ => false,
            };
            retried += usize::from(status == 200 && runs == 2);
            if !is_true || runs > 2 {
                violations_seen.push(format!("{id}: status {status}, {runs} runs"));
            }
        }
        println!("{name}: {retried} requests were answered by a second backend server");
        if retried == 0 {
            violations_seen.push(format!("{name}: no request was answered elsewhere"));
        }
        violations_seen.extend(violations(&nodes, &name, before));
    }
    assert!(violations_seen.is_empty(), "{violations_seen:#?}");
}

/// Guards against bytes after a complete answer that are taken for a part of the next one.
#[test]
fn bytes_after_an_answer_close_the_connection() {
    let nodes = start_nodes(4);
    nodes.wait_serving(2);
    for server in nodes.standin.plain_servers() {
        nodes.standin.set_endless(
            &server,
            EndlessCalls::Requests,
            Some(EndlessBytes::AfterAnswer),
        );
    }
    let before = nodes.standin.endless_counts();
    let mut answered = 0;
    for (id, response) in call_many(&nodes, "after", "/sends/x") {
        let response = response.expect("the node responds");
        let runs = nodes.standin.run_count(&id);
        let text = response.as_str().unwrap_or_default();
        let status = response.status_code;
        // A request that was sent before the first of the bytes arrived receives them instead of its answer.
        match status {
            200 => assert!(runs == 1 && text == "done", "{id}: {runs} runs: {text}"),
            502 => assert!(runs <= 1 && text.contains("may_have_run"), "{id}: {text}"),
            _ => panic!("{id}: status {status}: {text}"),
        }
        answered += usize::from(status == 200);
    }
    assert!(answered > 0, "no request is answered");
    let violations = violations(&nodes, "AfterAnswer", before);
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Guards against streams without an event's end, or with the same event again and again, that take a node's memory
/// or time, and against streams that are not resumed at another group.
#[test]
fn endless_streams_are_resumed_elsewhere() {
    let nodes = start_nodes(8);
    nodes.wait_serving(4);
    let mut violations_seen = Vec::new();
    let kinds = [
        EndlessBytes::InformationalHeads,
        EndlessBytes::ChunkSize,
        EndlessBytes::Event,
        EndlessBytes::RepeatedEvent,
    ];
    for (number, kind) in kinds.into_iter().enumerate() {
        let name = format!("{kind:?}");
        nodes.wait_serving(4);
        // Another group each time, because the nodes avoid one that has just failed.
        let leader = nodes.standin.serving_groups()[number][0].clone();
        nodes
            .standin
            .set_endless(&leader, EndlessCalls::Requests, Some(kind));
        let before = nodes.standin.endless_counts();
        for (id, response) in call_many(&nodes, &name, "/drafts/x") {
            let runs = nodes.standin.run_count(&id);
            let status = response.as_ref().map(|response| response.status_code);
            let is_refused = status == Some(503) && runs == 0;
            if !is_refused && !response.as_ref().is_some_and(is_complete) {
                violations_seen.push(format!(
                    "{id}: status {status:?}, {runs} runs, not complete"
                ));
            }
        }
        nodes
            .standin
            .set_endless(&leader, EndlessCalls::Requests, None);
        violations_seen.extend(violations(&nodes, &name, before));
    }
    assert!(violations_seen.is_empty(), "{violations_seen:#?}");
}

/// Guards against streams without end whose callers read nothing: what a node holds for them must be bounded, and other callers
/// must be served meanwhile.
#[test]
fn endless_streams_to_callers_that_do_not_read_are_bounded() {
    let nodes = start_nodes(8);
    nodes.wait_serving(4);
    let mut violations_seen = Vec::new();
    let kinds = [
        EndlessBytes::Event,
        EndlessBytes::RepeatedEvent,
        EndlessBytes::Body,
    ];
    for (number, kind) in kinds.into_iter().enumerate() {
        let name = format!("{kind:?}, unread");
        nodes.wait_serving(4);
        // Another group each time, because the nodes avoid one that has just failed.
        let leader = nodes.standin.serving_groups()[number][0].clone();
        nodes
            .standin
            .set_endless(&leader, EndlessCalls::Requests, Some(kind));
        let before = nodes.standin.endless_counts();
        let address = nodes.addresses[0];
        let callers: Vec<TcpStream> = (0..REQUEST_COUNT)
            .map(|number| {
                let id = format!("{kind:?}-unread-{number}");
                let mut stream =
                    TcpStream::connect((address, CALLERS_PORT)).expect("the node accepts callers");
                let text = request_text(address, "/drafts/x", &id, UNREAD_STATED_MS);
                stream.write_all(&text).expect("the node reads the request");
                stream
            })
            .collect();
        let is_served = wait_for(Duration::from_millis(50), || {
            let response = call(&nodes, 0, "beside-unread", "/drafts/x");
            response.as_ref().is_some_and(is_complete)
        });
        if !is_served {
            violations_seen.push(format!("{name}: another request is not served meanwhile"));
        }
        thread::sleep(ENDLESS_TIME);
        drop(callers);
        nodes
            .standin
            .set_endless(&leader, EndlessCalls::Requests, None);
        violations_seen.extend(violations(&nodes, &name, before));
    }
    assert!(violations_seen.is_empty(), "{violations_seen:#?}");
}

/// The node that holds the lease.
fn lease_holder(nodes: &PlatformNodes) -> Option<usize> {
    (0..nodes.nodes.len()).find(|node| {
        let scrape = nodes.get(*node, 7701, "/metrics");
        scrape.is_some_and(|scrape| {
            let text = scrape.as_str().unwrap_or_default();
            text.contains("jaysaddle_lease_held 1")
        })
    })
}

/// Guards against reports without end that take a node's memory, and against groups that are not served after them.
#[test]
fn endless_reports_are_closed() {
    let mut nodes = start_nodes(12);
    nodes.wait_serving(6);
    let mut violations_seen = Vec::new();
    for kind in CALL_KINDS {
        let name = format!("reports {kind:?}");
        nodes.wait("a node holds the lease", |nodes| {
            lease_holder(nodes).is_some()
        });
        let holder = lease_holder(&nodes).expect("a node holds the lease");
        let before = nodes.standin.endless_counts();
        let engines = nodes.standin.engines();
        for server in &engines {
            nodes
                .standin
                .set_endless(server, EndlessCalls::Reports, Some(kind));
        }
        // A node to which the lease is handed over while the store is unavailable requests all reports.
        nodes.standin.set_store_down(true);
        nodes.wait("the nodes notice the outage", |nodes| {
            (0..2).all(|node| nodes.log(node).contains("event=store_lost"))
        });
        thread::sleep(ENDLESS_TIME);
        nodes.nodes[holder].terminate();
        nodes.nodes[holder].wait_exit();
        nodes.wait("the other node requests reports", |nodes| {
            nodes.standin.endless_counts().connections >= before.connections + 12
        });
        thread::sleep(ENDLESS_TIME);
        for server in &engines {
            nodes
                .standin
                .set_endless(server, EndlessCalls::Reports, None);
        }
        nodes.standin.set_store_down(false);
        nodes.restart(holder);
        nodes.wait_serving(6);
        violations_seen.extend(violations(&nodes, &name, before));
    }
    assert!(violations_seen.is_empty(), "{violations_seen:#?}");
}

/// Guards against answers to orders without end that take a node's memory, and against groups that are never formed
/// again after them.
#[test]
fn endless_answers_to_orders_are_closed() {
    let nodes = start_nodes(12);
    nodes.wait_serving(6);
    let mut violations_seen = Vec::new();
    for kind in CALL_KINDS {
        let name = format!("orders {kind:?}");
        let before = nodes.standin.endless_counts();
        let engines = nodes.standin.engines();
        for server in &engines {
            nodes
                .standin
                .set_endless(server, EndlessCalls::Orders, Some(kind));
        }
        // Members whose entries are gone are replaced, which takes orders.
        let groups = nodes.standin.serving_groups();
        let removed: Vec<String> = groups
            .into_iter()
            .take(3)
            .map(|mut group| group.remove(1))
            .collect();
        for server in &removed {
            nodes.standin.remove_entry(server);
        }
        nodes.wait("orders are sent", |nodes| {
            nodes.standin.endless_counts().connections > before.connections
        });
        thread::sleep(ENDLESS_TIME);
        for server in &engines {
            nodes
                .standin
                .set_endless(server, EndlessCalls::Orders, None);
        }
        for server in &removed {
            nodes.standin.publish_entry(server);
        }
        nodes.wait_serving(6);
        violations_seen.extend(violations(&nodes, &name, before));
    }
    assert!(violations_seen.is_empty(), "{violations_seen:#?}");
}

/// Guards against answers of the store without end that take a node's memory, and against nodes that do not use the
/// store again after them.
#[test]
fn endless_answers_of_the_store_are_closed() {
    let nodes = start_nodes(4);
    nodes.wait_serving(2);
    let mut violations_seen = Vec::new();
    for (version, kind) in (2..).zip(CALL_KINDS) {
        let name = format!("store {kind:?}");
        let before = nodes.standin.endless_counts();
        nodes
            .standin
            .set_endless(STORE_NAME, EndlessCalls::Store, Some(kind));
        thread::sleep(ENDLESS_TIME);
        nodes
            .standin
            .set_endless(STORE_NAME, EndlessCalls::Store, None);
        violations_seen.extend(violations(&nodes, &name, before));
        let config = stream_config(version, &nodes.addresses, KEY);
        nodes.standin.set_config(&config);
        nodes.wait("the new configuration is in force", |nodes| {
            (0..2).all(|node| {
                let scrape = nodes.get(node, 7701, "/metrics");
                scrape.is_some_and(|scrape| {
                    let text = scrape.as_str().unwrap_or_default();
                    text.contains(&format!("jaysaddle_config_version {version}\n"))
                })
            })
        });
    }
    assert!(violations_seen.is_empty(), "{violations_seen:#?}");
}
