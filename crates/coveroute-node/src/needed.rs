//! Needed: which keys a configuration must have, and which figures must hold, beyond what decoding sees to.
//! `docs/operate/daily.md` has the table.
use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

/// Keys that the settings may lack whatever another file had.
const FREE: [&str; 1] = ["settings.categories.aimStretch"];

/// The keys that the file has, by their path from the top; of entries in a list, those that all of them have.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Keys(BTreeSet<String>);

impl Keys {
    /// Of what tells how jobs are served. What names a node or what it once knew may come and go.
    pub fn of(text: &str) -> Self {
        let Ok(Value::Object(file)) = serde_json::from_str(text) else { return Keys::default() };
        let mut keys = BTreeSet::new();
        for top in ["listen", "discovery", "limits", "settings"] {
            file.get(top).into_iter().for_each(|value| gather(top, value, &mut keys));
        }
        Keys(keys)
    }

    /// The first key that `other` has and this one lacks. Guards against a file that was cut: what stands in
    /// for a missing key at a first start would hide the loss.
    pub fn lacks<'a>(&self, other: &'a Keys) -> Option<&'a str> {
        let lacked = other.0.iter().find(|key| !self.0.contains(*key) && !FREE.contains(&key.as_str()));
        lacked.map(String::as_str)
    }
}

fn gather(path: &str, value: &Value, keys: &mut BTreeSet<String>) {
    keys.insert(path.to_owned());
    match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(key, value)| gather(&format!("{path}.{key}"), value, keys));
        }
        Value::Array(entries) if entries.iter().all(Value::is_object) => {
            let mut seen: BTreeMap<String, usize> = BTreeMap::new();
            for entry in entries {
                let mut own = BTreeSet::new();
                gather(path, entry, &mut own);
                own.into_iter().for_each(|key| *seen.entry(key).or_default() += 1);
            }
            keys.extend(seen.into_iter().filter(|seen| seen.1 == entries.len()).map(|seen| seen.0));
        }
        _ => {}
    }
}

/// A figure that must be over 0, or at least 0, by its key.
pub enum Figure<'a> {
    Over(&'a str, f64),
    Least(&'a str, f64),
}

/// Whether all hold; if not, the first that does not, as a line.
pub fn fit(figures: &[Figure]) -> Result<(), String> {
    figures.iter().try_for_each(|figure| match *figure {
        Figure::Over(key, value) if value.is_nan() || value <= 0.0 => {
            Err(format!("{key}: {value} is not over 0"))
        }
        Figure::Least(key, value) if value.is_nan() || value < 0.0 => {
            Err(format!("{key}: {value} is below 0"))
        }
        _ => Ok(()),
    })
}
