//! Passes inputs to the decisions one at a time and collects their outputs.
use std::collections::VecDeque;

use coveroute::types::{Input, Output};

use crate::decisions::Decisions;

pub struct DecisionQueue<D> {
    decisions: D,
    inputs: VecDeque<Input>,
}

impl<D: Decisions> DecisionQueue<D> {
    pub fn new(decisions: D) -> Self {
        DecisionQueue { decisions, inputs: VecDeque::new() }
    }

    /// Queues an input. Inputs that arise while the outputs of an earlier one are applied wait until all of those are.
    pub fn push(&mut self, input: Input) {
        self.inputs.push_back(input);
    }

    #[cfg(test)]
    pub fn drain(&mut self) -> Vec<Input> {
        self.inputs.drain(..).collect()
    }

    pub fn decisions(&self) -> &D {
        &self.decisions
    }

    pub fn decisions_mut(&mut self) -> &mut D {
        &mut self.decisions
    }

    /// Handles the next input; returns whether there was one.
    pub fn handle_next(&mut self, now: f64, out: &mut Vec<Output>) -> bool {
        let Some(input) = self.inputs.pop_front() else { return false };
        self.decisions.handle(now, input, out);
        true
    }
}
