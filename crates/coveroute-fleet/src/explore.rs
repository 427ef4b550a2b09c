//! Bounded model checking: explores all orders of events up to a depth, breadth first. Each state is visited once,
//! and the first violation found has the fewest steps.
use std::collections::HashSet;

pub trait Model {
    type State: Clone;
    type Step: Clone + std::fmt::Debug;

    fn initial(&self) -> Self::State;
    fn enabled_steps(&self, state: &Self::State) -> Vec<Self::Step>;
    /// The state after the step, or a description of the violated property.
    fn apply(&self, state: &Self::State, step: &Self::Step) -> Result<Self::State, String>;
    /// A fingerprint of the state; the same for states that behave the same from then on.
    fn fingerprint(&self, state: &Self::State) -> u64;
}

#[derive(Clone, Debug, PartialEq)]
pub struct Violation<S> {
    pub steps: Vec<S>,
    pub description: String,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Explored<S> {
    pub states: usize,
    pub steps: u64,
    /// All sequences of this many steps were explored.
    pub depth: usize,
    pub violation: Option<Violation<S>>,
}

/// Explores to `depth`, or until `max_states` states were found.
pub fn explore<M: Model>(model: &M, depth: usize, max_states: usize) -> Explored<M::Step> {
    let initial = model.initial();
    let mut seen = HashSet::from([model.fingerprint(&initial)]);
    // The predecessor of each state and the step from it, to reconstruct the path to a violation.
    let mut predecessors: Vec<Option<(usize, M::Step)>> = vec![None];
    let (mut frontier, mut steps) = (vec![(0, initial)], 0);
    for explored_depth in 0..depth {
        let mut next_frontier = Vec::new();
        for (at, state) in &frontier {
            for step in model.enabled_steps(state) {
                steps += 1;
                match model.apply(state, &step) {
                    Ok(next) => {
                        if seen.insert(model.fingerprint(&next)) {
                            predecessors.push(Some((*at, step)));
                            next_frontier.push((predecessors.len() - 1, next));
                        }
                    }
                    Err(description) => {
                        let mut path = vec![step];
                        let mut from = *at;
                        while let Some((before, step)) = &predecessors[from] {
                            path.push(step.clone());
                            from = *before;
                        }
                        path.reverse();
                        let violation = Some(Violation { steps: path, description });
                        return Explored { states: seen.len(), steps, depth: explored_depth, violation };
                    }
                }
                if seen.len() >= max_states {
                    return Explored { states: seen.len(), steps, depth: explored_depth, violation: None };
                }
            }
        }
        frontier = next_frontier;
    }
    Explored { states: seen.len(), steps, depth, violation: None }
}
