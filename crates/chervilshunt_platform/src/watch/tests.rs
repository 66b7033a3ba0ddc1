//! Tests of the versions known to a watch, against a model collection, and of the line buffer.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use proptest::prelude::*;
use rstest::rstest;

use super::known::KnownVersions;
use super::lines::LineBuffer;
use crate::{ResourceVersion, VersionList};

const NAMES: [&str; 4] = ["a", "b", "c", "d"];

/// A change to the collection, or an event at the watch.
#[derive(Clone, Copy, Debug)]
enum Step {
    Put {
        name: usize,
        received: bool,
    },
    Delete {
        name: usize,
        received: bool,
    },
    Bookmark,
    /// The watch lists the collection at the state of `age` versions ago.
    Relist {
        age: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..NAMES.len(), any::<bool>()).prop_map(|(name, received)| Step::Put { name, received }),
        2 => (0..NAMES.len(), any::<bool>()).prop_map(|(name, received)| Step::Delete { name, received }),
        1 => Just(Step::Bookmark),
        1 => (0_u64..3).prop_map(|age| Step::Relist { age }),
    ]
}

/// The collection with all its past states, by version.
#[derive(Default)]
struct Collection {
    states: Vec<BTreeMap<Arc<str>, u64>>,
}

impl Collection {
    fn version(&self) -> u64 {
        self.states.len() as u64
    }

    fn state(&self, version: u64) -> BTreeMap<Arc<str>, u64> {
        let index = usize::try_from(version).ok().and_then(|v| v.checked_sub(1));
        let state = index.and_then(|index| self.states.get(index));
        state.cloned().unwrap_or_default()
    }

    fn listed(&self, version: u64) -> VersionList {
        let state = self.state(version).into_iter();
        VersionList {
            resource_version: ResourceVersion::new(version),
            items: state
                .map(|(name, version)| (name, ResourceVersion::new(version)))
                .collect(),
        }
    }
}

/// The receiver of a watch, which asserts that the version of an object never decreases.
#[derive(Default)]
struct Receiver {
    view: BTreeMap<Arc<str>, u64>,
    highest: HashMap<Arc<str>, u64>,
}

impl Receiver {
    fn applied(&mut self, name: &Arc<str>, version: u64) {
        let highest = self.highest.entry(Arc::clone(name)).or_default();
        assert!(*highest < version, "{name} went back to version {version}");
        *highest = version;
        self.view.insert(Arc::clone(name), version);
    }

    fn relisted(&mut self, known: &mut KnownVersions, listed: &VersionList) -> bool {
        let Ok(difference) = known.relist(listed) else {
            return false;
        };
        for name in difference.deleted {
            assert!(self.view.remove(&name).is_some(), "{name} was not there");
        }
        for index in difference.applied {
            let (name, version) = &listed.items[index];
            self.applied(name, version.get());
        }
        true
    }
}

proptest! {
    /// Events are lost, and lists are stale. No object returns to an older version, missed events
    /// are detected if and only if the view is wrong, and a current list corrects the view.
    #[test]
    fn versions_never_decrease_and_a_list_corrects_the_view(steps in prop::collection::vec(step(), 1..60)) {
        let mut collection = Collection::default();
        let mut known = KnownVersions::default();
        let mut receiver = Receiver::default();
        receiver.relisted(&mut known, &collection.listed(0));
        for step in steps {
            let version = collection.version();
            let next = ResourceVersion::new(version + 1);
            let mut state = collection.state(version);
            match step {
                Step::Put { name, received } => {
                    let name: Arc<str> = NAMES[name].into();
                    state.insert(Arc::clone(&name), next.get());
                    collection.states.push(state);
                    if received && known.apply(&name, next) {
                        receiver.applied(&name, next.get());
                    }
                }
                Step::Delete { name, received } => {
                    if state.remove(NAMES[name]).is_none() {
                        continue;
                    }
                    collection.states.push(state);
                    if received && known.delete(NAMES[name], next) {
                        receiver.view.remove(NAMES[name]);
                    }
                }
                Step::Bookmark => known.advance(ResourceVersion::new(version)),
                Step::Relist { age } => {
                    let listed = collection.listed(version.saturating_sub(age));
                    receiver.relisted(&mut known, &listed);
                }
            }
            let listed = collection.listed(collection.version());
            let is_right = receiver.view == collection.state(collection.version());
            prop_assert_eq!(known.missed(&listed) == 0, is_right);
        }
        let listed = collection.listed(collection.version());
        prop_assert!(receiver.relisted(&mut known, &listed));
        prop_assert_eq!(receiver.view, collection.state(collection.version()));
    }
}

/// An event that was in transit while a list was made arrives after the list and must be ignored.
#[test]
fn an_event_older_than_the_list_is_ignored() {
    let name: Arc<str> = "a".into();
    let mut known = KnownVersions::default();
    let listed = VersionList {
        resource_version: ResourceVersion::new(9),
        items: Vec::new(),
    };
    assert!(known.relist(&listed).is_ok());
    assert!(!known.apply(&name, ResourceVersion::new(5)));
    assert_eq!(known.resume(), Some(ResourceVersion::new(9)));
}

#[rstest]
#[case::one(&["{}\n"], &["{}"])]
#[case::cut_anywhere(&["{\"a\"", ":1", "}", "\n{", "}\n"], &["{\"a\":1}", "{}"])]
#[case::many_in_a_frame(&["1\n2\n3\n4"], &["1", "2", "3"])]
#[case::empty_line(&["\n", "1\n"], &["", "1"])]
fn lines_are_split_at_newlines(#[case] frames: &[&str], #[case] lines: &[&str]) {
    let mut buf = LineBuffer::default();
    let mut read = Vec::new();
    for frame in frames {
        assert!(buf.push(frame.as_bytes()));
        while let Some(line) = buf.next_line() {
            read.push(String::from_utf8(line.to_vec()).expect("it is text"));
        }
    }
    assert_eq!(read, lines);
}

/// A response without newlines must not exhaust the memory.
#[test]
fn an_endless_line_is_refused() {
    let mut buf = LineBuffer::default();
    let frame = vec![b'x'; 1024 * 1024];
    let accepted = (0..10).take_while(|_| buf.push(&frame)).count();
    assert_eq!(accepted, 4);
}
