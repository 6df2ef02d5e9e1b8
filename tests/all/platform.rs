//! Nodes on the platform: processes between callers, a stand-in store and stand-in engines.

use std::fs;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use jaysaddle_platform_standin::PlatformStandin;
use jaysaddle_platform_standin::request_headers;
use jaysaddle_platform_standin::stream_config;
use serde_json::Value;
use serde_json::json;

use crate::deployment::MAX_WAIT;
use crate::process::TestProcess;

/// Events of each answer of the stand-in engines.
const EVENTS: usize = 30;
/// Key of the client account.
const KEY: &str = "secret";
/// Wait for one request, in seconds.
const REQUEST_SECS: u64 = 20;

static SITES: AtomicU32 = AtomicU32::new(0);

/// Two nodes in front of stand-ins, on loopback addresses of their own.
struct TestSite {
    standin: PlatformStandin,
    nodes: Vec<TestProcess>,
    addresses: Vec<IpAddr>,
}

impl TestSite {
    fn start(engines: u16) -> Self {
        let number = SITES.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        // 127.x.y.z with x and y from the process id and the number of the site, apart from the deployments' ones.
        let x = u8::try_from(1 + process % 250).expect("below 256");
        let y = u8::try_from((process / 250 + number * 16 + 8) % 250).expect("below 256");
        let ip = |z: u8| IpAddr::V4(Ipv4Addr::new(127, x, y, z));
        let standin =
            PlatformStandin::start(ip(200), &stream_config(1, &[ip(1), ip(2)], KEY), engines);
        let folder =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("site-{process}-{number}"));
        fs::create_dir_all(&folder).expect("a folder can be created");
        let mut site = Self {
            standin,
            nodes: Vec::new(),
            addresses: Vec::new(),
        };
        for node in 1..=2 {
            let address = ip(node);
            let settings = json!({
                "node": format!("entry-{node}"), "failure_domain": "a", "address": address,
                "listen": {"callers": format!("{address}:7700"), "readiness": format!("{address}:7701"),
                    "directory": format!("{address}:7702")},
                "peer_ports": [7703, 7710], "store": site.standin.store_address
            });
            let file = folder.join(format!("entry-{node}.yaml"));
            fs::write(&file, settings.to_string()).expect("the settings can be written");
            let mut command = Command::new(env!("CARGO_BIN_EXE_jaysaddled"));
            command.arg("--entry-settings").arg(&file);
            let errors = folder.join(format!("entry-{node}.err"));
            let mut process = TestProcess::spawn(&format!("entry-{node}"), command, errors);
            process.keep_output(&folder.join(format!("entry-{node}.log")));
            site.nodes.push(process);
            site.addresses.push(address);
        }
        site
    }

    fn get(&self, node: usize, port: u16, target: &str) -> Option<minreq::Response> {
        let url = format!("http://{}:{port}{target}", self.addresses[node]);
        minreq::get(url).with_timeout(2).send().ok()
    }

    fn is_ready(&self, node: usize) -> bool {
        self.get(node, 7701, "/readyz")
            .is_some_and(|answer| answer.status_code == 200)
    }

    fn resolved(&self, node: usize) -> usize {
        let answer = self.get(node, 7702, "/resolve?name=calls.example&zone=a");
        let body =
            answer.and_then(|answer| serde_json::from_slice::<Value>(answer.as_bytes()).ok());
        body.and_then(|body| Some(body["addresses"].as_array()?.len()))
            .unwrap_or(0)
    }

    fn request(&self, node: usize, id: &str, path: &str, key: &str) -> minreq::Response {
        let url = format!("http://{}:7700{path}", self.addresses[node]);
        let mut request = minreq::post(url);
        for (name, value) in request_headers(id, key) {
            request = request.with_header(name, value);
        }
        request
            .with_body("prompt")
            .with_timeout(REQUEST_SECS)
            .send()
            .expect("an answer")
    }

    fn wait(&self, what: &str, holds: impl Fn(&Self) -> bool) {
        let started = Instant::now();
        while started.elapsed() < MAX_WAIT {
            if holds(self) {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        panic!("after {MAX_WAIT:?} it does not hold that {what}");
    }

    fn wait_serving(&self, groups: usize) {
        self.wait("the groups serve at both nodes", |site| {
            site.standin.serving_groups().len() == groups
                && (0..2).all(|node| {
                    site.is_ready(node)
                        && site.request(node, "probe", "/drafts/x", KEY).status_code == 200
                })
        });
    }
}

fn assert_whole(answer: &minreq::Response) {
    assert_eq!(answer.status_code, 200);
    let text = String::from_utf8_lossy(answer.as_bytes()).into_owned();
    let expected: String = (1..=EVENTS)
        .map(|number| format!("id: {number}\ndata: token {number}\n\n"))
        .collect();
    assert_eq!(text, expected);
}

/// Guards the whole path: groups formed from entries, streams passed on whole, the directory, keys and routes.
#[test]
fn requests_are_served_by_groups_that_form_themselves() {
    let site = TestSite::start(4);
    site.wait_serving(2);
    site.wait("both nodes name both", |site| {
        (0..2).all(|node| site.resolved(node) == 2)
    });
    for node in 0..2 {
        let id = format!("r{node}");
        assert_whole(&site.request(node, &id, "/drafts/x", KEY));
        assert_eq!(site.standin.run_count(&id), 1);
        assert_eq!(
            site.request(node, "k", "/drafts/x", "wrong").status_code,
            401
        );
        assert_eq!(site.request(node, "n", "/other/", KEY).status_code, 404);
    }
}

/// Guards a stream whose group loses a member: the caller gets every event once, and the group is formed anew of
/// what is left.
#[test]
fn a_stream_goes_on_at_another_group() {
    let site = TestSite::start(5);
    site.wait_serving(2);
    let groups = site.standin.serving_groups();
    thread::scope(|scope| {
        let running: Vec<_> = (0..8)
            .map(|number| {
                let site = &site;
                scope.spawn(move || {
                    site.request(number % 2, &format!("s{number}"), "/drafts/x", KEY)
                })
            })
            .collect();
        thread::sleep(Duration::from_millis(300));
        site.standin.silence(&groups[0][1]);
        for request in running {
            assert_whole(&request.join().expect("an answer"));
        }
    });
    site.standin.lapse(&groups[0][1]);
    site.wait("two groups serve again", |site| {
        site.standin.serving_groups().len() == 2
    });
}

/// Guards a change of the configuration that is not taken over, also while the store refuses calls.
#[test]
fn a_new_configuration_comes_into_force() {
    let site = TestSite::start(2);
    site.wait_serving(1);
    site.standin
        .configure(&stream_config(2, &site.addresses, "other"));
    site.wait("the new key is in force", |site| {
        (0..2).all(|node| {
            site.request(node, "c", "/drafts/x", "other").status_code == 200
                && site.request(node, "c", "/drafts/x", KEY).status_code == 401
        })
    });
    site.standin.set_store_down(true);
    thread::sleep(Duration::from_millis(500));
    assert_whole(&site.request(0, "d", "/drafts/x", "other"));
}

/// Guards a planned stop: the node leaves the directory at once, finishes its streams and ends by itself.
#[test]
fn a_stopping_node_cuts_nothing_off() {
    let mut site = TestSite::start(2);
    site.wait_serving(1);
    site.wait("node 2 names both", |site| site.resolved(1) == 2);
    thread::scope(|scope| {
        let shared = &site;
        let running = scope.spawn(move || shared.request(0, "t", "/drafts/x", KEY));
        thread::sleep(Duration::from_millis(300));
        shared.nodes[0].terminate();
        shared.wait("node 1 is not ready", |site| !site.is_ready(0));
        shared.wait("node 2 names itself only", |site| site.resolved(1) == 1);
        assert_whole(&running.join().expect("an answer"));
    });
    assert_eq!(site.nodes[0].wait_exit(), Some(0));
}
