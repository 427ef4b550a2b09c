//! The settings object and the configuration that a node gets for a scenario, the same for engines in
//! virtual time and for processes.
use coveroute_engine::{Listing, ReloadedSettings, Setup};
use coveroute_shared::decode;
use serde_json::value::RawValue;
use serde_json::{json, Value};

use crate::scenario::{Effect, Group, Reports, Scenario};
use crate::world::NodeId;

fn millis(seconds: f64) -> f64 {
    seconds * 1e3
}

/// The settings object of one node.
pub fn settings(scenario: &Scenario, node: NodeId, zone: &str) -> Value {
    retuned(scenario, node, zone, false)
}

/// The settings object, or with `alternate` a changed one: operations in reverse order, objectives a tenth
/// shorter, one forward fewer.
pub fn retuned(scenario: &Scenario, node: NodeId, zone: &str, alternate: bool) -> Value {
    let zones = scenario.zones();
    let mut kinds: Vec<&str> = Vec::new();
    for workers in &scenario.workers {
        if !kinds.contains(&&*workers.kind) {
            kinds.push(&workers.kind);
        }
    }
    let platform = &scenario.platform;
    let mut operations: Vec<_> = scenario.operations.iter().collect();
    let (mut forwards, mut objective) = (platform.forwards.0, 1.0);
    if alternate {
        operations.reverse();
        (forwards, objective) = (forwards.max(2) - 1, 0.9);
    }
    let categories: Vec<Value> = operations
        .iter()
        .map(|op| {
            let effect = match op.effect {
                Effect::Idempotent => "free",
                Effect::Deduplicated => "guarded",
                Effect::NonIdempotent => "single_shot",
            };
            let group = match op.group {
                Group::All => "all",
                Group::Zone => "zone",
                Group::Cell => "cell",
            };
            json!({
                "name": op.name, "effect": effect, "group": group, "window": millis(op.window.0),
                "onTime": millis(objective * op.objective.0), "aimStretch": op.stretch.0, "deadline": millis(op.timeout.0),
                "credit": op.value.0, "lateValue": op.late_value.0,
            })
        })
        .collect();
    let kind_of = |op: &crate::scenario::Operation| {
        op.kind.as_ref().and_then(|kind| kinds.iter().position(|k| k == kind)).map_or(-1, |at| at as i64)
    };
    let source = match platform.reports {
        Reports::Answers => "answers",
        Reports::Probes => "probe",
        Reports::Never => "none",
    };
    let orgs: Vec<Value> =
        scenario.tenants.iter().map(|t| json!({ "name": t.name, "quotaRps": t.share.0 })).collect();
    json!({
        "me": node,
        "replicasOfMe": scenario.nodes.count.0,
        "zone": zone,
        "zones": zones,
        "skus": kinds,
        "categories": categories,
        "orgs": orgs,
        "goal": { "whole": 1.0, "worstClass": 0.0 },
        "familyInfo": {
            "classKind": operations.iter().map(|op| kind_of(op)).collect::<Vec<_>>(),
            "classStretch": operations.iter().map(|op| op.stretch.0).collect::<Vec<_>>(),
            "progress": millis(platform.progress.0),
            "tellsStart": platform.tells_start,
        },
        "limits": {
            "maxAttempts": forwards,
            "dialTimeout": millis(platform.dial.0),
            "connIdle": millis(platform.idle.0),
            "cancelling": platform.cancelling,
            "probing": platform.probing,
            "peers": platform.peers,
            "retryAfter": platform.pause.0 > 0.0,
            "maxRetryAfter": millis(platform.pause.0),
        },
        "registryMode": "on_request",
        "report": { "source": source, "names": ["x0", "depth", "concurrent"] },
        "rules": {
            "startCapacity": platform.cold.start.0,
            "warmUp": millis(platform.cold.warm.0),
            "overloadFactor": platform.cold.factor.0,
            "fall": millis(platform.cold.fall.0),
        },
    })
}

/// The decoded settings for an engine.
pub fn tuning(
    scenario: &Scenario,
    node: NodeId,
    zone: &str,
    alternate: bool,
) -> Result<ReloadedSettings, String> {
    let text = retuned(scenario, node, zone, alternate).to_string();
    let raw: Box<RawValue> = serde_json::from_str(&text).map_err(|e| e.to_string())?;
    let (settings, names) = decode(&raw)?;
    let mut timeouts: Vec<f64> = scenario.operations.iter().map(|op| op.timeout.0).collect();
    if alternate {
        timeouts.reverse();
    }
    Ok(ReloadedSettings { settings, names, timeouts })
}

/// The initial setup of an engine.
pub fn setup(
    scenario: &Scenario,
    node: NodeId,
    zone: &str,
    seed: u64,
    known: Listing,
) -> Result<Setup, String> {
    let ReloadedSettings { settings, names, timeouts } = tuning(scenario, node, zone, false)?;
    Ok(Setup { settings, names, seed, timeouts, known: Some(known), previous_state: None })
}

/// A listing in discovery's format; `base` is the list's clock at the scenario's start.
pub fn hosts(listing: &Listing, base: f64) -> Value {
    use coveroute::types::Standing;
    let servers: Vec<Value> = listing
        .hosts
        .iter()
        .map(|host| {
            let state = match host.standing {
                Standing::Ready => "up",
                Standing::Draining => "draining",
                Standing::Missing | Standing::Gone => "removed",
            };
            let started = if host.started > 0.0 { millis(base + host.started).round() } else { 0.0 };
            json!({
                "id": host.id, "addr": host.addr.map(|addr| addr.to_string()).unwrap_or_default(),
                "zone": host.zone, "kind": host.kind, "cell": host.cell, "state": state, "weight": 1.0,
                "started_ms": started,
            })
        })
        .collect();
    json!({ "version": listing.version, "full": listing.full, "servers": servers })
}
