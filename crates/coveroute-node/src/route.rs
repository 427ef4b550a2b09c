//! Route: gives the decisions what happened, one thing after the other, and collects what they put out.
use std::collections::VecDeque;

use coveroute::types::{Input, Node, Output, Settings};

pub struct Route {
    node: Node,
    inputs: VecDeque<Input>,
}

impl Route {
    pub fn new(settings: Settings, seed: u64) -> Self {
        Route { node: Node::new(settings, seed), inputs: VecDeque::new() }
    }

    /// What happened while an output was carried out waits until all outputs of its like are.
    pub fn push(&mut self, input: Input) {
        self.inputs.push_back(input);
    }

    #[cfg(test)]
    pub fn take(&mut self) -> Vec<Input> {
        self.inputs.drain(..).collect()
    }

    /// Decides on the next thing that happened, if any.
    pub fn next(&mut self, now: f64) -> Option<Vec<Output>> {
        let input = self.inputs.pop_front()?;
        let mut out = Vec::new();
        self.node.handle(now, input, &mut out);
        Some(out)
    }
}
