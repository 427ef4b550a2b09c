//! Clients: what they request, when, and how they react to an answer. Arrivals depend on the seed alone, so
//! that two runs of one seed under different policies get the same requests.
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1, StandardNormal};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use crate::scenario::{Effect, FaultKind, Group, Operation, Scenario};
use crate::world::invariants::{FinalAnswer, OperationTerms};
use crate::world::{uniform_draw, NodeId, TryId};

pub type AskId = usize;

/// One operation that a client wants done. Its tries refer to it.
#[derive(Clone, Debug)]
pub struct Ask {
    pub op: usize,
    pub tenant: Option<usize>,
    pub work: f64,
    pub hint: Option<f64>,
    pub created_at: f64,
    pub tries: usize,
    /// Consecutive refused connections.
    pub refused: usize,
    pub done: bool,
    /// How many times a worker ran it to its end.
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
pub enum NextStep {
    Over(End),
    Again { at: f64 },
}

/// Requested and served value, and the number of asks by outcome.
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
        // A client that left by its own choice was not failed by the service.
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

/// Service in total, by operation, by tenant and by interval of ten seconds.
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
    peak_surge: f64,
}

/// A try with less time left than this is not sent.
const MIN_TRY_TIME: f64 = 0.1;

impl Clients {
    pub fn new(scenario: &Scenario, seed: u64) -> Self {
        let stream = |op: usize| Pcg64Mcg::seed_from_u64(seed.wrapping_mul(1009).wrapping_add(op as u64));
        let named = |names: Vec<&String>| names.into_iter().map(|n| (n.clone(), Sums::default())).collect();
        let service = Service {
            operations: named(scenario.operations.iter().map(|op| &op.name).collect()),
            tenants: named(scenario.tenants.iter().map(|tenant| &tenant.name).collect()),
            ..Service::default()
        };
        let surges = scenario.faults.iter().filter(|f| f.what == FaultKind::Surge);
        let peak_surge = surges.map(|f| f.strength().max(1.0)).product::<f64>().max(1.0);
        let streams = (0..scenario.operations.len()).map(stream).collect();
        Clients { asks: Vec::new(), tries: Vec::new(), service, open: 0, streams, peak_surge }
    }

    /// The next candidate arrival of an operation, at the peak rate; `ask` thins the candidates.
    pub fn next(&mut self, scenario: &Scenario, now: f64, op: usize) -> Option<f64> {
        let rate = scenario.operations[op].rate.0 * self.peak_surge;
        let gap: f64 = Exp1.sample(&mut self.streams[op]);
        Some(now + gap / rate).filter(|at| rate > 0.0 && *at < scenario.seconds.0)
    }

    /// Accepts a candidate arrival, unless it belongs to a surge that is not active now.
    pub fn ask(&mut self, scenario: &Scenario, now: f64, op: usize, surge: f64, heavy: f64) -> Option<AskId> {
        let stream = &mut self.streams[op];
        let terms = &scenario.operations[op];
        // Every draw is made even if the candidate is rejected, so that the rest of the stream stays the
        // same.
        let (arrival_draw, heavy_draw, tenant_draw): (f64, f64, f64) =
            (stream.random(), stream.random(), stream.random());
        let (spread, noise): (f64, f64) = (StandardNormal.sample(stream), StandardNormal.sample(stream));
        if arrival_draw >= surge / self.peak_surge {
            return None;
        }
        let times = heavy * if heavy_draw < terms.heavy.0 { terms.heavy_times.0 } else { 1.0 };
        let work = terms.work.0 * (spread * terms.spread.0).exp() * times;
        let hint = terms.hint.map(|hint| work * (noise * hint.0).exp());
        let mut sum = 0.0;
        let tenant = scenario.tenants.iter().position(|tenant| {
            sum += tenant.part.0;
            tenant_draw < sum
        });
        let (tries, refused, done, effects) = (0, 0, false, 0);
        self.asks.push(Ask { op, tenant, work, hint, created_at: now, tries, refused, done, effects });
        self.open += 1;
        Some(self.asks.len() - 1)
    }

    /// Creates a try of an ask at a node; none if too little time is left.
    pub fn attempt(&mut self, scenario: &Scenario, now: f64, ask: AskId, node: NodeId) -> Option<TryId> {
        let deadline = self.asks[ask].created_at + scenario.operations[self.asks[ask].op].timeout.0;
        if deadline - now < MIN_TRY_TIME {
            return None;
        }
        self.asks[ask].tries += 1;
        self.tries.push(Try { ask, node, at: now, deadline, over: false });
        TryId::try_from(self.tries.len() - 1).ok()
    }

    pub fn ask_of(&self, tri: TryId) -> &Ask {
        &self.asks[self.tries[tri as usize].ask]
    }

    /// What the client does after an answer, or after a broken connection (none).
    pub fn next_step(
        &self,
        scenario: &Scenario,
        seed: u64,
        now: f64,
        tri: TryId,
        answer: Option<FinalAnswer>,
        pause: f64,
    ) -> NextStep {
        let Try { ask, deadline, .. } = self.tries[tri as usize];
        let (ask, terms) = (&self.asks[ask], &scenario.operations[self.asks[ask].op]);
        let repeats = match (terms.effect, terms.group) {
            (Effect::Idempotent, _) => true,
            (Effect::Deduplicated, Group::All) => now - ask.created_at < terms.window.0,
            _ => false,
        };
        let (again, end) = match answer {
            Some(FinalAnswer::Served)
                if now <= ask.created_at + terms.objective.0 + terms.stretch.0 * ask.work =>
            {
                return NextStep::Over(End::InTime);
            }
            Some(FinalAnswer::Served) => return NextStep::Over(End::Late),
            Some(FinalAnswer::Unfit) => return NextStep::Over(End::Failed),
            Some(FinalAnswer::Refused) => (true, End::Refused),
            Some(FinalAnswer::Failed) | None => (repeats, End::Failed),
        };
        let wait = scenario.clients.wait.0 * (1.0 + uniform_draw(seed, tri, 1));
        let at = now + wait.max(pause);
        let fits = again && ask.tries < scenario.clients.tries.0 && deadline - at >= MIN_TRY_TIME;
        if fits {
            NextStep::Again { at }
        } else {
            NextStep::Over(end)
        }
    }

    /// Records the end of an ask, once. The scenario began at `began`.
    pub fn end(&mut self, scenario: &Scenario, start: f64, ask: AskId, end: End) {
        let asked = &mut self.asks[ask];
        if std::mem::replace(&mut asked.done, true) {
            return;
        }
        self.open -= 1;
        let terms = &scenario.operations[asked.op];
        let (value, late) = (terms.value.0, terms.late_value.0);
        let interval = ((asked.created_at - start).max(0.0) / 10.0) as usize;
        if self.service.tens.len() <= interval {
            self.service.tens.resize(interval + 1, Sums::default());
        }
        self.service.tens[interval].add(value, late, end);
        self.service.whole.add(value, late, end);
        self.service.operations[asked.op].1.add(value, late, end);
        asked.tenant.into_iter().for_each(|tenant| self.service.tenants[tenant].1.add(value, late, end));
    }
}

/// The mean work of a request under the scenario's nominal rates.
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

pub fn operation_terms(scenario: &Scenario, op: usize) -> OperationTerms {
    let op = &scenario.operations[op];
    OperationTerms { effect: op.effect, group: op.group, window: op.window.0 }
}
