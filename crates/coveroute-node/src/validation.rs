//! Validation beyond decoding: which keys a reloaded configuration must have, and the ranges of its numbers.
//! `docs/operate/daily.md` has the table.
use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

/// Keys that a reloaded file may omit even if the file in force has them.
const OPTIONAL_ON_RELOAD: [&str; 1] = ["settings.categories.aimStretch"];

/// The keys of a file, by their path from the root. For entries of a list, the keys that all entries have.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Keys(BTreeSet<String>);

impl Keys {
    /// The keys of the sections that determine how jobs are served. Others, such as the node's name, seed and known
    /// list, may be added and removed.
    pub fn of(text: &str) -> Self {
        let Ok(Value::Object(file)) = serde_json::from_str(text) else { return Keys::default() };
        let mut keys = BTreeSet::new();
        for top in ["listen", "discovery", "limits", "settings"] {
            file.get(top).into_iter().for_each(|value| collect_keys(top, value, &mut keys));
        }
        Keys(keys)
    }

    /// The first key of `other` that is missing here. This detects a truncated file, whose missing keys would otherwise
    /// silently take their defaults.
    pub fn first_missing<'a>(&self, other: &'a Keys) -> Option<&'a str> {
        let missing =
            other.0.iter().find(|key| !self.0.contains(*key) && !OPTIONAL_ON_RELOAD.contains(&key.as_str()));
        missing.map(String::as_str)
    }
}

fn collect_keys(path: &str, value: &Value, keys: &mut BTreeSet<String>) {
    keys.insert(path.to_owned());
    match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(key, value)| collect_keys(&format!("{path}.{key}"), value, keys));
        }
        Value::Array(entries) if entries.iter().all(Value::is_object) => {
            let mut seen: BTreeMap<String, usize> = BTreeMap::new();
            for entry in entries {
                let mut own = BTreeSet::new();
                collect_keys(path, entry, &mut own);
                own.into_iter().for_each(|key| *seen.entry(key).or_default() += 1);
            }
            keys.extend(seen.into_iter().filter(|seen| seen.1 == entries.len()).map(|seen| seen.0));
        }
        _ => {}
    }
}

/// A range check of a number, with its key.
pub enum Check<'a> {
    Positive(&'a str, f64),
    NonNegative(&'a str, f64),
}

/// Checks all numbers. The error names the first one out of range.
pub fn check_all(checks: &[Check]) -> Result<(), String> {
    checks.iter().try_for_each(|check| match *check {
        Check::Positive(key, value) if value.is_nan() || value <= 0.0 => {
            Err(format!("{key}: {value} is not greater than 0"))
        }
        Check::NonNegative(key, value) if value.is_nan() || value < 0.0 => {
            Err(format!("{key}: {value} is negative"))
        }
        _ => Ok(()),
    })
}
