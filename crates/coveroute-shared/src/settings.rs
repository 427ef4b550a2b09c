//! Decodes the settings object that an instance is started with, converting its terms and its milliseconds to the terms
//! of `coveroute::types` and to seconds.
use coveroute::types::{Budget, Cold, Effect, Group, Operation, Reports, Settings, Sizes};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::position;

/// The names that the settings refer to by number. Names that appear later get the next numbers.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub operations: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Info {
    categories: Vec<Category>,
    #[serde(default)]
    callers: Callers,
    #[serde(default)]
    family_info: FamilyInfo,
    #[serde(default)]
    goal: Goal,
    limits: Limits,
    me: usize,
    #[serde(default)]
    orgs: Vec<OrgInfo>,
    #[serde(default)]
    over_share_worth: Option<f64>,
    #[serde(default)]
    penalties: Penalties,
    registry_mode: String,
    replicas_of_me: usize,
    report: ReportInfo,
    rules: Rules,
    #[serde(default)]
    skus: Vec<String>,
    #[serde(default)]
    value_by: String,
    #[serde(default)]
    weights: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    zones: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Category {
    name: String,
    effect: String,
    #[serde(default)]
    group: String,
    #[serde(default)]
    window: f64,
    #[serde(default)]
    late_value: f64,
    on_time: f64,
    aim_stretch: Option<f64>,
    credit: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct FamilyInfo {
    class_kind: Vec<i64>,
    class_stretch: Vec<f64>,
    progress: f64,
    tells_start: bool,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Callers {
    marks_retry: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Limits {
    max_attempts: usize,
    #[serde(default)]
    second_copies: bool,
    #[serde(default)]
    conn_idle: f64,
    #[serde(default)]
    max_retry_after: f64,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    cancelling: bool,
    #[serde(default)]
    peers: bool,
    #[serde(default)]
    probing: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct OrgInfo {
    name: String,
    #[serde(default)]
    quota_rps: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Goal {
    whole: f64,
    worst_class: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Penalties {
    connection: f64,
    cross_zone: f64,
}

#[derive(Deserialize)]
struct ReportInfo {
    source: String,
    /// The fields that reports contain, if stated.
    names: Option<Vec<String>>,
}

impl ReportInfo {
    /// When executors send load reports. Reports that lack the free capacity are not used: no executor would ever appear
    /// to have any, and nothing would be sent.
    fn reports(&self) -> Reports {
        const FREE_CAPACITY: &str = "x0"; // Its name in the settings, whatever names the reports use.
        match self.source.as_str() {
            _ if self.names.as_ref().is_some_and(|names| names.iter().all(|name| name != FREE_CAPACITY)) => {
                Reports::Never
            }
            "answers" => Reports::Answers,
            "probe" => Reports::Probes,
            _ => Reports::Never,
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Rules {
    start_capacity: f64,
    warm_up: f64,
    overload_factor: f64,
    fall: f64,
    #[serde(default)]
    only_draining_binds: bool,
    #[serde(default)]
    ask_within: f64,
    extra_floor: Option<f64>,
    extra_per_request: Option<f64>,
    look_back: Option<f64>,
    #[serde(default)]
    late_shedding: bool,
}

fn operation(at: usize, category: &Category, family: &FamilyInfo) -> Result<Operation, String> {
    let group = match category.group.as_str() {
        "zone" => Group::Zone,
        "cell" => Group::Cell,
        _ => Group::All,
    };
    let effect = match category.effect.as_str() {
        "free" => Effect::Idempotent,
        "guarded" => Effect::Deduplicated { group, window: category.window / 1e3 },
        "single_shot" => Effect::NonIdempotent,
        other => return Err(format!("unknown effect {other}")),
    };
    if !(0.0..=1.0).contains(&category.late_value) {
        return Err(format!("{}: a late value of {} is no part of one", category.name, category.late_value));
    }
    let stretch = family.class_stretch.get(at).copied().or(category.aim_stretch);
    Ok(Operation {
        effect,
        objective: category.on_time / 1e3,
        stretch: stretch.unwrap_or(0.0),
        value: category.credit,
        late_value: category.late_value,
        kind: family.class_kind.get(at).and_then(|kind| usize::try_from(*kind).ok()),
    })
}

/// The budget of forwards, if the settings have at least one of its two parts. It then also requires its time span.
fn budget(rules: &Rules) -> Result<Option<Budget>, String> {
    let parts = [("extraFloor", rules.extra_floor), ("extraPerRequest", rules.extra_per_request)];
    if parts.iter().all(|part| part.1.is_none()) {
        return Ok(None);
    }
    let checked = |name: &str, value: f64, least: f64| match value.is_finite() && value >= least {
        true => Ok(value),
        false => Err(format!("settings.rules.{name}: {value} is out of range for the budget of forwards")),
    };
    let [floor, share] = parts.map(|(name, value)| checked(name, value.unwrap_or(0.0), 0.0));
    let span = rules.look_back.ok_or("settings.rules.lookBack: required for the budget of forwards")?;
    Ok(Some(Budget { floor: floor?, share: share?, span: checked("lookBack", span, 1.0)? / 1e3 }))
}

/// Decodes the settings object into settings and the names behind their numbers.
pub fn decode(info: &RawValue) -> Result<(Settings, Names), String> {
    let mut info: Info = serde_json::from_str(info.get()).map_err(|e| format!("settings: {e}"))?;
    let numbered = info.categories.iter().enumerate();
    let operations = numbered.map(|(at, c)| operation(at, c, &info.family_info)).collect::<Result<_, _>>()?;
    let zone = position(&mut info.zones, &info.zone);
    let settings = Settings {
        node_index: info.me,
        nodes: info.replicas_of_me,
        zone,
        operations,
        quotas: info.orgs.iter().map(|org| org.quota_rps).collect(),
        over_share_value: info.over_share_worth.unwrap_or(1.0),
        goal_whole: info.goal.whole,
        goal_worst_operation: info.goal.worst_class,
        value_by_work: info.value_by == "work",
        cross_zone_price: info.penalties.cross_zone,
        polls_list: info.registry_mode == "on_request",
        only_draining: info.rules.only_draining_binds,
        poll_within: Some(info.rules.ask_within / 1e3).filter(|within| *within > 0.0),
        budget: budget(&info.rules)?,
        full_may_have_run: info.rules.late_shedding,
        second_copies: info.limits.second_copies,
        idle: info.limits.conn_idle / 1e3,
        connection_price: info.penalties.connection,
        cold: Cold {
            start: info.rules.start_capacity,
            warm: info.rules.warm_up / 1e3,
            factor: info.rules.overload_factor,
            fall: info.rules.fall / 1e3,
        },
        max_forwards: info.limits.max_attempts,
        cancelling: info.limits.cancelling,
        probing: info.limits.probing,
        peers: info.limits.peers,
        max_pause: if info.limits.retry_after { info.limits.max_retry_after / 1e3 } else { 0.0 },
        clients_mark_retries: info.callers.marks_retry,
        reports: info.report.reports(),
        sizes: match info.weights.as_str() {
            "nominal" => Sizes::Listed,
            "rough" => Sizes::Rough,
            "live" => Sizes::Live,
            _ => Sizes::Never,
        },
        progress: info.family_info.progress / 1e3,
        reports_starts: info.family_info.tells_start,
    };
    let names = Names {
        operations: info.categories.into_iter().map(|c| c.name).collect(),
        tenants: info.orgs.into_iter().map(|o| o.name).collect(),
        zones: info.zones,
        kinds: info.skus,
    };
    Ok((settings, names))
}
