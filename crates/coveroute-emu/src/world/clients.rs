//! Clients: what they ask for, when, and what they do with an answer. Arrivals follow the seed alone, so that two
//! runs of one seed with other decisions are asked for the same.
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1, StandardNormal};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use crate::scenario::{Effect, Group, Operation, Scenario, What};
use crate::world::referee::{Final, Terms};
use crate::world::{luck, NodeId, TryId};

pub type AskId = usize;

/// What a client wants; its tries are joined to it.
#[derive(Clone, Debug)]
pub struct Ask {
    pub op: usize,
    pub tenant: Option<usize>,
    pub work: f64,
    pub hint: Option<f64>,
    pub born: f64,
    pub tries: usize,
    /// Connections that were refused in a row.
    pub refused: usize,
    pub done: bool,
    /// Times that a worker ran it to its end.
    pub effects: u32,
}

#[derive(Clone, Copy, Debug)]
pub struct Try {
    pub ask: AskId,
    pub node: NodeId,
    pub at: f64,
    pub deadline: f64,
    pub over: bool,
}

/// How an ask ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    InTime,
    Late,
    Refused,
    Failed,
    Left,
}

/// What a client does after an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Then {
    Over(End),
    Again { at: f64 },
}

/// Asked for and served, in value; and how the asks ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Sums {
    pub asked: f64,
    pub served: f64,
    pub asks: u64,
    pub in_time: u64,
    pub late: u64,
    pub refused: u64,
    pub failed: u64,
    pub left: u64,
}

impl Sums {
    pub fn service(&self) -> f64 {
        if self.asked > 0.0 {
            self.served / self.asked
        } else {
            1.0
        }
    }

    fn add(&mut self, value: f64, late_value: f64, end: End) {
        let part = match end {
            End::InTime => 1.0,
            End::Late => late_value,
            End::Refused | End::Failed | End::Left => 0.0,
        };
        // Who leaves of his own will has not been failed.
        self.asked += if end == End::Left { 0.0 } else { value };
        self.served += part * value;
        self.asks += 1;
        let count = match end {
            End::InTime => &mut self.in_time,
            End::Late => &mut self.late,
            End::Refused => &mut self.refused,
            End::Failed => &mut self.failed,
            End::Left => &mut self.left,
        };
        *count += 1;
    }
}

/// Service of the whole, by operation, by tenant and by ten seconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Service {
    pub whole: Sums,
    pub operations: Vec<(String, Sums)>,
    pub tenants: Vec<(String, Sums)>,
    pub tens: Vec<Sums>,
}

#[derive(Debug)]
pub struct Clients {
    pub asks: Vec<Ask>,
    pub tries: Vec<Try>,
    pub service: Service,
    pub open: usize,
    streams: Vec<Pcg64Mcg>,
    most: f64,
}

/// A try with less time than this is not worth sending.
const LEAST: f64 = 0.1;

impl Clients {
    pub fn new(scenario: &Scenario, seed: u64) -> Self {
        let stream = |op: usize| Pcg64Mcg::seed_from_u64(seed.wrapping_mul(1009).wrapping_add(op as u64));
        let named = |names: Vec<&String>| names.into_iter().map(|n| (n.clone(), Sums::default())).collect();
        let service = Service {
            operations: named(scenario.operations.iter().map(|op| &op.name).collect()),
            tenants: named(scenario.tenants.iter().map(|tenant| &tenant.name).collect()),
            ..Service::default()
        };
        let surges = scenario.faults.iter().filter(|f| f.what == What::Surge);
        let most = surges.map(|f| f.strength().max(1.0)).product::<f64>().max(1.0);
        let streams = (0..scenario.operations.len()).map(stream).collect();
        Clients { asks: Vec::new(), tries: Vec::new(), service, open: 0, streams, most }
    }

    /// The next moment at which one may come.
    pub fn next(&mut self, scenario: &Scenario, now: f64, op: usize) -> Option<f64> {
        let rate = scenario.operations[op].rate.0 * self.most;
        let gap: f64 = Exp1.sample(&mut self.streams[op]);
        Some(now + gap / rate).filter(|at| rate > 0.0 && *at < scenario.seconds.0)
    }

    /// One comes, unless there is no surge now that it would have been of.
    pub fn ask(&mut self, scenario: &Scenario, now: f64, op: usize, surge: f64, heavy: f64) -> Option<AskId> {
        let stream = &mut self.streams[op];
        let terms = &scenario.operations[op];
        // All draws are made, whether or not it comes: the rest of the stream stays the same.
        let (comes, heavier, part): (f64, f64, f64) = (stream.random(), stream.random(), stream.random());
        let (spread, noise): (f64, f64) = (StandardNormal.sample(stream), StandardNormal.sample(stream));
        if comes >= surge / self.most {
            return None;
        }
        let times = heavy * if heavier < terms.heavy.0 { terms.heavy_times.0 } else { 1.0 };
        let work = terms.work.0 * (spread * terms.spread.0).exp() * times;
        let hint = terms.hint.map(|hint| work * (noise * hint.0).exp());
        let mut sum = 0.0;
        let tenant = scenario.tenants.iter().position(|tenant| {
            sum += tenant.part.0;
            part < sum
        });
        let (tries, refused, done, effects) = (0, 0, false, 0);
        self.asks.push(Ask { op, tenant, work, hint, born: now, tries, refused, done, effects });
        self.open += 1;
        Some(self.asks.len() - 1)
    }

    /// A try of an ask at a node; none where too little time is left.
    pub fn attempt(&mut self, scenario: &Scenario, now: f64, ask: AskId, node: NodeId) -> Option<TryId> {
        let deadline = self.asks[ask].born + scenario.operations[self.asks[ask].op].timeout.0;
        if deadline - now < LEAST {
            return None;
        }
        self.asks[ask].tries += 1;
        self.tries.push(Try { ask, node, at: now, deadline, over: false });
        TryId::try_from(self.tries.len() - 1).ok()
    }

    pub fn ask_of(&self, tri: TryId) -> &Ask {
        &self.asks[self.tries[tri as usize].ask]
    }

    /// What the client does with an answer, or with a connection that broke (none).
    pub fn then(
        &self,
        scenario: &Scenario,
        seed: u64,
        now: f64,
        tri: TryId,
        answer: Option<Final>,
        pause: f64,
    ) -> Then {
        let Try { ask, deadline, .. } = self.tries[tri as usize];
        let (ask, terms) = (&self.asks[ask], &scenario.operations[self.asks[ask].op]);
        let repeats = match (terms.effect, terms.group) {
            (Effect::Idempotent, _) => true,
            (Effect::Deduplicated, Group::All) => now - ask.born < terms.window.0,
            _ => false,
        };
        let (again, end) = match answer {
            Some(Final::Served) if now <= ask.born + terms.objective.0 + terms.stretch.0 * ask.work => {
                return Then::Over(End::InTime);
            }
            Some(Final::Served) => return Then::Over(End::Late),
            Some(Final::Unfit) => return Then::Over(End::Failed),
            Some(Final::Refused) => (true, End::Refused),
            Some(Final::Failed) | None => (repeats, End::Failed),
        };
        let wait = scenario.clients.wait.0 * (1.0 + luck(seed, tri, 1));
        let at = now + wait.max(pause);
        let fits = again && ask.tries < scenario.clients.tries.0 && deadline - at >= LEAST;
        if fits {
            Then::Again { at }
        } else {
            Then::Over(end)
        }
    }

    /// An ask has ended, once; the scenario began at `began`.
    pub fn end(&mut self, scenario: &Scenario, began: f64, ask: AskId, end: End) {
        let asked = &mut self.asks[ask];
        if std::mem::replace(&mut asked.done, true) {
            return;
        }
        self.open -= 1;
        let terms = &scenario.operations[asked.op];
        let (value, late) = (terms.value.0, terms.late_value.0);
        let ten = ((asked.born - began).max(0.0) / 10.0) as usize;
        if self.service.tens.len() <= ten {
            self.service.tens.resize(ten + 1, Sums::default());
        }
        self.service.tens[ten].add(value, late, end);
        self.service.whole.add(value, late, end);
        self.service.operations[asked.op].1.add(value, late, end);
        asked.tenant.into_iter().for_each(|tenant| self.service.tenants[tenant].1.add(value, late, end));
    }
}

/// The mean work of what is asked for, as the scenario states it.
pub fn mean_work(scenario: &Scenario) -> f64 {
    let mean = |op: &Operation| {
        let heavy = 1.0 + op.heavy.0 * (op.heavy_times.0 - 1.0);
        op.work.0 * (0.5 * op.spread.0.powi(2)).exp() * heavy
    };
    let (rates, works) = scenario
        .operations
        .iter()
        .fold((0.0, 0.0), |(rates, works), op| (rates + op.rate.0, works + op.rate.0 * mean(op)));
    if rates > 0.0 {
        works / rates
    } else {
        1.0
    }
}

pub fn terms(scenario: &Scenario, op: usize) -> Terms {
    let op = &scenario.operations[op];
    Terms { effect: op.effect, group: op.group, window: op.window.0 }
}
