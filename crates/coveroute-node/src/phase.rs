//! The node's life from start to exit.
use std::cell::Cell;
use std::rc::Rc;

use log::info;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// Not yet able to serve.
    Starting,
    Serving,
    /// Serving, while the list is not yet followed as the configuration that was read anew says.
    Reloading,
    /// Told to stop: takes what still comes, and closes a connection only with what it gives back.
    Leaving,
    /// Closes connections with their answers and those that stand idle, finishes the rest.
    Closing,
    Ended,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// Executors are known.
    Ready,
    /// A configuration was read anew.
    Reread,
    /// The list of executors is followed.
    Followed,
    /// Asked to stop.
    Told,
    /// The front has had time to notice, and what comes now may not be finished.
    Quiet,
    /// Nothing is owed any more.
    Idle,
    /// The time for stopping is over.
    Late,
}

const TABLE: [(Phase, Step, Phase); 12] = [
    (Phase::Starting, Step::Ready, Phase::Serving),
    (Phase::Starting, Step::Told, Phase::Leaving),
    (Phase::Starting, Step::Reread, Phase::Starting),
    (Phase::Serving, Step::Told, Phase::Leaving),
    (Phase::Serving, Step::Reread, Phase::Reloading),
    (Phase::Reloading, Step::Reread, Phase::Reloading),
    (Phase::Reloading, Step::Followed, Phase::Serving),
    (Phase::Reloading, Step::Told, Phase::Leaving),
    (Phase::Leaving, Step::Quiet, Phase::Closing),
    (Phase::Leaving, Step::Late, Phase::Ended),
    (Phase::Closing, Step::Idle, Phase::Ended),
    (Phase::Closing, Step::Late, Phase::Ended),
];

/// The one object that knows where the node stands; all units read it, the driver moves it on.
#[derive(Debug)]
pub struct Life {
    phase: Cell<Phase>,
    held: Cell<usize>,
}

/// A request in hand, from its head to its answer.
pub struct Held(Rc<Life>);

impl Drop for Held {
    fn drop(&mut self) {
        self.0.held.set(self.0.held.get() - 1);
    }
}

impl Life {
    pub fn new() -> Self {
        Life { phase: Cell::new(Phase::Starting), held: Cell::new(0) }
    }

    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    pub fn hold(self: &Rc<Self>) -> Held {
        self.held.set(self.held.get() + 1);
        Held(self.clone())
    }

    /// Whether no request is in hand.
    pub fn idle(&self) -> bool {
        self.held.get() == 0
    }

    /// Takes the step where the table knows it from here; tells whether it did.
    pub fn step(&self, step: Step) -> bool {
        let row = TABLE.iter().find(|row| row.0 == self.phase() && row.1 == step);
        if let Some(row) = row {
            info!("{:?} -> {:?}", row.0, row.2);
            self.phase.set(row.2);
        }
        row.is_some()
    }

    /// Whether the front may send clients here.
    pub fn is_up(&self) -> bool {
        matches!(self.phase(), Phase::Serving | Phase::Reloading)
    }
}
