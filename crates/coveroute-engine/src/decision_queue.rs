//! Passes inputs to the decisions one at a time and collects their outputs.
use std::collections::VecDeque;

use coveroute::types::{Input, Output};

use crate::decide::Decide;

pub struct DecisionQueue<D> {
    decide: D,
    inputs: VecDeque<Input>,
}

impl<D: Decide> DecisionQueue<D> {
    pub fn new(decide: D) -> Self {
        DecisionQueue { decide, inputs: VecDeque::new() }
    }

    /// Queues an input. Inputs that arise while the outputs of an earlier one are applied wait until all of those are.
    pub fn push(&mut self, input: Input) {
        self.inputs.push_back(input);
    }

    #[cfg(test)]
    pub fn drain(&mut self) -> Vec<Input> {
        self.inputs.drain(..).collect()
    }

    pub fn decide(&self) -> &D {
        &self.decide
    }

    pub fn decide_mut(&mut self) -> &mut D {
        &mut self.decide
    }

    /// Handles the next input; returns whether there was one.
    pub fn handle_next(&mut self, now: f64, out: &mut Vec<Output>) -> bool {
        let Some(input) = self.inputs.pop_front() else { return false };
        self.decide.handle(now, input, out);
        true
    }
}
