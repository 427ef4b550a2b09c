//! All orders of what can happen, to a depth: states that come again are looked at once, and what is found first has
//! the fewest steps.
use std::collections::HashSet;

pub trait Model {
    type State: Clone;
    type Step: Clone + std::fmt::Debug;

    fn first(&self) -> Self::State;
    fn steps(&self, state: &Self::State) -> Vec<Self::Step>;
    /// The state after it, or what it breaks.
    fn after(&self, state: &Self::State, step: &Self::Step) -> Result<Self::State, String>;
    /// The same for what goes on in the same way.
    fn print(&self, state: &Self::State) -> u64;
}

#[derive(Clone, Debug, PartialEq)]
pub struct Breach<S> {
    pub steps: Vec<S>,
    pub words: String,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Explored<S> {
    pub states: usize,
    pub steps: u64,
    /// All that can happen in so many steps was looked at.
    pub depth: usize,
    pub breach: Option<Breach<S>>,
}

/// To `depth`, or as deep as `most` states allow.
pub fn explore<M: Model>(model: &M, depth: usize, most: usize) -> Explored<M::Step> {
    let first = model.first();
    let mut seen = HashSet::from([model.print(&first)]);
    // Where each state came from, to tell how it was reached.
    let mut came: Vec<Option<(usize, M::Step)>> = vec![None];
    let (mut edge, mut steps) = (vec![(0, first)], 0);
    for done in 0..depth {
        let mut further = Vec::new();
        for (at, state) in &edge {
            for step in model.steps(state) {
                steps += 1;
                match model.after(state, &step) {
                    Ok(next) => {
                        if seen.insert(model.print(&next)) {
                            came.push(Some((*at, step)));
                            further.push((came.len() - 1, next));
                        }
                    }
                    Err(words) => {
                        let mut way = vec![step];
                        let mut from = *at;
                        while let Some((before, step)) = &came[from] {
                            way.push(step.clone());
                            from = *before;
                        }
                        way.reverse();
                        let breach = Some(Breach { steps: way, words });
                        return Explored { states: seen.len(), steps, depth: done, breach };
                    }
                }
                if seen.len() >= most {
                    return Explored { states: seen.len(), steps, depth: done, breach: None };
                }
            }
        }
        edge = further;
    }
    Explored { states: seen.len(), steps, depth, breach: None }
}
