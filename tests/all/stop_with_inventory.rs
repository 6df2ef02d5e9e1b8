//! Planned stop of a node with an inventory whose callers do not leave it.

use std::collections::BTreeMap;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Signal;
use serde_json::Value;

use crate::cluster_state::runs;
use crate::deployment::Deployment;
use crate::deployment::DeploymentSettings;
use crate::inventory_callers::CallOutcome;
use crate::inventory_callers::ConnectionStyle;
use crate::inventory_callers::InventoryCaller;
use crate::inventory_callers::RequestKind;
use crate::inventory_callers::SentRequest;
use crate::load::CallerOutcome;
use crate::load::request_completion;

/// Time for which the callers use the node before it is stopped.
const LOAD_TIME: Duration = Duration::from_secs(1);
/// Time for which the node lets callers keep a discovery response, and for which it takes requests while it stops.
const DISCOVERY_TTL: Duration = Duration::from_secs(2);

/// Time from a call to the stop.
const CALL_TIME: Duration = Duration::from_millis(300);

/// Length in tokens of a completion that takes longer than a stop at 40 ms a token.
const LONG_TOKENS: u32 = 1000;

/// Size of the body of a slow caller; above the size of bodies that are read with the headers.
const SLOW_BODY_BYTES: usize = 2000;

/// Pause of a slow caller after each byte.
const SLOW_BODY_PAUSE: Duration = Duration::from_millis(100);

/// Number of runs of each body, by the record of the plain service.
fn service_runs(deployment: &Deployment) -> BTreeMap<String, u64> {
    let url = format!("http://{}/control/runs", deployment.service_address());
    let response = minreq::get(url)
        .with_timeout(20)
        .send()
        .expect("the service responds");
    let list: Value = serde_json::from_slice(response.as_bytes()).expect("the list is JSON");
    assert_eq!(list["dropped"], 0);
    let mut starts = BTreeMap::new();
    for run in list["runs"].as_array().into_iter().flatten() {
        let body = run["body"].as_str().unwrap_or_default().to_owned();
        *starts.entry(body).or_default() += run["starts"].as_u64().unwrap_or(0);
    }
    starts
}

/// One caller of every style for every kind of request that the style is used with.
fn callers(deployment: &Deployment, home: &str) -> Vec<InventoryCaller> {
    let address = deployment.caller_address(0);
    let mut callers = Vec::new();
    for style in [
        ConnectionStyle::Busy,
        ConnectionStyle::Idle,
        ConnectionStyle::Fresh,
        ConnectionStyle::Pipelined,
    ] {
        let completion = |tokens, stream| RequestKind::Completion { tokens, stream };
        let keyed = RequestKind::KeyedCall {
            home: home.to_owned(),
        };
        for kind in [
            completion(2, false),
            completion(40, true),
            completion(100, false),
            completion(100, true),
            RequestKind::Call,
            keyed,
        ] {
            callers.push(InventoryCaller {
                address,
                style,
                kind,
            });
        }
    }
    for _ in 0..3 {
        callers.push(InventoryCaller {
            address,
            style: ConnectionStyle::SlowReader,
            kind: RequestKind::Call,
        });
    }
    callers
}

/// Milliseconds from `start` to `time`, negative before it.
fn offset_ms(start: Instant, time: Instant) -> i128 {
    let after = time.saturating_duration_since(start).as_millis();
    let before = start.saturating_duration_since(time).as_millis();
    i128::try_from(after).unwrap_or(0) - i128::try_from(before).unwrap_or(0)
}

/// Stops the node that all callers use, and returns descriptions of the requests that were treated wrongly.
fn stop_under_load(token_time: &'static str) -> Vec<String> {
    let mut deployment = Deployment::start_ready(DeploymentSettings {
        token_time,
        discovery_ttl: "2s",
        slots: 32,
        service: true,
        ..DeploymentSettings::default()
    });
    let headers = [
        ("Authorization", "Bearer lender-a-key"),
        ("Jaysaddle-Idempotent", "true"),
    ];
    deployment.wait_until("the node can call the service", |this| {
        this.post(0, "/v1/services/promises/record", &headers, "probe")
            .is_ok_and(|response| response.status == 200)
    });
    let home = deployment.home_token(0);
    let threads: Vec<_> = callers(&deployment, &home)
        .into_iter()
        .map(|caller| thread::spawn(move || caller.call_until_gone()))
        .collect();
    thread::sleep(LOAD_TIME);
    let stopped = Instant::now();
    deployment.nodes[0].terminate();
    let code = deployment.nodes[0].wait_exit();
    let exited = Instant::now();
    let requests: Vec<SentRequest> = threads
        .into_iter()
        .flat_map(|thread| thread.join().expect("no caller panics"))
        .collect();
    let mut starts = runs(&deployment);
    starts.extend(service_runs(&deployment));
    let mut faults = Vec::new();
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for request in &requests {
        let runs = starts.get(&request.text).copied().unwrap_or(0);
        let is_early = request.ended < stopped + DISCOVERY_TTL;
        let (name, is_right) = match &request.outcome {
            CallOutcome::Served => ("served".to_owned(), runs == 1),
            CallOutcome::Refused(verdict, reason) => (
                format!("refused {verdict} {reason}"),
                verdict == "not_run" && runs == 0 && !(is_early && reason == "stopping"),
            ),
            CallOutcome::NoAnswer => ("no answer".to_owned(), runs == 0),
            CallOutcome::Dropped => ("dropped".to_owned(), runs == 0),
            CallOutcome::Cut(_) => ("cut".to_owned(), false),
            CallOutcome::Wrong(_) => ("wrong".to_owned(), false),
        };
        let period = if request.sent < stopped {
            "before"
        } else {
            "after"
        };
        *counts
            .entry(format!("{name}, sent {period} SIGTERM, runs {runs}"))
            .or_default() += 1;
        let line = format!(
            "{:?} {:?}: {name}, runs {runs}, sent {} ms and ended {} ms after SIGTERM, sent {} ms before the exit",
            request.style,
            request.kind,
            offset_ms(stopped, request.sent),
            offset_ms(stopped, request.ended),
            offset_ms(request.sent, exited),
        );
        if !is_right {
            faults.push(line);
        } else if request.outcome == CallOutcome::NoAnswer {
            println!("{line}");
        }
    }
    println!(
        "{token_time} a token: {} requests, exit after {} ms: {counts:#?}",
        requests.len(),
        offset_ms(stopped, exited)
    );
    let log = deployment.node_log(0);
    for line in log.lines().filter(|line| line.contains("stop")) {
        println!("{line}");
    }
    assert_eq!(code, Some(0), "{log}");
    let is_closed =
        |line: &str| line.contains("listeners closed") && line.contains("open=0 connections=0");
    assert!(log.lines().any(is_closed), "{log}");
    faults
}

/// Guards against a stop that cuts responses of short requests, or takes requests and does not answer them.
#[test]
fn stop_serves_callers_that_stay_with_fast_tokens() {
    let faults = stop_under_load("5ms");
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against a stop that cuts requests which run for longer than callers may keep a discovery response.
#[test]
fn stop_serves_callers_that_stay_with_slow_tokens() {
    let faults = stop_under_load("40ms");
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against a stop that cuts an operator's call whose change waits for the store.
#[test]
fn stop_answers_operators_call_that_waits_for_the_store() {
    let mut deployment = Deployment::start_ready(DeploymentSettings::default());
    let mut stopping = deployment.nodes.remove(0);
    let deployment = Arc::new(deployment);
    if let Some(platform) = &deployment.platform {
        platform.pause();
    }
    let operator = {
        let deployment = Arc::clone(&deployment);
        thread::spawn(move || deployment.operator_post(0, "/v1/drain/vm-phc-a-1"))
    };
    thread::sleep(CALL_TIME);
    stopping.terminate();
    assert_eq!(stopping.wait_exit(), Some(0), "{}", deployment.node_log(0));
    let response = operator.join().expect("the operator gets a response");
    println!("the operator got {} {}", response.status, response.text);
    assert!(
        response.json["error"]["message"].is_string(),
        "{response:?}"
    );
}

/// Guards against a stop that waits without a limit for a caller that sends the body of its request slowly.
#[test]
fn stop_ends_at_its_limit() {
    let mut deployment = Deployment::start_ready(DeploymentSettings {
        nodes: 1,
        stop_limit: "8s",
        ..DeploymentSettings::default()
    });
    let address = deployment.caller_address(0);
    let mut stream = TcpStream::connect(address).expect("the node accepts");
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: {address}\r\nAuthorization: Bearer lender-a-key\r\n\
         Content-Length: {SLOW_BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("the node reads");
    let caller = thread::spawn(move || {
        let mut sent = 0;
        while sent < SLOW_BODY_BYTES && stream.write_all(b" ").is_ok() {
            sent += 1;
            thread::sleep(SLOW_BODY_PAUSE);
        }
        sent
    });
    thread::sleep(CALL_TIME);
    let started = Instant::now();
    deployment.nodes[0].terminate();
    let code = deployment.nodes[0].wait_exit();
    let log = deployment.node_log(0);
    println!("exit after {:?}", started.elapsed());
    let sent = caller.join().expect("the caller does not panic");
    assert!(sent < SLOW_BODY_BYTES, "the body was complete at the exit");
    assert_eq!(code, Some(0), "{log}");
    assert!(
        log.contains("1 requests of callers and operators have no response at the limit"),
        "{log}"
    );
}

/// Guards against signals that end a node, or its stop, with a request open.
#[test]
fn signals_cut_no_request() {
    let mut deployment = Deployment::start_ready(DeploymentSettings {
        token_time: "40ms",
        ..DeploymentSettings::default()
    });
    let mut signalled = deployment.nodes.remove(0);
    let deployment = Arc::new(deployment);
    let caller = {
        let deployment = Arc::clone(&deployment);
        thread::spawn(move || request_completion(&deployment, 0, "signals", 100, true, &[]))
    };
    deployment.wait_until("the stream runs", |this| runs(this).contains_key("signals"));
    signalled.send_hangup();
    deployment.wait_until("the signal is logged", |this| {
        this.node_log(0).contains("SIGHUP is ignored")
    });
    signalled.terminate();
    deployment.wait_until("the stop has begun", |this| {
        this.node_log(0)
            .contains("stopping: removed from discovery")
    });
    for signal in [Signal::HUP, Signal::TERM, Signal::INT] {
        signalled.signal(signal);
    }
    let outcome = caller.join().expect("the caller does not panic");
    assert_eq!(outcome, CallerOutcome::Complete);
    assert_eq!(signalled.wait_exit(), Some(0), "{}", deployment.node_log(0));
}

/// Guards against a stop that does not end, or that cuts a request, when the node has no configuration.
#[test]
fn node_without_configuration_stops() {
    let mut deployment = Deployment::start(DeploymentSettings {
        nodes: 1,
        ..DeploymentSettings::default()
    });
    deployment.nodes[0].kill();
    if let Some(platform) = &deployment.platform {
        platform.pause();
    }
    let mut node = deployment.start_node(0);
    deployment.wait_until("the node refuses a request", |this| {
        this.post_completion(0, "early", 1, &[])
            .is_ok_and(|response| response.reason() == "not_configured")
    });
    node.terminate();
    assert_eq!(node.wait_exit(), Some(0), "{}", deployment.node_log(0));
    let log = deployment.node_log(0);
    assert!(log.contains("open=0 connections=0"), "{log}");
}

/// Guards against completions that a stop cuts at its limit instead of refusing them.
#[test]
fn stop_refuses_completions_that_exceed_its_limit() {
    let mut deployment = Deployment::start_ready(DeploymentSettings {
        token_time: "40ms",
        stop_limit: "10s",
        ..DeploymentSettings::default()
    });
    let mut stopping = deployment.nodes.remove(0);
    let deployment = Arc::new(deployment);
    let request = |prompt: &'static str, stream: bool| {
        let deployment = Arc::clone(&deployment);
        thread::spawn(move || request_completion(&deployment, 0, prompt, LONG_TOKENS, stream, &[]))
    };
    let early = [request("early stream", true), request("early", false)];
    deployment.wait_until("the completions run", |this| runs(this).len() == 2);
    stopping.terminate();
    deployment.wait_until("the stop has begun", |this| {
        this.node_log(0)
            .contains("stopping: removed from discovery")
    });
    let late = [request("late stream", true), request("late", false)];
    let expected = CallerOutcome::Refused("may_have_run".into(), "deadline_exceeded".into());
    for caller in early.into_iter().chain(late) {
        let outcome = caller.join().expect("the caller does not panic");
        assert_eq!(outcome, expected, "{}", deployment.node_log(0));
    }
    assert_eq!(stopping.wait_exit(), Some(0), "{}", deployment.node_log(0));
    let log = deployment.node_log(0);
    assert!(log.contains("open=0 connections=0"), "{log}");
}

/// Guards against a stop that leaves connections without a request open until the process is gone.
#[test]
fn stop_closes_connections_without_a_request() {
    let mut deployment = Deployment::start_ready(DeploymentSettings {
        nodes: 1,
        ..DeploymentSettings::default()
    });
    let address = deployment.caller_address(0);
    let mut stream = TcpStream::connect(address).expect("the node accepts");
    let request = format!("GET /healthz HTTP/1.1\r\nHost: {address}\r\n\r\n");
    stream
        .write_all(request.as_bytes())
        .expect("the node reads");
    let mut buffer = [0; 1024];
    let count = stream.read(&mut buffer).expect("the node responds");
    assert!(buffer[..count].starts_with(b"HTTP/1.1 200"));
    deployment.nodes[0].terminate();
    let code = deployment.nodes[0].wait_exit();
    let rest = stream
        .read(&mut buffer)
        .expect("the connection is not reset");
    assert_eq!(rest, 0);
    let log = deployment.node_log(0);
    assert_eq!(code, Some(0), "{log}");
    assert!(log.contains("open=0 connections=0"), "{log}");
}
