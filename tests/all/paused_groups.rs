//! Groups whose backend servers, or the node that controls them, do nothing for a while.

use std::thread;
use std::time::Duration;

use jaysaddle_platform_standin::StandinWork;
use jaysaddle_platform_standin::target_with_work;

use crate::platform_nodes::KEY;
use crate::platform_nodes::PlatformNodes;

/// Number of streams in each round.
const STREAM_COUNT: usize = 8;

/// Sends streams through `node`, calls `meanwhile`, and asserts that all streams are whole and no group was ended.
fn assert_groups_stay(
    nodes: &PlatformNodes,
    node: usize,
    event_ms: u64,
    meanwhile: impl FnOnce(&PlatformNodes),
) {
    let groups = nodes.standin.serving_groups();
    let joins = nodes.standin.joins().len();
    let work = StandinWork {
        events: 3000 / event_ms,
        event_interval: Duration::from_millis(event_ms),
        is_plain_reliable: true,
        ..StandinWork::default()
    };
    let target = target_with_work("/drafts/x", &work);
    let last = format!("id: {}\n", work.events);
    let is_whole = &|number: usize| {
        let response = nodes.request(node, &format!("s{number}"), &target, KEY);
        response.status_code == 200 && response.as_str().is_ok_and(|text| text.contains(&last))
    };
    let whole = thread::scope(|scope| {
        let callers = (0..STREAM_COUNT).map(|number| scope.spawn(move || is_whole(number)));
        let callers: Vec<_> = callers.collect();
        thread::sleep(Duration::from_millis(500));
        meanwhile(nodes);
        let ended = callers
            .into_iter()
            .map(|caller| caller.join().expect("no caller panics"));
        ended.filter(|is_whole| *is_whole).count()
    });
    let logs: String = (0..nodes.nodes.len()).map(|node| nodes.log(node)).collect();
    let lines: Vec<&str> = logs
        .lines()
        .filter(|line| line.contains("event=placement group=") || line.contains("event=order"))
        .collect();
    println!("{whole} of {STREAM_COUNT} streams whole");
    let is_ended = lines
        .iter()
        .any(|line| line.contains("decision=dissolve") || line.contains("order=\"leave"));
    assert!(!is_ended, "{}", lines.join("\n"));
    assert_eq!(whole, STREAM_COUNT, "{}", lines.join("\n"));
    assert_eq!(nodes.standin.serving_groups(), groups);
    assert_eq!(nodes.standin.joins().len(), joins);
}

/// Guards against sound groups that are ordered to leave, with their streams, because their backend servers do not get the
/// processor for a while. In an incident of December 2026, streams of such groups ended in the middle.
#[test]
fn paused_members_and_leaders_keep_their_groups() {
    let nodes = PlatformNodes::start(1, 4);
    nodes.wait_serving(2);
    let groups = nodes.standin.serving_groups();
    for (rank, millis) in [(0, 1000), (1, 4000), (0, 2500)] {
        assert_groups_stay(&nodes, 0, 60, |nodes| {
            for group in &groups {
                nodes
                    .standin
                    .pause(&group[rank], Duration::from_millis(millis));
            }
        });
        nodes.wait_serving(2);
    }
}

/// Guards against groups that are ended because the node that controls them did not run while it probed them.
#[test]
fn groups_outlast_pauses_of_the_lease_holder() {
    let nodes = PlatformNodes::start(2, 4);
    nodes.wait_serving(2);
    let holder = usize::from(!nodes.log(0).contains("event=lease_acquired"));
    // Streams with long gaps between events look stalled, so that their groups are probed.
    assert_groups_stay(&nodes, 1 - holder, 1000, |nodes| {
        for round in 0..12 {
            nodes.nodes[holder].pause();
            thread::sleep(Duration::from_millis(200 + 60 * (round % 4)));
            nodes.nodes[holder].resume();
            thread::sleep(Duration::from_millis(40 + 15 * round));
        }
    });
}
