//! Services and the weight store.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use jaysaddle_engine::EngineClient;
use jaysaddle_engine::HttpEngine;
use jaysaddle_engine::ServiceCall;
use jaysaddle_engine::ServiceOutcome;
use jaysaddle_standins::ServiceSettings;
use jaysaddle_standins::ServiceStandin;
use jaysaddle_standins::WeightSettings;
use jaysaddle_standins::WeightStandin;
use jaysaddle_standins::engine::FaultKind;
use jaysaddle_standins::engine::VmBinding;
use jaysaddle_standins::service::expected_answer;
use jaysaddle_standins::weights::WeightStats;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::RequestRate;
use jaysaddle_types::units::TimeSpan;

use crate::support::CALL;
use crate::support::any_port;
use crate::support::fault;

fn call() -> ServiceCall {
    ServiceCall {
        request_id: RequestId::new("r"),
        path: "reserve".into(),
        content_type: "text/plain".into(),
        body: b"part 7".to_vec(),
        timeout: CALL,
    }
}

/// Guards against a service whose runs are not counted, also when the answer is cut.
#[test]
fn a_service_answers_and_records_each_run() {
    let standin = ServiceStandin::start(&ServiceSettings {
        vms: vec![VmBinding {
            vm: VmId::new("s"),
            address: any_port(),
        }],
        delay: TimeSpan::from_millis(300),
        ..ServiceSettings::default()
    })
    .unwrap();
    let address = standin.addresses()[0].1;
    assert_eq!(HttpEngine.report(address, CALL).unwrap().vm, VmId::new("s"));
    let ServiceOutcome::Answered { status, body, .. } = HttpEngine.call_service(address, &call())
    else {
        panic!("no answer");
    };
    let text = String::from_utf8(body).unwrap();
    assert_eq!((status, text), (200, expected_answer("reserve", "part 7")));
    thread::scope(|scope| {
        let cut = scope.spawn(|| HttpEngine.call_service(address, &call()));
        thread::sleep(Duration::from_millis(100));
        standin.inject(&fault("s", FaultKind::Cut)).unwrap();
        assert_eq!(cut.join().unwrap(), ServiceOutcome::Failed);
    });
    let runs = standin.runs().runs;
    assert_eq!((runs[0].prompt.as_str(), runs[0].starts), ("part 7", 2));
    standin.inject(&fault("s", FaultKind::Kill)).unwrap();
    let refused = HttpEngine.call_service(address, &call());
    assert_eq!(refused, ServiceOutcome::NotSent);
}

/// Guards against a weight store that serves everyone at once.
#[test]
fn loads_are_limited_in_number_and_rate() {
    let standin = WeightStandin::start(&WeightSettings {
        load_time: TimeSpan::from_millis(100),
        concurrency: 2,
        rate: RequestRate(10),
        ..WeightSettings::default()
    })
    .unwrap();
    let base = format!("http://{}", standin.address());
    let started = Instant::now();
    thread::scope(|scope| {
        for _ in 0..6 {
            scope.spawn(|| {
                let answer = minreq::post(format!("{base}/weights/m/v1"))
                    .with_timeout(10)
                    .send();
                assert_eq!(answer.unwrap().status_code, 200);
            });
        }
    });
    // Six starts at 10/s are 500 ms apart from the first to the last.
    assert!(started.elapsed() >= Duration::from_millis(600));
    let stats = minreq::get(format!("{base}/control/stats")).send().unwrap();
    let stats: WeightStats = serde_json::from_slice(stats.as_bytes()).unwrap();
    assert_eq!((stats.loads, stats.peak), (6, 2));
}
