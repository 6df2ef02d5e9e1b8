//! Invalid input from callers, operators and peers must be refused without side effects.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::Weak;
use std::thread;
use std::time::Duration;

use jaysaddle_standins::expected_text;
use jaysaddle_types::ids::ModelId;
use serde_json::json;

use crate::deployment::Deployment;
use crate::deployment::DeploymentSettings;
use crate::deployment::MAX_WAIT;
use crate::process::TestResponse;

/// Index of the node that gets the flood of connections; the other tests send their invalid input to
/// nodes with lower indices.
const FLOODED_NODE: usize = 2;

/// Number of connections of the flood.
const FLOOD_CONNECTIONS: usize = 500;

/// Threads and memory above the values before the flood that still count as released. Requests of
/// concurrent tests use some of them.
const THREAD_TOLERANCE: u64 = 24;
const MEMORY_TOLERANCE_BYTES: u64 = 24 << 20;

const KEY: (&str, &str) = ("Authorization", "Bearer lender-a-key");

/// The deployment that most tests of this module share; dropped with the last test that uses it.
static SHARED: Mutex<Weak<Deployment>> = Mutex::new(Weak::new());

fn shared() -> Arc<Deployment> {
    let mut shared = SHARED.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(deployment) = shared.upgrade() {
        return deployment;
    }
    let deployment = Arc::new(Deployment::start_ready(DeploymentSettings::default()));
    *shared = Arc::downgrade(&deployment);
    deployment
}

/// Asserts that every node still serves a caller the complete response to its own prompt.
fn assert_serving(deployment: &Deployment, after: &str) {
    for node in 0..deployment.nodes.len() {
        let prompt = format!("remind borrower {node} after {after}");
        let response = deployment
            .post_completion(node, &prompt, 8, &[])
            .unwrap_or_else(|error| panic!("after {after}, node {node} does not respond: {error}"));
        assert_eq!(response.status, 200, "after {after}: {}", response.text);
        assert_eq!(
            response.completion_text(),
            expected_text(&ModelId::new("reminder"), &prompt, 8),
            "after {after}"
        );
    }
}

fn assert_refused(response: &TestResponse, status: u16, reason: &str) {
    assert_eq!(response.status, status, "{}", response.text);
    assert_eq!(response.reason(), reason, "{}", response.text);
    assert_eq!(response.verdict(), "not_run", "{}", response.text);
}

/// Posts to the completions route of node 0 and expects a response.
fn post(deployment: &Deployment, headers: &[(&str, &str)], body: &str) -> TestResponse {
    deployment
        .post(0, "/v1/completions", headers, body)
        .expect("the node responds")
}

fn valid_body(model: &str) -> String {
    json!({ "model": model, "prompt": "remind", "max_tokens": 4 }).to_string()
}

/// Sends raw bytes and returns everything received until the connection closes.
fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("the node accepts connections");
    stream
        .set_read_timeout(Some(MAX_WAIT))
        .expect("the read timeout can be set");
    // The node may close before it has read everything; its response is still read.
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(Shutdown::Write);
    let mut response = Vec::new();
    let end = stream.read_to_end(&mut response);
    if let Err(error) = end {
        assert_ne!(
            error.kind(),
            std::io::ErrorKind::WouldBlock,
            "the node did not close the connection"
        );
    }
    String::from_utf8_lossy(&response).into_owned()
}

/// Guards against an invalid request body that is run or crashes the process.
#[test]
fn invalid_bodies_are_refused() {
    let deployment = shared();
    let wrong_type = json!({ "model": 7, "prompt": "remind" }).to_string();
    let no_prompt = json!({ "model": "reminder", "prompt": "" }).to_string();
    let too_long = json!({ "model": "reminder", "prompt": "a", "max_tokens": 40_000 }).to_string();
    let negative = json!({ "model": "reminder", "prompt": "a", "max_tokens": -1 }).to_string();
    let nested = "[".repeat(100_000);
    for body in [
        "",
        "{",
        "null",
        "{\"model\":\"reminder\",\"prompt\":\"a\"} x",
        "\u{0}",
        &wrong_type,
        &no_prompt,
        &too_long,
        &negative,
        &nested,
    ] {
        let response = post(&deployment, &[KEY], body);
        assert_refused(&response, 400, "invalid_request");
    }
    let not_utf8 = b"POST /v1/completions HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\
        Authorization: Bearer lender-a-key\r\nContent-Length: 4\r\n\r\n\xff\xfe\x00\x01";
    let response = send_raw(deployment.caller_address(0), not_utf8);
    assert!(response.starts_with("HTTP/1.1 400"), "{response:?}");
    assert_serving(&deployment, "invalid bodies");
}

/// Guards against accepting bodies over 1 MiB, with or without a Content-Length, and bodies shorter
/// than their Content-Length.
#[test]
fn oversized_and_short_bodies_are_refused() {
    let deployment = shared();
    let prompt = "a".repeat(1 << 20);
    let body = json!({ "model": "reminder", "prompt": prompt, "max_tokens": 4 }).to_string();
    assert_refused(&post(&deployment, &[KEY], &body), 413, "too_large");

    let head = "POST /v1/completions HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\
        Authorization: Bearer lender-a-key\r\n";
    let chunk = format!("{:x}\r\n{}\r\n", 1 << 16, "a".repeat(1 << 16));
    let chunked = format!(
        "{head}Transfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n",
        chunk.repeat(17)
    );
    let response = send_raw(deployment.caller_address(0), chunked.as_bytes());
    assert!(response.starts_with("HTTP/1.1 413"), "{response:?}");

    let short = format!("{head}Content-Length: 5000\r\n\r\n{{\"model\"");
    let response = send_raw(deployment.caller_address(0), short.as_bytes());
    assert!(response.starts_with("HTTP/1.1 400"), "{response:?}");
    assert_serving(&deployment, "oversized bodies");
}

/// Guards against allocating memory for the stated Content-Length although no body follows, which
/// can abort the process. The deployment is not shared, since the failure ends a daemon.
#[test]
fn huge_content_length_does_not_abort_process() {
    let deployment = Deployment::start_ready(DeploymentSettings::default());
    for length in ["4000000000", "999999999999999", "99999999999999999999"] {
        let stated = format!(
            "POST /v1/completions HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\
             Authorization: Bearer lender-a-key\r\nContent-Length: {length}\r\n\r\n{{\"model\""
        );
        send_raw(deployment.caller_address(0), stated.as_bytes());
        // A failed allocation prints a backtrace before it aborts the process, which takes a while.
        for _ in 0..15 {
            assert_serving(&deployment, length);
            thread::sleep(Duration::from_millis(200));
        }
    }
}

/// Guards against accepting headers over 16 KiB, in one header or in many.
#[test]
fn oversized_headers_are_refused() {
    let deployment = shared();
    let long = "a".repeat(17 << 10);
    let response = post(
        &deployment,
        &[KEY, ("X-Long", &long)],
        &valid_body("reminder"),
    );
    assert_refused(&response, 413, "too_large");
    let names: Vec<_> = (0..200).map(|index| format!("X-Header-{index}")).collect();
    let value = "a".repeat(100);
    let mut headers = vec![KEY];
    headers.extend(names.iter().map(|name| (name.as_str(), value.as_str())));
    let response = post(&deployment, &headers, &valid_body("reminder"));
    assert_refused(&response, 413, "too_large");
    assert_serving(&deployment, "oversized headers");
}

/// Guards against serving a model or an account that the caller is not authorized for.
#[test]
fn unknown_models_and_wrong_keys_are_refused() {
    let deployment = shared();
    for model in ["no-such-model", "private"] {
        let response = post(&deployment, &[KEY], &valid_body(model));
        assert_refused(&response, 404, "unknown_model");
    }
    let body = valid_body("reminder");
    assert_refused(&post(&deployment, &[], &body), 401, "unauthorized");
    for value in [
        "Bearer wrong-key",
        "Bearer ",
        "lender-a-key",
        "Basic bGVuZGVyLWEta2V5",
        "Bearer lender-a-key lender-b-key",
        "Bearer 1d30ddbb539622d48c85a0a447d20074bfa9325928286ce98eae360fd546497d",
    ] {
        let response = post(&deployment, &[("Authorization", value)], &body);
        assert_refused(&response, 401, "unauthorized");
    }
    assert_serving(&deployment, "wrong models and keys");
}

/// Guards against invalid header values that are interpreted instead of refused, and against
/// running a request whose deadline has passed.
#[test]
fn invalid_header_values_are_refused() {
    let deployment = shared();
    let body = valid_body("reminder");
    for (name, value) in [
        ("Jaysaddle-Priority", "10"),
        ("Jaysaddle-Priority", "-1"),
        ("Jaysaddle-Priority", "high"),
        ("Jaysaddle-Home", "entry-1"),
        ("Jaysaddle-Home", "entry-1/x/y"),
        ("Jaysaddle-Idempotent", "yes"),
        ("Jaysaddle-Idempotent", "False"),
        ("Jaysaddle-Deadline-Ms", "soon"),
        ("Jaysaddle-Deadline-Ms", "-5"),
    ] {
        let response = post(&deployment, &[KEY, (name, value)], &body);
        assert!(
            response.text.contains(name),
            "the refusal of {name}: {value} does not name the header: {}",
            response.text
        );
        assert_refused(&response, 400, "invalid_request");
    }
    let response = post(&deployment, &[KEY, ("Jaysaddle-Deadline-Ms", "0")], &body);
    assert_refused(&response, 504, "deadline_exceeded");
    let headers = [
        KEY,
        ("Jaysaddle-Idempotent", "false"),
        ("Idempotency-Key", "reminder-1"),
    ];
    let response = post(&deployment, &headers, &body);
    assert_refused(&response, 400, "home_token_required");
    assert_serving(&deployment, "invalid headers");
}

/// Guards against unknown routes that return success, and against operator routes that accept
/// requests without the operator key.
#[test]
fn unknown_routes_and_missing_operator_keys_are_refused() {
    let deployment = shared();
    for path in ["/", "/v1/chat", "/v1/completions/x", "/v1/config/rules"] {
        let response = deployment
            .post(0, path, &[KEY], "{}")
            .expect("the node responds");
        assert_eq!(response.status, 404, "{path}: {}", response.text);
        assert_eq!(response.verdict(), "not_run");
    }
    let response = deployment
        .operator_get(0, "/v1/no-such-route")
        .expect("the node responds");
    assert_eq!(response.status, 404);
    let address = deployment.operator_address(0);
    for (method, path) in [
        ("GET", "/v1/vms"),
        ("GET", "/v1/groups"),
        ("GET", "/v1/nodes"),
        ("GET", "/v1/config/rules"),
        ("GET", "/v1/decisions"),
        ("PUT", "/v1/config/rules?expect=0"),
        ("POST", "/v1/drain/vm-phc-a-1"),
        ("POST", "/v1/undrain/vm-phc-a-1"),
    ] {
        for key in ["", "Authorization: Bearer lender-a-key\r\n"] {
            let request = format!(
                "{method} {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n{key}\
                 Content-Length: 0\r\n\r\n"
            );
            let response = send_raw(address, request.as_bytes());
            assert!(
                response.starts_with("HTTP/1.1 401"),
                "{method} {path}: {response}"
            );
        }
    }
    let ready = deployment.groups_in_state(0, "ready").len();
    assert_eq!(ready, deployment.settings.groups, "a VM was drained");
    assert_serving(&deployment, "unknown routes");
}

/// Guards against invalid frames on peer connections that crash the process or are processed.
#[test]
fn invalid_peer_frames_close_the_connection() {
    let deployment = shared();
    let frame = |length: u32, version: u8, rest: &[u8]| {
        let mut bytes = length.to_be_bytes().to_vec();
        bytes.push(version);
        bytes.extend(rest);
        bytes
    };
    for (bytes, logged) in [
        (frame(100, 1, &[0; 40]), "the frame is truncated"),
        (frame(5, 1, &[0; 4]), "the frame is truncated"),
        (frame(41, 9, &[0; 40]), "the frame has protocol version 9"),
        (frame(41, 1, &[0; 40]), "the frame's tag does not match"),
        (
            frame(0x7fff_ffff, 1, &[0; 40]),
            "the frame's payload is larger",
        ),
    ] {
        send_raw(deployment.peer_address(0), &bytes);
        deployment.wait_until(&format!("the log contains {logged:?}"), |this| {
            this.node_log(0).contains(logged)
        });
    }
    let nodes = deployment
        .operator_get(0, "/v1/nodes")
        .expect("the node responds");
    let nodes = nodes.json["nodes"].as_array().cloned().unwrap_or_default();
    assert_eq!(nodes.len(), 3, "a peer was added or lost: {nodes:?}");
    assert!(nodes.iter().all(|node| node["state"] == "alive"));
    assert_serving(&deployment, "invalid peer frames");
}

/// Guards against callers that open connections and never finish their headers: other callers must
/// be served meanwhile, and threads and memory must be released afterwards.
#[test]
fn flood_of_incomplete_requests_leaves_node_responsive() {
    let deployment = shared();
    let node = &deployment.nodes[FLOODED_NODE];
    let threads = node.threads();
    let memory = node.resident_bytes();
    let address = deployment.caller_address(FLOODED_NODE);
    let mut connections: Vec<_> = (0..FLOOD_CONNECTIONS)
        .map(|_| {
            let mut stream = TcpStream::connect(address).expect("the node accepts connections");
            stream
                .write_all(b"POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthoriz")
                .expect("the bytes can be sent");
            stream
        })
        .collect();
    for _ in 0..5 {
        assert_serving(&deployment, "a flood");
    }
    for stream in &mut connections {
        stream
            .set_read_timeout(Some(MAX_WAIT))
            .expect("the read timeout can be set");
        let mut rest = Vec::new();
        if let Err(error) = stream.read_to_end(&mut rest) {
            assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset, "{error}");
        }
    }
    drop(connections);
    deployment.wait_until("threads and memory are released", |this| {
        let node = &this.nodes[FLOODED_NODE];
        node.threads() <= threads + THREAD_TOLERANCE
            && node.resident_bytes() <= memory + MEMORY_TOLERANCE_BYTES
    });
    thread::sleep(Duration::from_millis(100));
    assert_serving(&deployment, "the end of a flood");
}

/// Guards against accepting an inventory document that lists a VM twice.
#[test]
fn duplicate_vm_in_inventory_is_refused() {
    let deployment = shared();
    let before = deployment
        .operator_get(0, "/v1/config/inventory-phc-a")
        .expect("the node responds");
    let version = before.json["version"]
        .as_u64()
        .expect("the document has a version");
    let mut document = deployment.inventory(0);
    let repeated = document["vms"][0].clone();
    let vms = document["vms"]
        .as_array_mut()
        .expect("the document lists its VMs");
    vms.push(repeated);
    let response = deployment.apply(0, "inventory-phc-a", version, &document);
    assert_eq!(response.status, 422, "{}", response.text);
    assert!(response.text.contains("vm-phc-a-1"), "{}", response.text);
    let after = deployment
        .operator_get(0, "/v1/config/inventory-phc-a")
        .expect("the node responds");
    assert_eq!(after.json["version"], before.json["version"]);
    assert_serving(&deployment, "an invalid inventory");
}

/// Guards against using a VM that two inventories list. The deployment is not shared, since the
/// VM's group is dissolved.
#[test]
fn vm_shared_by_two_inventories_is_excluded() {
    let deployment = Deployment::start_ready(DeploymentSettings::default());
    let shared_vm = "vm-phc-a-1";
    let mut document = deployment.inventory(1);
    let vms = document["vms"]
        .as_array_mut()
        .expect("the document lists its VMs");
    let mut repeated = deployment.inventory(0)["vms"][0].clone();
    assert_eq!(repeated["name"], shared_vm);
    repeated["fabric_domain"] = vms[0]["fabric_domain"].clone();
    vms.push(repeated);
    let response = deployment.apply(0, "inventory-phc-b", 1, &document);
    // The node either refuses the document, or accepts it and excludes the VM.
    if response.status == 200 {
        deployment.wait_until("no group has the VM", |this| {
            (0..this.nodes.len()).all(|node| {
                let groups = this.operator_get(node, "/v1/groups");
                let text = groups.map(|response| response.text).unwrap_or_default();
                !text.is_empty() && !text.contains(shared_vm)
            })
        });
        assert!(
            deployment.node_log(0).contains(shared_vm),
            "the log does not mention the excluded VM"
        );
    } else {
        assert_eq!(response.status, 422, "{}", response.text);
        assert!(response.text.contains(shared_vm), "{}", response.text);
    }
    assert_serving(&deployment, "inventories that share a VM");
}
