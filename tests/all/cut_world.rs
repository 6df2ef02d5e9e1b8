//! Callers that follow the directory while some nodes are cut off from all backend servers.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use jaysaddle_platform_standin::StandinWork;
use jaysaddle_platform_standin::request_headers_with_time;
use jaysaddle_test_support::TestRandom;
use serde_json::Value;

use crate::platform_nodes::KEY;
use crate::platform_nodes::NodeSetup;
use crate::platform_nodes::PlatformNodes;

/// Time in which a node learns what others know.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time for which the nodes are cut off.
const CUT_TIME: Duration = Duration::from_secs(11);
/// Time before the cut, and time after it.
const CALM: Duration = Duration::from_secs(2);
const AFTERMATH: Duration = Duration::from_secs(6);
/// Longest time for which callers keep an answer of the directory, in seconds that the answer states.
const MAX_LIFETIMES: u64 = 3;
const CALLERS: u64 = 14;
/// Mean pause of a caller between two requests, in milliseconds.
const MEAN_PAUSE_MS: u64 = 150;
/// Time that callers state to wait, in milliseconds.
const STATED_MS: u64 = 2500;
const CALLER_TIMEOUT_SECS: u64 = 3;
/// First tries that may fail at cut nodes whatever their share: a number, and one in so many of all.
const ALLOWED_FAILURES: usize = 10;
const ALLOWED_PART: usize = 50;

static REQUESTS: AtomicU64 = AtomicU64::new(0);

/// Which nodes are cut off, how, and what callers ask for.
#[derive(Clone, Debug)]
pub struct CutCase {
    pub nodes: u8,
    /// Number of nodes that are cut off.
    pub cut: usize,
    /// Whether the holder of the lease is one of them.
    pub includes_holder: bool,
    /// State of the network at a cut node, as for [`PlatformNodes::set_server_network`].
    pub network: &'static str,
    /// Route of the requests.
    pub route: &'static str,
}

struct FirstTry {
    node: IpAddr,
    sent: Instant,
    is_served: bool,
}

fn resolve(nodes: &PlatformNodes, random: &mut TestRandom) -> Option<(Vec<IpAddr>, u64)> {
    let node = random.below(nodes.addresses.len() as u64) as usize;
    let response = nodes.get(node, 7702, "/resolve?name=calls.example&zone=a")?;
    let body: Value = serde_json::from_slice(response.as_bytes()).ok()?;
    let addresses = body["addresses"].as_array()?.iter();
    let addresses = addresses.filter_map(|address| {
        let address: SocketAddr = address.as_str()?.parse().ok()?;
        Some(address.ip())
    });
    Some((addresses.collect(), body["ttlS"].as_u64()?))
}

fn send(address: IpAddr, path: &str) -> bool {
    let number = REQUESTS.fetch_add(1, Ordering::Relaxed);
    let id = format!("cut-{}-{number}", std::process::id());
    let mut request = minreq::get(format!("http://{address}:7700{path}{id}"));
    for (name, value) in request_headers_with_time(&id, KEY, STATED_MS) {
        request = request.with_header(name, value);
    }
    let response = request.with_timeout(CALLER_TIMEOUT_SECS).send();
    response.is_ok_and(|response| response.status_code == 200)
}

/// Sends first tries at addresses of the directory until `until`.
fn call(nodes: &PlatformNodes, case: &CutCase, seed: u64, until: Instant) -> Vec<FirstTry> {
    let mut random = TestRandom::new(seed);
    let mut tries = Vec::new();
    let mut addresses: Vec<IpAddr> = Vec::new();
    let mut valid_until = Instant::now();
    while Instant::now() < until {
        if Instant::now() >= valid_until
            && let Some((resolved, lifetime)) = resolve(nodes, &mut random)
        {
            addresses = resolved;
            let lifetimes = if seed.is_multiple_of(MAX_LIFETIMES) {
                MAX_LIFETIMES
            } else {
                1
            };
            valid_until = Instant::now() + Duration::from_secs(lifetime * lifetimes);
        }
        thread::sleep(Duration::from_millis(random.below(2 * MEAN_PAUSE_MS)));
        if addresses.is_empty() {
            continue;
        }
        let node = addresses[random.below(addresses.len() as u64) as usize];
        let sent = Instant::now();
        let is_served = send(node, case.route);
        tries.push(FirstTry {
            node,
            sent,
            is_served,
        });
    }
    tries
}

/// Cuts nodes off for [`CUT_TIME`]. Returns what breaks a rule.
pub fn cut_off(case: &CutCase) -> Vec<String> {
    let nodes = PlatformNodes::start_setup(NodeSetup {
        nodes: case.nodes,
        engines: 24,
        plain_servers: 3,
        has_cuts: true,
        ..NodeSetup::default()
    });
    nodes.standin.set_work(StandinWork {
        events: 10,
        event_interval: Duration::from_millis(20),
        answer_time: Duration::from_millis(30),
        is_plain_reliable: true,
        ..StandinWork::default()
    });
    nodes.wait_serving(12);
    let holder = nodes.lease_holder().expect("a holder of the lease");
    let mut order: Vec<usize> = (0..usize::from(case.nodes)).collect();
    order.sort_by_key(|node| (*node == holder) != case.includes_holder);
    let cut: Vec<usize> = order.into_iter().take(case.cut).collect();
    let from = Instant::now() + CALM;
    let until = from + CUT_TIME + AFTERMATH;
    let tries = Mutex::new(Vec::new());
    thread::scope(|scope| {
        let (nodes, tries) = (&nodes, &tries);
        for seed in 1..=CALLERS {
            scope.spawn(move || {
                let made = call(nodes, case, seed, until);
                let mut tries = tries.lock().unwrap_or_else(PoisonError::into_inner);
                tries.extend(made);
            });
        }
        thread::sleep(CALM);
        for node in &cut {
            nodes.set_server_network(*node, case.network);
        }
        thread::sleep(CUT_TIME);
        for node in &cut {
            nodes.set_server_network(*node, "");
        }
    });
    let cut: Vec<IpAddr> = cut.into_iter().map(|node| nodes.addresses[node]).collect();
    let tries = tries.into_inner().unwrap_or_else(PoisonError::into_inner);
    let mut faults = faults(case, &tries, &cut, from);
    // All servers work throughout, whatever a cut node sees.
    let logs = (0..usize::from(case.nodes)).map(|node| nodes.log(node));
    let ended = logs
        .flat_map(|log| {
            let lines = log.lines().map(str::to_owned);
            lines.collect::<Vec<_>>()
        })
        .filter(|line| line.contains("event=server_ended") || line.contains("content_decision"))
        .count();
    if ended > 0 {
        faults.push(format!(
            "{ended} lines about servers that have ended, or content that ends them"
        ));
    }
    faults
}

fn percent(tries: &[&FirstTry]) -> usize {
    let served = tries.iter().filter(|one| one.is_served).count();
    served * 100 / tries.len().max(1)
}

fn faults(case: &CutCase, tries: &[FirstTry], cut: &[IpAddr], from: Instant) -> Vec<String> {
    let within = |from: Instant, until: Instant| {
        let tries = tries.iter();
        let tries = tries.filter(move |one| (from..until).contains(&one.sent));
        tries.partition::<Vec<&FirstTry>, _>(|one| cut.contains(&one.node))
    };
    let end = from + CUT_TIME;
    let (at_cut, elsewhere) = within(from + CONTACT_TIME, end);
    let all = at_cut.len() + elsewhere.len();
    let failed = at_cut.iter().filter(|one| !one.is_served).count();
    let is_rarely_served = percent(&at_cut) * 3 < percent(&elsewhere) * 2;
    let mut faults = Vec::new();
    if !at_cut.is_empty() && is_rarely_served && failed > ALLOWED_FAILURES + all / ALLOWED_PART {
        faults.push(format!("{failed} of {all} first tries fail at cut nodes"));
    }
    // Nodes that are not cut off serve as before.
    if percent(&elsewhere) < 90 {
        faults.push(format!(
            "the other nodes serve {} % of {}",
            percent(&elsewhere),
            elsewhere.len()
        ));
    }
    let (returned, others) = within(end + CONTACT_TIME, end + AFTERMATH);
    if returned.is_empty() || percent(&returned) < 90 || percent(&others) < 90 {
        faults.push(format!(
            "after the cut its nodes serve {} % of {}, the others {} %",
            percent(&returned),
            returned.len(),
            percent(&others)
        ));
    }
    println!(
        "{case:?}: at cut nodes {} % of {}, elsewhere {} % of {}; afterwards {} % of {}",
        percent(&at_cut),
        at_cut.len(),
        percent(&elsewhere),
        elsewhere.len(),
        percent(&returned),
        returned.len()
    );
    faults
}
