//! Tests of which connections a new one with the same peer supersedes.

use rstest::rstest;

use super::{Identity, PeerHello, is_superseded};
use crate::handshake::ProcessId;

#[rstest]
#[case::peer_opens_again(false, 0, false, true, 5, true)]
#[case::peer_knew_ours_and_it_ended(true, 5, false, true, 5, true)]
#[case::both_open_at_once(true, 6, false, true, 5, false)]
#[case::peer_restarted_and_opens(true, 6, false, false, 0, true)]
#[case::peer_restarted_and_we_open(false, 0, true, false, 1, true)]
#[case::we_open_while_peer_has(false, 0, true, true, 7, false)]
fn an_earlier_connection(
    #[case] earlier_dialled: bool,
    #[case] peer_serial: u64,
    #[case] new_dialled: bool,
    #[case] same_process: bool,
    #[case] hello_serial: u64,
    #[case] superseded: bool,
) {
    let process = ProcessId::random();
    let earlier = Identity {
        serial: 1,
        peer: "b".into(),
        peer_process: process,
        peer_serial,
        dialled: earlier_dialled,
    };
    let hello = PeerHello {
        instance: "b".into(),
        process: if same_process {
            process
        } else {
            ProcessId::random()
        },
        serial: hello_serial,
    };
    assert_eq!(is_superseded(&earlier, &hello, new_dialled), superseded);
}
