//! Nodes listed in directory responses.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::SocketAddr;

use jaysaddle_entry::address_list::ServingNode;
use jaysaddle_entry::address_list::select_addresses;

fn caller(number: u16) -> IpAddr {
    let [high, low] = number.to_be_bytes();
    IpAddr::from([10, 200, high, low])
}

fn serving_nodes(count: u8) -> Vec<ServingNode> {
    (0..count)
        .map(|number| ServingNode {
            is_same_domain: number % 3 == 0,
            address: SocketAddr::from(([10, 0, 0, number], 80)),
        })
        .collect()
}

/// Guards against nodes that no response lists, because every response is truncated at the same node: of 82 nodes, 18
/// were missing for each failure domain.
#[test]
fn all_nodes_are_listed_equally_often() {
    let mut counts: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for number in 0..1000 {
        let addresses = select_addresses(serving_nodes(82), 64, caller(number));
        let distinct: BTreeSet<SocketAddr> = addresses.iter().copied().collect();
        assert_eq!(distinct.len(), 64);
        for address in addresses {
            *counts.entry(address).or_default() += 1;
        }
    }
    assert_eq!(counts.len(), 82);
    // Expected: 64 of 82, which is 780 of 1000, with a standard deviation of 13.
    assert!(
        counts.values().all(|count| (700..=860).contains(count)),
        "{counts:?}"
    );
}

/// Guards against callers that have to reconnect because another response, or the loss of a node, changes their list.
#[test]
fn caller_keeps_its_nodes_when_another_one_is_lost() {
    let before = select_addresses(serving_nodes(82), 64, caller(1));
    assert_eq!(before, select_addresses(serving_nodes(82), 64, caller(1)));
    let mut remaining = serving_nodes(82);
    remaining.retain(|node| node.address != before[10]);
    let after = select_addresses(remaining, 64, caller(1));
    let kept = before
        .iter()
        .filter(|address| after.contains(address))
        .count();
    assert_eq!(kept, 63);
}

/// Guards against a response without some of the nodes, or with those of another failure domain first.
#[test]
fn few_nodes_are_all_listed() {
    let addresses = select_addresses(serving_nodes(7), 64, caller(1));
    assert_eq!(addresses.len(), 7);
    assert_eq!(addresses[0], SocketAddr::from(([10, 0, 0, 0], 80)));
    assert_eq!(addresses[2], SocketAddr::from(([10, 0, 0, 6], 80)));
}
