//! The lines of the simulator's protocol; unknown keys are ignored.
use std::borrow::Cow;

use coveroute_shared::Gauge;
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

/// The kind of a line, from its `what` key.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Event {
    BeginBatch,
    OverToYou,
    Catalog,
    Init,
    Kill,
    Members,
    Submit,
    First,
    StatusNote,
    Settled,
    Expired,
    Timer,
    Health,
    Heard,
}

/// One input line. Each kind uses some of the fields; times are in milliseconds.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Line<'a> {
    pub what: Event,
    pub node_id: Option<i64>,
    pub time: Option<f64>,
    pub job: Option<u32>,
    pub copy: Option<usize>,
    #[serde(borrow)]
    pub executor: Option<Cow<'a, str>>,
    #[serde(borrow)]
    pub verdict: Option<Cow<'a, str>>,
    pub time_taken: Option<f64>,
    #[serde(default)]
    pub terminal: bool,
    pub gauge: Option<Gauge>,
    #[serde(borrow)]
    pub partition_key: Option<Cow<'a, str>>,
    #[serde(borrow)]
    pub lane: Option<Cow<'a, str>>,
    #[serde(borrow)]
    pub org: Option<Org<'a>>,
    pub ttl: Option<f64>,
    #[serde(default)]
    pub resent: bool,
    pub hint: Option<f64>,
    pub memory: Option<f64>,
    pub cookie: Option<u64>,
    pub by: Option<usize>,
    #[serde(borrow)]
    pub contents: Option<Cow<'a, str>>,
    #[serde(borrow)]
    pub scope: Option<Cow<'a, str>>,
    pub page: Option<usize>,
    pub records: Option<Vec<Record>>,
    pub rng_seed: Option<f64>,
    #[serde(borrow)]
    pub info: Option<&'a RawValue>,
}

/// A tenant's name. Deployments without tenants may send 0 instead.
#[derive(Debug)]
pub struct Org<'a>(pub Option<Cow<'a, str>>);

impl<'de: 'a, 'a> Deserialize<'de> for Org<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum NameOrNumber<'a> {
            Name(#[serde(borrow)] Cow<'a, str>),
            Number(#[allow(dead_code)] f64),
        }
        Ok(match NameOrNumber::deserialize(deserializer)? {
            NameOrNumber::Name(name) => Org(Some(name)),
            NameOrNumber::Number(_) => Org(None),
        })
    }
}

/// An executor on a catalog page.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Record {
    pub executor: String,
    pub area: Option<String>,
    pub started_at: Option<f64>,
    pub block: Option<i64>,
    pub weight: Option<f64>,
    pub hw: Option<String>,
    pub availability: Option<String>,
}
