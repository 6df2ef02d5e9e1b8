//! Invalid input from callers, operators and peers: it is refused, and nothing else is touched.

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
use crate::process::TestAnswer;

/// Node that gets the flood of connections; the other tests send to the nodes before it.
const FLOODED_NODE: usize = 2;

/// Connections of the flood.
const FLOOD: usize = 500;

/// Threads and memory above the state before the flood that count as back to normal. Requests of
/// tests that run at the same time need some.
const SPARE_THREADS: u64 = 24;
const SPARE_BYTES: u64 = 24 << 20;

const KEY: (&str, &str) = ("Authorization", "Bearer lender-a-key");

/// The deployment of all tests of this module; it ends with the last test that uses it.
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

/// Checks that every node still gives a caller its own whole answer.
fn assert_serving(deployment: &Deployment, after: &str) {
    for node in 0..deployment.nodes.len() {
        let prompt = format!("remind borrower {node} after {after}");
        let answer = deployment
            .complete(node, &prompt, 8, &[])
            .unwrap_or_else(|error| panic!("after {after}, node {node} does not answer: {error}"));
        assert_eq!(answer.status, 200, "after {after}: {}", answer.text);
        assert_eq!(
            answer.completion_text(),
            expected_text(&ModelId::new("reminder"), &prompt, 8),
            "after {after}"
        );
    }
}

fn assert_refused(answer: &TestAnswer, status: u16, reason: &str) {
    assert_eq!(answer.status, status, "{}", answer.text);
    assert_eq!(answer.reason(), reason, "{}", answer.text);
    assert_eq!(answer.verdict(), "not_run", "{}", answer.text);
}

/// Posts to the completions route of node 0.
fn post(deployment: &Deployment, headers: &[(&str, &str)], body: &str) -> TestAnswer {
    deployment
        .post(0, "/v1/completions", headers, body)
        .expect("the node answers")
}

fn valid_body(model: &str) -> String {
    json!({ "model": model, "prompt": "remind", "max_tokens": 4 }).to_string()
}

/// Sends bytes and returns all that comes back before the connection ends.
fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("the node accepts connections");
    stream
        .set_read_timeout(Some(MAX_WAIT))
        .expect("a timeout can be set");
    // The node may close before it has read everything; what it answered then is still read.
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(Shutdown::Write);
    let mut answer = Vec::new();
    let end = stream.read_to_end(&mut answer);
    if let Err(error) = end {
        assert_ne!(error.kind(), std::io::ErrorKind::WouldBlock, "never closed");
    }
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against a body that is run although it is not a valid request, or ends the process.
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
        let answer = post(&deployment, &[KEY], body);
        assert_refused(&answer, 400, "invalid_request");
    }
    let not_utf8 = b"POST /v1/completions HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\
        Authorization: Bearer lender-a-key\r\nContent-Length: 4\r\n\r\n\xff\xfe\x00\x01";
    let answer = send_raw(deployment.caller_address(0), not_utf8);
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer:?}");
    assert_serving(&deployment, "invalid bodies");
}

/// Guards against bodies beyond 1 MiB, whether their length is stated or not, and short bodies.
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
    let answer = send_raw(deployment.caller_address(0), chunked.as_bytes());
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer:?}");

    let short = format!("{head}Content-Length: 5000\r\n\r\n{{\"model\"");
    let answer = send_raw(deployment.caller_address(0), short.as_bytes());
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer:?}");
    assert_serving(&deployment, "oversized bodies");
}

/// Guards against a stated length that costs memory although no body follows: the process must
/// survive it. The deployment is not shared, since the failure ends a daemon.
#[test]
fn huge_stated_length_does_not_end_the_process() {
    let deployment = Deployment::start_ready(DeploymentSettings::default());
    for length in ["4000000000", "999999999999999", "99999999999999999999"] {
        let stated = format!(
            "POST /v1/completions HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\
             Authorization: Bearer lender-a-key\r\nContent-Length: {length}\r\n\r\n{{\"model\""
        );
        send_raw(deployment.caller_address(0), stated.as_bytes());
        // A failed allocation writes a trace before it ends the process, which takes a while.
        for _ in 0..15 {
            assert_serving(&deployment, length);
            thread::sleep(Duration::from_millis(200));
        }
    }
}

/// Guards against headers beyond 16 KiB, in one header or in many.
#[test]
fn oversized_headers_are_refused() {
    let deployment = shared();
    let long = "a".repeat(17 << 10);
    let answer = post(
        &deployment,
        &[KEY, ("X-Long", &long)],
        &valid_body("reminder"),
    );
    assert_refused(&answer, 413, "too_large");
    let names: Vec<_> = (0..200).map(|index| format!("X-Header-{index}")).collect();
    let value = "a".repeat(100);
    let mut headers = vec![KEY];
    headers.extend(names.iter().map(|name| (name.as_str(), value.as_str())));
    let answer = post(&deployment, &headers, &valid_body("reminder"));
    assert_refused(&answer, 413, "too_large");
    assert_serving(&deployment, "oversized headers");
}

/// Guards against serving a model or an account that the caller has no right to.
#[test]
fn unknown_models_and_wrong_keys_are_refused() {
    let deployment = shared();
    for model in ["no-such-model", "private"] {
        let answer = post(&deployment, &[KEY], &valid_body(model));
        assert_refused(&answer, 404, "unknown_model");
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
        let answer = post(&deployment, &[("Authorization", value)], &body);
        assert_refused(&answer, 401, "unauthorized");
    }
    assert_serving(&deployment, "wrong models and keys");
}

/// Guards against header values that are guessed at instead of refused, and against running a
/// request whose caller has stopped waiting.
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
        let answer = post(&deployment, &[KEY, (name, value)], &body);
        assert!(
            answer.text.contains(name),
            "{name}: {value} is refused by name: {}",
            answer.text
        );
        assert_refused(&answer, 400, "invalid_request");
    }
    let answer = post(&deployment, &[KEY, ("Jaysaddle-Deadline-Ms", "0")], &body);
    assert_refused(&answer, 504, "deadline_exceeded");
    let headers = [
        KEY,
        ("Jaysaddle-Idempotent", "false"),
        ("Idempotency-Key", "reminder-1"),
    ];
    let answer = post(&deployment, &headers, &body);
    assert_refused(&answer, 400, "home_token_required");
    assert_serving(&deployment, "invalid headers");
}

/// Guards against unknown routes that get a success, and operators' routes without their key.
#[test]
fn unknown_routes_and_missing_operator_keys_are_refused() {
    let deployment = shared();
    for path in ["/", "/v1/chat", "/v1/completions/x", "/v1/config/rules"] {
        let answer = deployment
            .post(0, path, &[KEY], "{}")
            .expect("the node answers");
        assert_eq!(answer.status, 404, "{path}: {}", answer.text);
        assert_eq!(answer.verdict(), "not_run");
    }
    let answer = deployment
        .operator_get(0, "/v1/no-such-route")
        .expect("the node answers");
    assert_eq!(answer.status, 404);
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
            let answer = send_raw(address, request.as_bytes());
            assert!(
                answer.starts_with("HTTP/1.1 401"),
                "{method} {path}: {answer}"
            );
        }
    }
    let ready = deployment.groups_in_state(0, "ready").len();
    assert_eq!(ready, deployment.settings.groups, "no VM was drained");
    assert_serving(&deployment, "unknown routes");
}

/// Guards against peers' connections with invalid frames that end the process or are believed.
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
        deployment.wait_until(&format!("the log says {logged:?}"), |this| {
            this.node_log(0).contains(logged)
        });
    }
    let nodes = deployment.operator_get(0, "/v1/nodes").expect("an answer");
    let nodes = nodes.json["nodes"].as_array().cloned().unwrap_or_default();
    assert_eq!(nodes.len(), 3, "no peer was added or lost: {nodes:?}");
    assert!(nodes.iter().all(|node| node["state"] == "alive"));
    assert_serving(&deployment, "invalid peer frames");
}

/// Guards against callers that open connections and never finish their headers: others must be
/// answered meanwhile, and threads and memory must be free again afterwards.
#[test]
fn flood_of_half_open_connections_is_survived() {
    let deployment = shared();
    let node = &deployment.nodes[FLOODED_NODE];
    let threads = node.threads();
    let memory = node.resident_bytes();
    let address = deployment.caller_address(FLOODED_NODE);
    let mut connections: Vec<_> = (0..FLOOD)
        .map(|_| {
            let mut stream = TcpStream::connect(address).expect("the node accepts connections");
            stream
                .write_all(b"POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthoriz")
                .expect("the node takes the bytes");
            stream
        })
        .collect();
    for _ in 0..5 {
        assert_serving(&deployment, "a flood");
    }
    for stream in &mut connections {
        stream
            .set_read_timeout(Some(MAX_WAIT))
            .expect("a timeout can be set");
        let mut rest = Vec::new();
        if let Err(error) = stream.read_to_end(&mut rest) {
            assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset, "{error}");
        }
    }
    drop(connections);
    deployment.wait_until("threads and memory are free again", |this| {
        let node = &this.nodes[FLOODED_NODE];
        node.threads() <= threads + SPARE_THREADS && node.resident_bytes() <= memory + SPARE_BYTES
    });
    thread::sleep(Duration::from_millis(100));
    assert_serving(&deployment, "the end of a flood");
}

/// Guards against inventories that put a VM in two places: refused within one document, and
/// excluded from use and reported when two documents share it.
#[test]
fn inventories_with_a_vm_twice_are_refused_by_the_node() {
    let deployment = shared();
    let before = deployment
        .operator_get(0, "/v1/config/inventory-phc-a")
        .expect("an answer");
    let version = before.json["version"].as_u64().expect("a version");
    let mut document = deployment.inventory(0);
    let repeated = document["vms"][0].clone();
    let vms = document["vms"].as_array_mut().expect("a list of VMs");
    vms.push(repeated);
    let answer = deployment.apply(0, "inventory-phc-a", version, &document);
    assert_eq!(answer.status, 422, "{}", answer.text);
    assert!(answer.text.contains("vm-phc-a-1"), "{}", answer.text);
    let after = deployment
        .operator_get(0, "/v1/config/inventory-phc-a")
        .expect("an answer");
    assert_eq!(after.json["version"], before.json["version"]);
    assert_serving(&deployment, "an invalid inventory");
}

/// Guards against a VM that two inventories list and that is used all the same. The deployment is
/// not shared, since the VM's group ends.
#[test]
fn vm_shared_by_two_inventories_is_excluded() {
    let deployment = Deployment::start_ready(DeploymentSettings::default());
    let shared_vm = "vm-phc-a-1";
    let mut document = deployment.inventory(1);
    let vms = document["vms"].as_array_mut().expect("a list of VMs");
    let mut repeated = deployment.inventory(0)["vms"][0].clone();
    assert_eq!(repeated["name"], shared_vm);
    repeated["fabric_domain"] = vms[0]["fabric_domain"].clone();
    vms.push(repeated);
    let answer = deployment.apply(0, "inventory-phc-b", 1, &document);
    // Either the node refuses the document or it takes it and excludes the VM.
    if answer.status == 200 {
        deployment.wait_until("no group has the VM", |this| {
            (0..this.nodes.len()).all(|node| {
                let groups = this.operator_get(node, "/v1/groups");
                let text = groups.map(|answer| answer.text).unwrap_or_default();
                !text.is_empty() && !text.contains(shared_vm)
            })
        });
        assert!(
            deployment.node_log(0).contains(shared_vm),
            "the VM is reported"
        );
    } else {
        assert_eq!(answer.status, 422, "{}", answer.text);
        assert!(answer.text.contains(shared_vm), "{}", answer.text);
    }
    assert_serving(&deployment, "inventories that share a VM");
}
