//! What a node has learnt, in rows of figures that another process of it can begin with. No decision.
use crate::node::Node;
use crate::types::{Budget, Executor, MachineKindStats, Tgt, TrafficStats};

/// Figures in the order in which `take` reads them; one of another length is passed over.
pub type Row = Vec<f64>;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Learnt {
    pub executors: Vec<(Tgt, Row)>,
    pub operations: Vec<(usize, Row)>,
    pub tenants: Vec<(usize, Row)>,
    pub kinds: Vec<(usize, Row)>,
    pub node: Row,
    /// When invocations were taken and further forwards sent, for as long as that counts: see `Budget`.
    pub taken: Row,
    pub further: Row,
}

fn flag(value: bool) -> f64 {
    f64::from(u8::from(value))
}

/// The greatest turn that a row holds exactly; none had is told as this.
const NO_TURN_CODE: f64 = 9e15;

impl Executor {
    fn to_row(&self) -> Row {
        let turn = if self.cold_turn == usize::MAX { NO_TURN_CODE } else { self.cold_turn as f64 };
        let latency = [
            self.entry.started,
            self.log_slowness,
            self.last_success,
            self.overall.successes,
            self.overall.failures,
        ];
        let room = [self.slots, self.free, self.reported_at, self.refused_at, f64::from(self.refusals)];
        let told =
            [flag(self.silent), flag(self.doubtful), flag(self.seen_alive), flag(self.started_at_once)];
        [&latency[..], &room, &told, &[self.last_sign_of_life, turn, self.cold_work]].concat()
    }

    /// Only of the same process: what was known of an earlier one says nothing of it.
    fn restore_row(&mut self, row: &[f64]) {
        let &[started, slow, sampled, good, bad, slots, free, reported, refused, refusals, silent, doubtful, shown, kept, heard, turn, spent] =
            row
        else {
            return;
        };
        if started != self.entry.started {
            return;
        }
        (self.log_slowness, self.last_success, self.overall.successes, self.overall.failures) =
            (slow, sampled, good, bad);
        (self.slots, self.free, self.reported_at) = (slots, free, reported);
        (self.refused_at, self.refusals) = (refused, refusals as u32);
        (self.silent, self.doubtful) = (silent > 0.0, doubtful > 0.0);
        (self.seen_alive, self.started_at_once) = (shown > 0.0, kept > 0.0);
        (self.last_sign_of_life, self.cold_work) = (heard, spent);
        self.cold_turn = if turn >= NO_TURN_CODE { usize::MAX } else { turn as usize };
    }
}

impl TrafficStats {
    fn to_row(&self) -> Row {
        let pace = self.log_latency.map_or([0.0, 0.0], |pace| [1.0, pace]);
        [&pace[..], &[self.answers, self.rate, self.in_time_fraction, self.longest_timeout]].concat()
    }

    fn restore_row(&mut self, row: &[f64]) {
        let &[paced, pace, answers, rate, timely, longest] = row else { return };
        self.log_latency = (paced > 0.0).then_some(pace);
        (self.answers, self.rate, self.in_time_fraction, self.longest_timeout) =
            (answers, rate, timely, longest);
    }
}

impl MachineKindStats {
    fn to_row(&self) -> Row {
        vec![self.log_slowness, self.max_slots]
    }

    fn restore_row(&mut self, row: &[f64]) {
        let &[slow, slots] = row else { return };
        (self.log_slowness, self.max_slots) = (slow, slots);
    }
}

impl Node {
    pub fn learnt(&self) -> Learnt {
        let executors = self.executors.iter().filter(|t| !t.entry.started.is_nan());
        let classes = |all: &[TrafficStats]| all.iter().map(TrafficStats::to_row).enumerate().collect();
        Learnt {
            executors: executors.map(|t| (t.entry.tgt, t.to_row())).collect(),
            operations: classes(&self.operation_stats),
            tenants: classes(&self.tenant_stats),
            kinds: self.kind_stats.iter().map(MachineKindStats::to_row).enumerate().collect(),
            taken: self.accepted.0.iter().copied().collect(),
            further: self.further_sent.0.iter().copied().collect(),
            node: vec![
                self.util,
                self.trust_reference,
                self.degraded_until,
                self.job_fault_rate,
                self.spill_probability,
                self.misleading_report_rate,
                self.price,
                self.typical_priority,
                self.price_raised_at,
                self.mean_value,
                self.phi,
            ],
        }
    }

    /// Begins with what another process of this node has learnt; the list of executors is known.
    pub fn recall(&mut self, learnt: &Learnt) {
        for (tgt, row) in &learnt.executors {
            self.executors.get_mut(*tgt).into_iter().for_each(|t| t.restore_row(row));
        }
        for (at, row) in &learnt.operations {
            self.operation_stats.get_mut(*at).into_iter().for_each(|class| class.restore_row(row));
        }
        for (at, row) in &learnt.tenants {
            self.tenant_stats.get_mut(*at).into_iter().for_each(|tenant| tenant.restore_row(row));
        }
        for (at, row) in &learnt.kinds {
            self.kind_stats.get_mut(*at).into_iter().for_each(|kind| kind.restore_row(row));
        }
        (self.accepted.0, self.further_sent.0) = (learnt.taken.clone().into(), learnt.further.clone().into());
        if let &[util, level, fog, theirs, spill, misled, price, usual, raised, value, phi] = &learnt.node[..]
        {
            (self.util, self.trust_reference, self.degraded_until, self.job_fault_rate) =
                (util, level, fog, theirs);
            (self.spill_probability, self.misleading_report_rate, self.price, self.typical_priority) =
                (spill, misled, price, usual);
            (self.price_raised_at, self.mean_value, self.phi) = (raised, value, phi);
        }
    }

    /// Of these tenants' shares, this many invocations a second are within them here: what an equal part of the nodes'
    /// is elsewhere.
    pub fn quotas(&mut self, quotas: &[(usize, f64)]) {
        let nodes = self.settings.nodes as f64;
        for (tenant, here) in quotas {
            self.settings.quotas.get_mut(*tenant).into_iter().for_each(|quota| *quota = here * nodes);
        }
    }

    /// Of what a cold executor can stand, and of the budget of forwards, this is left to this process.
    pub fn share(&mut self, factor: f64, budget: Option<Budget>) {
        self.settings.cold.factor = factor;
        self.settings.budget = budget;
    }
}
