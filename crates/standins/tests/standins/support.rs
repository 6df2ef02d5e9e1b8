//! Set-up shared by the tests.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use jaysaddle_engine::EngineClient;
use jaysaddle_engine::HttpEngine;
use jaysaddle_engine::StreamItem;
use jaysaddle_standins::EngineSettings;
use jaysaddle_standins::EngineStandin;
use jaysaddle_standins::engine::FaultKind;
use jaysaddle_standins::engine::VmBinding;
use jaysaddle_standins::engine::VmFault;
use jaysaddle_standins::engine::WeightSource;
use jaysaddle_types::engine::EngineCompletion;
use jaysaddle_types::engine::EngineOrder;
use jaysaddle_types::engine::FinishReason;
use jaysaddle_types::engine::OrderAction;
use jaysaddle_types::engine::OrderOutcome;
use jaysaddle_types::engine::TokenChunk;
use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::ModelVersion;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::TimeSpan;

/// Time for one call.
pub const CALL: TimeSpan = TimeSpan::from_secs(2);

/// Time for a condition that is expected soon; far above what a busy machine needs.
const PATIENCE: Duration = Duration::from_secs(10);

/// A free port on loopback.
pub fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Waits for a condition.
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < PATIENCE, "{what} did not happen");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Settings with the VMs `a` and `b` and short loads.
pub fn pair_settings() -> EngineSettings {
    EngineSettings {
        vms: ["a", "b"]
            .map(|name| VmBinding {
                vm: VmId::new(name),
                address: any_port(),
            })
            .to_vec(),
        weights: WeightSource::Fixed(TimeSpan::from_millis(10)),
        ..EngineSettings::default()
    }
}

/// Address of one VM.
pub fn address(standin: &EngineStandin, vm: &str) -> SocketAddr {
    let addresses = standin.addresses();
    let found = addresses.iter().find(|(id, _)| id.as_str() == vm);
    found.unwrap().1
}

/// An order to join group `g` with the members `a` and `b`.
pub fn join(generation: u64) -> EngineOrder {
    EngineOrder {
        group: GroupId::new("g"),
        generation: Generation(generation),
        action: OrderAction::Join {
            model: ModelId::new("m"),
            version: ModelVersion::new("v1"),
            members: vec![VmId::new("a"), VmId::new("b")],
        },
    }
}

/// Starts `a` and `b` and forms group `g` at generation 1.
pub fn start_group(settings: EngineSettings) -> EngineStandin {
    let standin = EngineStandin::start(settings).unwrap();
    for vm in ["b", "a"] {
        let outcome = HttpEngine.order(address(&standin, vm), &join(1), CALL);
        assert_eq!(outcome, Some(OrderOutcome::Accepted));
    }
    wait_for("the group becoming whole", || is_whole(&standin, 1));
    standin
}

/// Whether the leader confirms group `g`.
pub fn is_whole(standin: &EngineStandin, generation: u64) -> bool {
    HttpEngine
        .report(address(standin, "a"), CALL)
        .is_ok_and(|report| {
            let members = [VmId::new("a"), VmId::new("b")];
            report.confirms(&GroupId::new("g"), Generation(generation), &members)
        })
}

/// A completion for group `g` at generation 1.
pub fn completion(id: &str, prompt: &str, max_tokens: u32) -> EngineCompletion {
    EngineCompletion {
        request_id: RequestId::new(id),
        attempt: 1,
        group: GroupId::new("g"),
        generation: Generation(1),
        model: ModelId::new("m"),
        prompt: prompt.into(),
        max_tokens,
        priority: 5,
        offset: 0,
        resume: false,
        deadline_ms: 20_000,
    }
}

/// Everything that a stream delivers until it ends.
pub fn collect(standin: &EngineStandin, completion: EngineCompletion) -> Vec<StreamItem> {
    HttpEngine
        .complete(address(standin, "a"), completion)
        .into_iter()
        .collect()
}

/// The pieces among `items`.
pub fn chunks(items: &[StreamItem]) -> Vec<TokenChunk> {
    items
        .iter()
        .filter_map(|item| match item {
            StreamItem::Chunk(chunk) => Some(chunk.clone()),
            _ => None,
        })
        .collect()
}

/// Text of the pieces and the end marker.
pub fn answer(items: &[StreamItem]) -> (String, Option<FinishReason>) {
    let chunks = chunks(items);
    let text = chunks.iter().map(|chunk| chunk.text.as_str()).collect();
    (text, chunks.last().and_then(|chunk| chunk.finish))
}

/// Number of starts of a request.
pub fn starts(standin: &EngineStandin, id: &str) -> u32 {
    let list = standin.runs();
    assert_eq!(list.dropped, 0);
    let runs = list.runs.iter();
    runs.filter(|run| run.request_id.as_str() == id)
        .map(|run| run.starts)
        .sum()
}

/// A fault of one VM.
pub fn fault(vm: &str, kind: FaultKind) -> VmFault {
    VmFault {
        vm: Some(VmId::new(vm)),
        fault: kind,
        value: None,
    }
}
