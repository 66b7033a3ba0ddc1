//! Checks that the raw settings and the table of keys hold the same keys.

use std::collections::BTreeSet;

use serde_json::Value;

use super::RawSettings;
use crate::keys::SECTIONS;

#[test]
fn every_raw_field_has_its_key() {
    let raw = serde_json::to_value(RawSettings::default()).expect("it can be written");
    let sections = raw.as_object().expect("it is an object");
    let fields: BTreeSet<_> = sections
        .iter()
        .flat_map(|(section, keys)| {
            let keys = keys.as_object().map(|keys| keys.keys());
            keys.into_iter()
                .flatten()
                .map(move |key| format!("{section}.{key}"))
        })
        .collect();
    let keys: BTreeSet<_> = SECTIONS
        .iter()
        .flat_map(|section| {
            let keys = section.keys.iter();
            keys.map(|key| format!("{}.{}", section.name, key.name))
        })
        .collect();
    assert_eq!(fields, keys);
    assert!(sections.values().all(Value::is_object));
}
