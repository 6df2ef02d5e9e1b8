//! Runners: model runners that join groups and stream events, and plain ones. All state is under one lock.

use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Request;
use crate::http::header;
use crate::http::read_request;
use crate::http::response;
use crate::json::Json;
use crate::json::object;
use crate::world::World;

pub const HEARTBEAT: Duration = Duration::from_millis(1200);
const FORM_TIME: Duration = Duration::from_millis(300);
const STALL_TIME: Duration = Duration::from_secs(6);
/// Five steps of an engine.
const EVENT_PAUSE: Duration = Duration::from_millis(43);
const TOKENS_PER_EVENT: u64 = 5;

#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    pub name: String,
    pub epoch: u64,
    pub rank: usize,
    pub state: &'static str,
    pub model: String,
    pub members: Vec<String>,
    /// When the present state gives way to the next one.
    pub until: Option<Instant>,
}

pub struct Runner {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub is_engine: bool,
    pub is_alive: bool,
    /// Whether it reaches the store.
    pub is_cut: bool,
    pub is_listed: bool,
    pub group: Option<Group>,
    pub last_model: Option<String>,
    pub staged: Option<String>,
    pub staging: Option<(String, Instant)>,
    /// Orders that began something.
    pub orders: u64,
    pub highest_epoch: u64,
    pub writes: u64,
    pub last_write: Option<Instant>,
    pub is_changed: bool,
    pub active: u64,
    /// The next order to leave an open group is answered by a second copy of the connection's last answer, and carried out
    /// after this time.
    pub late_leave: Option<Duration>,
}

impl Runner {
    pub fn new(id: &str, service: &str, address: SocketAddr, is_engine: bool) -> Self {
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            is_engine,
            is_alive: true,
            is_cut: false,
            is_listed: false,
            group: None,
            last_model: None,
            staged: None,
            staging: None,
            orders: 0,
            highest_epoch: 0,
            writes: 0,
            last_write: None,
            is_changed: true,
            active: 0,
            late_leave: None,
        }
    }

    fn membership(&self) -> Vec<(&'static str, Json)> {
        let mut fields = Vec::new();
        if !self.is_engine {
            return fields;
        }
        let model = self.group.as_ref().map(|group| group.model.as_str());
        let models = model.map(|model| {
            object(vec![
                ("name", model.into()),
                ("version", 1.into()),
                ("adapters", Json::List(vec![])),
            ])
        });
        fields.push(("models", Json::List(models.into_iter().collect())));
        let staged = self.staged.as_deref().map(Json::from);
        fields.push(("staged", Json::List(staged.into_iter().collect())));
        if let Some(group) = &self.group {
            fields.push((
                "group",
                object(vec![
                    ("name", group.name.as_str().into()),
                    ("epoch", group.epoch.into()),
                    ("rank", (group.rank as u64).into()),
                    ("state", group.state.into()),
                ]),
            ));
        }
        fields
    }

    pub fn entry(&self, born: u64) -> Json {
        let address = self.address.to_string();
        let mut fields = vec![
            ("service", self.service.as_str().into()),
            ("address", address.as_str().into()),
            ("zone", "hall-a".into()),
            ("version", "v1".into()),
            ("slots", 17.into()),
            ("state", "ready".into()),
            ("coldLeftMs", 0.into()),
            ("sequence", self.writes.into()),
            ("born", born.into()),
        ];
        if self.is_engine {
            fields.push(("stage", "both".into()));
            fields.push(("domain", "d0".into()));
        }
        fields.extend(self.membership());
        object(fields)
    }

    fn report(&self, born: u64) -> Json {
        let mut fields = vec![
            ("stage", "both".into()),
            ("busy", Json::Bool(self.staging.is_some())),
            ("sequence", self.orders.into()),
            ("queued", 0.into()),
            ("active", self.active.into()),
            ("kvUsed", 0.into()),
            ("kvTotal", 1_860_000.into()),
            ("handles", 0.into()),
            ("pace", Json::Number("1.0".to_owned())),
            ("born", born.into()),
            ("domain", "d0".into()),
        ];
        fields.extend(self.membership());
        object(fields)
    }
}

/// Accepts connections while the runner is alive.
pub fn listen(world: Arc<World>, number: usize) {
    thread::spawn(move || {
        let address = world.runners()[number].address;
        let listener = TcpListener::bind(address).expect("the address of a runner is free");
        listener
            .set_nonblocking(true)
            .expect("a listener without blocking");
        loop {
            if !world.runners()[number].is_alive {
                return;
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    let world = world.clone();
                    thread::spawn(move || serve(&world, number, stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
    });
}

/// What has been sent on a connection.
#[derive(Default)]
struct LastAnswer {
    bytes: Vec<u8>,
    /// The request that it answered.
    of: String,
}

fn serve(world: &Arc<World>, number: usize, stream: TcpStream) {
    let Ok(mut output) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    let mut last = LastAnswer::default();
    while let Ok(Some(request)) = read_request(&mut reader) {
        let path = request.target.split('?').next().unwrap_or("").to_owned();
        let expected = header(&request.headers, "x-expect-instance");
        let own_id = world.runners()[number].id.clone();
        if expected.is_some_and(|id| id != own_id) {
            let refusal = response(421, &[("X-Instance-Id", &own_id)], b"");
            if output.write_all(&refusal).is_err() {
                return;
            }
            continue;
        }
        let answer = match path.as_str() {
            "/report" => {
                let report = world.runners()[number].report(world.born);
                let json = [("Content-Type", "application/json")];
                response(200, &json, report.to_string().as_bytes())
            }
            "/healthz" => response(200, &[("X-Instance-Id", &own_id)], b""),
            "/order" => match answer_order(world, number, &request, &last) {
                Some(answer) => answer,
                // A request without an answer; the connection stays open.
                None => continue,
            },
            _ => match answer_request(world, number, &request, &mut output) {
                Some(answer) => {
                    last = LastAnswer {
                        bytes: answer,
                        of: header(&request.headers, "x-request-id")
                            .unwrap_or("")
                            .to_owned(),
                    };
                    continue;
                }
                None => {
                    let _ = output.shutdown(Shutdown::Both);
                    return;
                }
            },
        };
        last = LastAnswer {
            bytes: answer.clone(),
            of: path,
        };
        if output.write_all(&answer).is_err() {
            return;
        }
    }
}

/// Answers an order, or leaves it unanswered.
fn answer_order(
    world: &Arc<World>,
    number: usize,
    request: &Request,
    last: &LastAnswer,
) -> Option<Vec<u8>> {
    let order = Json::parse(&String::from_utf8_lossy(&request.body))?;
    let late = {
        let mut runners = world.runners();
        let runner = &mut runners[number];
        let is_open = runner.group.as_ref().is_some_and(|group| {
            group.name == order.get("group").text() && matches!(group.state, "open" | "closing")
        });
        let is_leave = order.get("operation").text() == "leave" && is_open;
        runner
            .late_leave
            .take_if(|_| is_leave)
            .map(|time| (runner.id.clone(), time))
    };
    if let Some((id, time)) = late {
        let of = if last.bytes.is_empty() {
            "nothing"
        } else {
            &last.of
        };
        world.record(&format!(
            "order {order} at {id}: no answer, carried out after {} ms; a second copy of the answer to {of} is sent",
            time.as_millis()
        ));
        let later = world.clone();
        thread::spawn(move || {
            thread::sleep(time);
            let status = carry_out(&later, number, &order);
            later.record(&format!("order {order} at {id} carried out late: {status}"));
        });
        return (!last.bytes.is_empty()).then(|| last.bytes.clone());
    }
    let status = carry_out(world, number, &order);
    let id = world.runners()[number].id.clone();
    world.record(&format!("order {order} at {id}: {status}"));
    Some(response(status, &[], b""))
}

/// Carries out an order and returns the status of its answer.
fn carry_out(world: &Arc<World>, number: usize, order: &Json) -> u16 {
    let now = Instant::now();
    let has_traffic = world.has_traffic();
    let mut runners = world.runners();
    if !runners[number].is_alive {
        return 503;
    }
    let expected = order.get("expected").number();
    if expected.is_some_and(|count| count != runners[number].orders) {
        return 409;
    }
    let name = order.get("group").text().to_owned();
    let epoch = order.get("epoch").number().unwrap_or(0);
    let group = runners[number].group.clone();
    let is_member = group
        .as_ref()
        .is_some_and(|group| group.name == name && group.epoch == epoch);
    match order.get("operation").text() {
        "join" => {
            let members: Vec<String> = order
                .get("members")
                .list()
                .iter()
                .map(|id| id.text().to_owned())
                .collect();
            if let Some(group) = group.as_ref().filter(|_| is_member) {
                return if group.members == members { 200 } else { 412 };
            }
            if epoch < runners[number].highest_epoch {
                return 412;
            }
            let Some(rank) = members.iter().position(|id| *id == runners[number].id) else {
                return 409;
            };
            if let Some(group) = &group {
                check_two(world, &runners, number, group, &name);
            }
            let model = order.get("model").text().to_owned();
            let runner = &mut runners[number];
            let time = if runner.last_model.as_ref() == Some(&model) {
                Duration::from_millis(200)
            } else if runner.staged.as_ref() == Some(&model) {
                Duration::from_millis(1600)
            } else {
                runner.staged = Some(model.clone());
                Duration::from_millis(if has_traffic { 16_000 } else { 1600 })
            };
            runner.last_model = Some(model.clone());
            runner.highest_epoch = epoch;
            runner.group = Some(Group {
                name,
                epoch,
                rank,
                state: "joining",
                model,
                members,
                until: Some(now + time),
            });
        }
        "open" if is_member => match group.map(|group| group.state) {
            Some("open") => return 200,
            Some("ready") => {
                if let Some(group) = &mut runners[number].group {
                    group.until = Some(now + FORM_TIME);
                }
            }
            _ => return 409,
        },
        "close" if is_member => match group.map(|group| group.state) {
            Some("open") => {
                if let Some(group) = &mut runners[number].group {
                    group.state = "closing";
                }
            }
            Some("ready") => return 200,
            _ => return 409,
        },
        "leave" if is_member => {
            runners[number].group = None;
            runners[number].is_changed = true;
            return 200;
        }
        "stage" => {
            let model = order.get("model").text().to_owned();
            let runner = &mut runners[number];
            if runner.staged.as_ref() == Some(&model) {
                return 200;
            }
            let time = Duration::from_millis(if has_traffic { 16_000 } else { 1600 });
            runner.staging = Some((model, now + time));
        }
        "open" | "close" | "leave" => return 409,
        _ => return 400,
    }
    runners[number].orders += 1;
    runners[number].is_changed = true;
    202
}

/// Rule TWO: a runner takes a join of another group while the head of its group is open or closing.
fn check_two(world: &World, runners: &[Runner], number: usize, group: &Group, joined: &str) {
    let head = runners
        .iter()
        .find(|runner| Some(&runner.id) == group.members.first());
    let is_open = head.is_some_and(|head| {
        head.is_alive
            && head.group.as_ref().is_some_and(|other| {
                other.name == group.name
                    && other.epoch == group.epoch
                    && matches!(other.state, "open" | "closing")
            })
    });
    if is_open {
        let id = &runners[number].id;
        world.violation(&format!(
            "TWO: {id} takes a join of {joined} while the head {} of its group {} is open",
            group.members[0], group.name
        ));
    }
}

/// Whether the streams of a head go on: all members are alive and in its group.
fn is_whole(runners: &[Runner], group: &Group) -> bool {
    group.members.iter().all(|id| {
        runners.iter().any(|runner| {
            runner.id == *id
                && runner.is_alive
                && runner
                    .group
                    .as_ref()
                    .is_some_and(|other| other.name == group.name && other.epoch == group.epoch)
        })
    })
}

/// Runs a request and writes its answer. Returns the bytes of a complete answer; `None` if the connection ends.
fn answer_request(
    world: &Arc<World>,
    number: usize,
    request: &Request,
    output: &mut TcpStream,
) -> Option<Vec<u8>> {
    let id = header(&request.headers, "x-request-id")
        .unwrap_or("")
        .to_owned();
    let (own_id, is_engine, group) = {
        let runners = world.runners();
        let runner = &runners[number];
        (runner.id.clone(), runner.is_engine, runner.group.clone())
    };
    let seal = format!("seal-{own_id}-{id}");
    let headers = [
        ("X-Request-Id", id.as_str()),
        ("X-Response-Seal", seal.as_str()),
    ];
    if !is_engine {
        world.record(&format!("run {id} at {own_id}"));
        thread::sleep(Duration::from_millis(30));
        let answer = response(200, &headers, format!("answer to {id}").as_bytes());
        output.write_all(&answer).ok()?;
        return Some(answer);
    }
    let group = group.filter(|group| group.rank == 0 && group.state == "open");
    let Some(group) = group else {
        let refusal = response(421, &[("X-Request-Id", &id), ("At-Server", &own_id)], b"");
        output.write_all(&refusal).ok()?;
        return Some(refusal);
    };
    world.runners()[number].active += 1;
    world.record(&format!("run {id} at {own_id} group {}", group.name));
    let answer = stream(world, number, &group, &headers, request, output);
    world.runners()[number].active -= 1;
    answer
}

fn stream(
    world: &Arc<World>,
    number: usize,
    group: &Group,
    headers: &[(&str, &str)],
    request: &Request,
    output: &mut TcpStream,
) -> Option<Vec<u8>> {
    let mut head = String::from(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
    );
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut sent = head.into_bytes();
    output.write_all(&sent).ok()?;
    let last = header(&request.headers, "last-event-id").and_then(|last| last.parse::<u64>().ok());
    let tokens = header(&request.headers, "x-token-counts")
        .and_then(|text| text.split(',').nth(1)?.parse().ok());
    let events = tokens.unwrap_or(TOKENS_PER_EVENT) / TOKENS_PER_EVENT;
    for event in last.unwrap_or(0) + 1..=events {
        thread::sleep(EVENT_PAUSE);
        let stalled = Instant::now();
        loop {
            let mut runners = world.runners();
            let is_here = runners[number].is_alive
                && runners[number].group.as_ref().is_some_and(|own| {
                    own.name == group.name && own.epoch == group.epoch && own.state != "broken"
                });
            if !is_here {
                return None;
            }
            if is_whole(&runners, group) {
                break;
            }
            if stalled.elapsed() >= STALL_TIME {
                if let Some(own) = &mut runners[number].group {
                    own.state = "broken";
                }
                runners[number].is_changed = true;
                return None;
            }
            drop(runners);
            thread::sleep(Duration::from_millis(10));
        }
        let text = format!("id: {event}\ndata: piece {event}\n\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        output.write_all(chunk.as_bytes()).ok()?;
        sent.extend_from_slice(chunk.as_bytes());
    }
    output.write_all(b"0\r\n\r\n").ok()?;
    sent.extend_from_slice(b"0\r\n\r\n");
    Some(sent)
}
