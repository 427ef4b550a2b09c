//! Export of a node's measurements as rows of numbers, from which another process of the node can start. This
//! module makes no decisions.
use crate::node::Node;
use crate::types::{Budget, Executor, ExecutorIndex, MachineKindStats, TrafficStats};

/// Numbers in the order in which `restore_row` reads them; a row of another length is ignored.
pub type Row = Vec<f64>;

/// The measurements of a node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Measurements {
    pub executors: Vec<(ExecutorIndex, Row)>,
    pub operations: Vec<(usize, Row)>,
    pub tenants: Vec<(usize, Row)>,
    pub kinds: Vec<(usize, Row)>,
    pub node: Row,
    /// The times at which invocations arrived and further forwards were sent, as long as they count for
    /// `Budget`.
    pub arrivals: Row,
    pub further_forwards: Row,
}

fn flag(value: bool) -> f64 {
    f64::from(u8::from(value))
}

/// Stands for no turn (`usize::MAX`) in a row; a float holds integers up to this exactly.
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
        let load = [self.slots, self.free, self.reported_at, self.refused_at, f64::from(self.refusals)];
        let flags =
            [flag(self.silent), flag(self.doubtful), flag(self.seen_alive), flag(self.started_at_once)];
        [&latency[..], &load, &flags, &[self.last_sign_of_life, turn, self.cold_work]].concat()
    }

    /// Restores the row if it is of the same executor process.
    fn restore_row(&mut self, row: &[f64]) {
        let &[started, log_slowness, last_success, successes, failures, slots, free, reported_at, refused_at, refusals, silent, doubtful, seen_alive, started_at_once, last_sign_of_life, cold_turn, cold_work] =
            row
        else {
            return;
        };
        if started != self.entry.started {
            return;
        }
        (self.log_slowness, self.last_success, self.overall.successes, self.overall.failures) =
            (log_slowness, last_success, successes, failures);
        (self.slots, self.free, self.reported_at) = (slots, free, reported_at);
        (self.refused_at, self.refusals) = (refused_at, refusals as u32);
        (self.silent, self.doubtful) = (silent > 0.0, doubtful > 0.0);
        (self.seen_alive, self.started_at_once) = (seen_alive > 0.0, started_at_once > 0.0);
        (self.last_sign_of_life, self.cold_work) = (last_sign_of_life, cold_work);
        self.cold_turn = if cold_turn >= NO_TURN_CODE { usize::MAX } else { cold_turn as usize };
    }
}

impl TrafficStats {
    fn to_row(&self) -> Row {
        let latency = self.log_latency.map_or([0.0, 0.0], |log_latency| [1.0, log_latency]);
        [&latency[..], &[self.answers, self.rate, self.in_time_fraction, self.longest_timeout]].concat()
    }

    fn restore_row(&mut self, row: &[f64]) {
        let &[has_latency, log_latency, answers, rate, in_time_fraction, longest_timeout] = row else {
            return;
        };
        self.log_latency = (has_latency > 0.0).then_some(log_latency);
        (self.answers, self.rate, self.in_time_fraction, self.longest_timeout) =
            (answers, rate, in_time_fraction, longest_timeout);
    }
}

impl MachineKindStats {
    fn to_row(&self) -> Row {
        vec![self.log_slowness, self.max_slots]
    }

    fn restore_row(&mut self, row: &[f64]) {
        let &[log_slowness, max_slots] = row else { return };
        (self.log_slowness, self.max_slots) = (log_slowness, max_slots);
    }
}

impl Node {
    /// Exports the measurements.
    pub fn export_measurements(&self) -> Measurements {
        let executors = self.executors.iter().filter(|t| !t.entry.started.is_nan());
        let stats_rows = |all: &[TrafficStats]| all.iter().map(TrafficStats::to_row).enumerate().collect();
        Measurements {
            executors: executors.map(|t| (t.entry.executor_index, t.to_row())).collect(),
            operations: stats_rows(&self.operation_stats),
            tenants: stats_rows(&self.tenant_stats),
            kinds: self.kind_stats.iter().map(MachineKindStats::to_row).enumerate().collect(),
            arrivals: self.accepted.0.iter().copied().collect(),
            further_forwards: self.further_sent.0.iter().copied().collect(),
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

    /// Restores the measurements of another process of this node; the list of executors has to be applied
    /// before.
    pub fn restore_measurements(&mut self, measurements: &Measurements) {
        for (executor_index, row) in &measurements.executors {
            self.executors.get_mut(*executor_index).into_iter().for_each(|t| t.restore_row(row));
        }
        for (at, row) in &measurements.operations {
            self.operation_stats.get_mut(*at).into_iter().for_each(|stats| stats.restore_row(row));
        }
        for (at, row) in &measurements.tenants {
            self.tenant_stats.get_mut(*at).into_iter().for_each(|stats| stats.restore_row(row));
        }
        for (at, row) in &measurements.kinds {
            self.kind_stats.get_mut(*at).into_iter().for_each(|stats| stats.restore_row(row));
        }
        (self.accepted.0, self.further_sent.0) =
            (measurements.arrivals.clone().into(), measurements.further_forwards.clone().into());
        if let &[util, trust_reference, degraded_until, job_fault_rate, spill_probability, misleading_report_rate, price, typical_priority, price_raised_at, mean_value, phi] =
            &measurements.node[..]
        {
            (self.util, self.trust_reference, self.degraded_until, self.job_fault_rate) =
                (util, trust_reference, degraded_until, job_fault_rate);
            (self.spill_probability, self.misleading_report_rate, self.price, self.typical_priority) =
                (spill_probability, misleading_report_rate, price, typical_priority);
            (self.price_raised_at, self.mean_value, self.phi) = (price_raised_at, mean_value, phi);
        }
    }

    /// Sets the invocations per second that are within these tenants' shares at this node, in place of an
    /// equal part per node.
    pub fn set_quotas(&mut self, quotas: &[(usize, f64)]) {
        let nodes = self.settings.nodes as f64;
        for (tenant, here) in quotas {
            self.settings.quotas.get_mut(*tenant).into_iter().for_each(|quota| *quota = here * nodes);
        }
    }

    /// Sets this process's part of the load limit of cold executors and of the budget of further forwards.
    pub fn set_process_share(&mut self, factor: f64, budget: Option<Budget>) {
        self.settings.cold.factor = factor;
        self.settings.budget = budget;
    }
}
