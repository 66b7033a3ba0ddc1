//! Tests of the groups in which a placer's knowledge is forwarded.

use std::collections::HashSet;

use chervilshunt_mesh::Peer;
use rstest::rstest;

use super::groups;

fn peers(count: u16) -> Vec<Peer> {
    let peers = (0..count).map(|number| Peer {
        instance: format!("i{number}").as_str().into(),
        address: ([10, 0, 0, 1], 7_000 + number).into(),
    });
    peers.collect()
}

#[rstest]
#[case::no_instances(0, 0, 0)]
#[case::a_few_are_sent_to_directly(9, 9, 0)]
#[case::hundreds(195, 15, 12)]
#[case::the_largest_fleet(369, 20, 18)]
fn each_instance_sends_to_about_the_square_root_of_all(
    #[case] instances: u16,
    #[case] sent_by_the_placer: usize,
    #[case] sent_by_one_other: usize,
) {
    let groups = groups(peers(instances));
    assert_eq!(groups.len(), sent_by_the_placer);
    let passed_on = groups.iter().map(|(_, rest)| rest.len()).max();
    assert_eq!(passed_on.unwrap_or(0), sent_by_one_other);
    let first = groups.iter().map(|(first, _)| first.instance.clone());
    let rest = groups.iter().flat_map(|(_, rest)| rest);
    let all: Vec<_> = first
        .chain(rest.map(|peer| peer.instance.clone()))
        .collect();
    let distinct: HashSet<_> = all.iter().collect();
    assert_eq!(
        (all.len(), distinct.len()),
        (usize::from(instances), all.len())
    );
}
