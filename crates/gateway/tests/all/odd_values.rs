//! Configurations and entries that decode but hold odd values.

use std::rc::Rc;

use jaysaddle_fleet::table::BackendTable;
use jaysaddle_gateway::choice::QueryWork;
use jaysaddle_gateway::choice::TargetOutcome;
use jaysaddle_gateway::choice::TargetQuery;
use jaysaddle_gateway::cold_servers::ColdBound;
use jaysaddle_gateway::gateway::RequestGateway;
use jaysaddle_gateway::request_rank::RequestRank;
use jaysaddle_gateway::settings::GatewaySettings;
use jaysaddle_gateway::settings::PacingSettings;
use jaysaddle_gateway::target::ServerNumber;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::ServiceId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::serving::ServingConfig;
use jaysaddle_types::units::RequestLimit;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use quickcheck::QuickCheck;

use crate::fixture::ENGINE_SERVICE;
use crate::fixture::GatewayFixture;
use crate::fixture::PLAIN_SERVICE;
use crate::fixture::add_group;
use crate::fixture::config;
use crate::fixture::entry;

/// Takes odd values in the order of random picks.
struct OddValues<'a> {
    picks: std::slice::Iter<'a, u8>,
}

impl OddValues<'_> {
    fn pick<T: Copy>(&mut self, values: &[T]) -> T {
        let pick = self.picks.next().copied().unwrap_or(0);
        values[usize::from(pick) % values.len()]
    }

    fn count(&mut self) -> u32 {
        self.pick(&[6, 0, 1, 1 << 20, u32::MAX])
    }

    fn number(&mut self) -> f64 {
        self.pick(&[1.0, 0.0, -1.0, 5e-324, 1e300, -1e300])
    }

    /// Times as the adapter bounds them.
    fn time(&mut self) -> TimeSpan {
        TimeSpan(self.pick(&[300, 0, 1, 86_400_000]))
    }
}

fn odd_config(odd: &mut OddValues<'_>) -> ServingConfig {
    let mut config = config();
    for route in &mut config.routes {
        (route.timeout, route.latency_target) = (odd.time(), odd.time());
        (route.priority, route.max_attempts) = (odd.count(), odd.count());
        for (_, weight) in &mut route.targets {
            *weight = odd.count();
        }
    }
    for service in &mut config.services {
        service.max_connections = odd.count();
        (service.cold_rate, service.cold_time) = (odd.number(), odd.time());
        let Some(engine) = &mut service.engine else {
            continue;
        };
        engine.slots.0 = odd.pick(&[16, 0, 1, 1 << 20]);
        (engine.loads_per_second, engine.concurrent_loads) =
            (odd.number(), odd.pick(&[7, 0, usize::MAX]));
        (engine.prompt_token_ms, engine.output_token_ms) = (odd.number(), odd.number());
        (engine.step_ms, engine.sequence_ms) = (odd.number(), odd.number());
        (engine.steps_per_event, engine.typical_output_tokens) = (odd.count(), odd.count());
        engine.models[0].work_share = odd.number();
        engine.models[0].time_factor = odd.number();
    }
    config
}

/// Guards against a value of a configuration, an entry or a response that ends the process when requests are sent.
#[test]
fn requests_are_handled_with_odd_values() {
    fn check(picks: Vec<u8>) -> bool {
        let mut odd = OddValues {
            picks: picks.iter(),
        };
        let mut fixture = GatewayFixture::new(3);
        let mut table = BackendTable::default();
        for number in 0..3 {
            add_group(&mut table, number);
        }
        let mut plain = entry("plain0", PLAIN_SERVICE);
        plain.slots.0 = odd.count();
        plain.started = odd.pick(&[1, 0, u64::MAX]);
        plain.cold_left = odd.time();
        table.put(plain, Timestamp(2));
        let config = Rc::new(odd_config(&mut odd));
        let settings = GatewaySettings {
            pacing: odd.pick(&[Some(PacingSettings::default()), None]),
            ..GatewaySettings::default()
        };
        fixture.gateway = RequestGateway::new(settings, NodeId::new("node"), 1);
        fixture.gateway.set_config(config, &table);
        let bound = ColdBound {
            ratio: 1.5,
            slack: 5.0,
        };
        fixture.gateway.set_cold_bound(Some(bound));
        fixture.gateway.record_cold_entries(&table, Timestamp(500));
        let started = Timestamp(1000);
        for number in 0..3 {
            let server = ServerNumber::of(&VmId::new(format!("vm{number}-0")), 1);
            let limit = odd.pick(&[None, Some(0.0), Some(5e-324), Some(1.0), Some(f64::MAX)]);
            let limit = limit.and_then(RequestLimit::from_per_second);
            fixture
                .gateway
                .record_limit(server, limit, started, started);
        }
        for turn in 0..40 {
            let now = 1000 + turn * 50;
            fixture
                .gateway
                .update_cold_shares(&fixture.peers, Timestamp(now));
            if turn % 10 == 9 {
                fixture.service = ServiceId::new(PLAIN_SERVICE);
            }
            if let Some(refusal) = fixture.refusal(now) {
                fixture.gateway.retry_after(refusal);
            }
            let service = ServiceId::new(ENGINE_SERVICE);
            let query = TargetQuery {
                service: &service,
                model: Some(&fixture.model),
                latency_target: odd.time(),
                tried: &[],
                has_started: odd.pick(&[false, true]),
                is_caller_retry: odd.pick(&[false, true]),
                work: Some(QueryWork {
                    rank: RequestRank {
                        account: odd.count(),
                        route: odd.count(),
                    },
                    account: None,
                    prompt_tokens: odd.count(),
                }),
            };
            let gateway = &mut fixture.gateway;
            match gateway.choose(&query, &fixture.peers, Timestamp(now)) {
                Ok(choice) => {
                    let record =
                        gateway.record_start(&choice.target, choice.is_late, Timestamp(now));
                    fixture.in_flight.push((choice.target, record));
                }
                Err(refusal) => {
                    gateway.retry_after(refusal);
                }
            }
            let tried: Vec<_> = fixture.send(&[], now).into_iter().collect();
            fixture.retry_refused(now);
            fixture.send(&tried, now);
            if fixture.in_flight.len() > 2 {
                let outcome = odd.pick(&[TargetOutcome::Answered, TargetOutcome::Failed]);
                fixture.end(2, outcome, now + 20);
            }
        }
        true
    }
    QuickCheck::new()
        .tests(1000)
        .quickcheck(check as fn(Vec<u8>) -> bool);
}
