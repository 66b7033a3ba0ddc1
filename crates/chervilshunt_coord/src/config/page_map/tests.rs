//! Heads keep all their pages when they are written and read, including heads written by earlier
//! versions.

use std::collections::BTreeMap;

use chervilshunt_model::ChangeId;
use rstest::rstest;
use serde_json::{Value, json};

use super::{PageKey, PageStamp};
use crate::config::HeadRecord;

/// Maximum size in bytes of the pages of a full configuration in the head. Each change sends them
/// to each instance twice.
const MAX_PAGES_BYTES: usize = 6_300;
const PAGES: usize = 257;

fn head<'a>(keys: impl IntoIterator<Item = &'a str>) -> HeadRecord {
    let stamp = |key: &str| PageStamp::of(key, ChangeId::from_u128(7));
    HeadRecord {
        pages: keys
            .into_iter()
            .map(|key| (PageKey::new(key), stamp(key)))
            .collect(),
        ..HeadRecord::default()
    }
}

#[rstest]
#[case::none(&[])]
#[case::common(&["common"])]
#[case::both(&["common", "adapters-00", "adapters-ff"])]
#[case::alike(&["adapters", "adapters-", "-adapters", "-", "", "a-b-c", "a-bc"])]
fn pages_survive_a_round_trip(#[case] keys: &[&str]) {
    let head = head(keys.iter().copied());
    let text = serde_json::to_string(&head).expect("it can be written");
    let read: HeadRecord = serde_json::from_str(&text).expect("and read");
    assert_eq!(read, head);
}

/// Guards against a fleet that cannot read its configuration after an upgrade and takes no work.
/// The platform then still has the head written by the earlier version, with full keys and with
/// stamps in hexadecimal.
#[test]
fn reads_the_head_of_an_earlier_version() {
    let head = head(["common", "adapters-00"]);
    let pages = head.pages.iter();
    let pages: BTreeMap<&str, String> = pages
        .map(|(key, stamp)| (key.as_str(), stamp.to_string()))
        .collect();
    let mut earlier = serde_json::to_value(&head).expect("it can be written");
    earlier["pages"] = json!(pages);
    let read: HeadRecord = serde_json::from_value(earlier).expect("it can be read");
    assert_eq!(read, head);
}

#[rstest]
#[case::no_text(json!(7))]
#[case::short(json!("AAAA"))]
#[case::long(json!("AAAAAAAAAAAAAAAAAAAA"))]
#[case::no_base64(json!("AAAAAAAAAAAAAAA!"))]
#[case::hexadecimal(json!("0123.xyz"))]
fn refuses_a_malformed_stamp(#[case] stamp: Value) {
    let mut head = serde_json::to_value(head(["common"])).expect("it can be written");
    head["pages"][""]["common"] = stamp;
    assert!(serde_json::from_value::<HeadRecord>(head).is_err());
}

#[test]
fn pages_of_a_full_configuration_stay_within_the_size_limit() {
    let keys: Vec<String> = (1..PAGES)
        .map(|number| format!("adapters-{:02x}", number - 1))
        .chain(["common".to_owned()])
        .collect();
    let full = head(keys.iter().map(String::as_str));
    assert_eq!(full.pages.len(), PAGES);
    let bytes = |head: &HeadRecord| serde_json::to_string(head).map(|text| text.len());
    let full = bytes(&full).expect("it can be written");
    let empty = bytes(&head([])).expect("it can be written");
    assert!(full - empty <= MAX_PAGES_BYTES, "{} bytes", full - empty);
}
