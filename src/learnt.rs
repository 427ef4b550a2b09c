//! What a node has learnt, in rows of figures that another process of it can begin with. No decision.
use crate::node::Node;
use crate::types::{Budget, Class, Executor, Kind, Tgt};

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
const NO_TURN: f64 = 9e15;

impl Executor {
    fn row(&self) -> Row {
        let turn = if self.turn == usize::MAX { NO_TURN } else { self.turn as f64 };
        let latency = [self.entry.started, self.slow, self.sampled, self.whole.good, self.whole.bad];
        let room = [self.slots, self.free, self.reported, self.refused, f64::from(self.refusals)];
        let told = [flag(self.silent), flag(self.doubtful), flag(self.shown), flag(self.kept)];
        [&latency[..], &room, &told, &[self.heard, turn, self.spent]].concat()
    }

    /// Only of the same process: what was known of an earlier one says nothing of it.
    fn take(&mut self, row: &[f64]) {
        let &[started, slow, sampled, good, bad, slots, free, reported, refused, refusals, silent, doubtful, shown, kept, heard, turn, spent] =
            row
        else {
            return;
        };
        if started != self.entry.started {
            return;
        }
        (self.slow, self.sampled, self.whole.good, self.whole.bad) = (slow, sampled, good, bad);
        (self.slots, self.free, self.reported) = (slots, free, reported);
        (self.refused, self.refusals) = (refused, refusals as u32);
        (self.silent, self.doubtful) = (silent > 0.0, doubtful > 0.0);
        (self.shown, self.kept) = (shown > 0.0, kept > 0.0);
        (self.heard, self.spent) = (heard, spent);
        self.turn = if turn >= NO_TURN { usize::MAX } else { turn as usize };
    }
}

impl Class {
    fn row(&self) -> Row {
        let pace = self.pace.map_or([0.0, 0.0], |pace| [1.0, pace]);
        [&pace[..], &[self.answers, self.rate, self.timely, self.longest]].concat()
    }

    fn take(&mut self, row: &[f64]) {
        let &[paced, pace, answers, rate, timely, longest] = row else { return };
        self.pace = (paced > 0.0).then_some(pace);
        (self.answers, self.rate, self.timely, self.longest) = (answers, rate, timely, longest);
    }
}

impl Kind {
    fn row(&self) -> Row {
        vec![self.slow, self.slots]
    }

    fn take(&mut self, row: &[f64]) {
        let &[slow, slots] = row else { return };
        (self.slow, self.slots) = (slow, slots);
    }
}

impl Node {
    pub fn learnt(&self) -> Learnt {
        let executors = self.tgts.iter().filter(|t| !t.entry.started.is_nan());
        let classes = |all: &[Class]| all.iter().map(Class::row).enumerate().collect();
        Learnt {
            executors: executors.map(|t| (t.entry.tgt, t.row())).collect(),
            operations: classes(&self.classes),
            tenants: classes(&self.tenants),
            kinds: self.kinds.iter().map(Kind::row).enumerate().collect(),
            taken: self.taken.0.iter().copied().collect(),
            further: self.further.0.iter().copied().collect(),
            node: vec![
                self.util,
                self.level,
                self.fog,
                self.theirs,
                self.spill,
                self.misled,
                self.price,
                self.usual,
                self.raised,
                self.value,
                self.phi,
            ],
        }
    }

    /// Begins with what another process of this node has learnt; the list of executors is known.
    pub fn recall(&mut self, learnt: &Learnt) {
        for (tgt, row) in &learnt.executors {
            self.tgts.get_mut(*tgt).into_iter().for_each(|t| t.take(row));
        }
        for (at, row) in &learnt.operations {
            self.classes.get_mut(*at).into_iter().for_each(|class| class.take(row));
        }
        for (at, row) in &learnt.tenants {
            self.tenants.get_mut(*at).into_iter().for_each(|tenant| tenant.take(row));
        }
        for (at, row) in &learnt.kinds {
            self.kinds.get_mut(*at).into_iter().for_each(|kind| kind.take(row));
        }
        (self.taken.0, self.further.0) = (learnt.taken.clone().into(), learnt.further.clone().into());
        if let &[util, level, fog, theirs, spill, misled, price, usual, raised, value, phi] = &learnt.node[..]
        {
            (self.util, self.level, self.fog, self.theirs) = (util, level, fog, theirs);
            (self.spill, self.misled, self.price, self.usual) = (spill, misled, price, usual);
            (self.raised, self.value, self.phi) = (raised, value, phi);
        }
    }

    /// Of these tenants' shares, this many invocations a second are within them here: what an equal part of the nodes'
    /// is elsewhere.
    pub fn quotas(&mut self, quotas: &[(usize, f64)]) {
        let nodes = self.set.nodes as f64;
        for (tenant, here) in quotas {
            self.set.quotas.get_mut(*tenant).into_iter().for_each(|quota| *quota = here * nodes);
        }
    }

    /// Of what a cold executor can stand, and of the budget of forwards, this is left to this process.
    pub fn share(&mut self, factor: f64, budget: Option<Budget>) {
        self.set.cold.factor = factor;
        self.set.budget = budget;
    }
}
