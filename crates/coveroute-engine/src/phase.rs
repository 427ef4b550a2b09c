//! The phases of a node from start to exit.
use log::info;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// Not yet ready to serve.
    Starting,
    Serving,
    /// Serving, while the watch on the list that a reloaded configuration names is not yet established.
    Reloading,
    /// Stopping: still accepts calls, and closes a connection only together with a call that it refuses.
    Leaving,
    /// Closes connections when they are idle or with their next answer, and finishes open calls.
    Closing,
    Ended,
}

impl Phase {
    /// Whether the front may send clients here.
    pub fn is_up(self) -> bool {
        matches!(self, Phase::Serving | Phase::Reloading)
    }

    /// Whether a reloaded configuration is still applied.
    pub fn takes_settings(self) -> bool {
        matches!(self, Phase::Starting | Phase::Serving | Phase::Reloading)
    }

    /// The phase after the step; `None` if the step has no effect in this phase.
    pub fn after(self, step: Step) -> Option<Phase> {
        let row = TRANSITIONS.iter().find(|row| row.0 == self && row.1 == step)?;
        info!("{:?} -> {:?}", row.0, row.2);
        Some(row.2)
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// Executors are known.
    ExecutorsKnown,
    /// A configuration was reloaded that changes the source of the list.
    Reload,
    /// The watch on the list of executors is established.
    ListFollowed,
    /// A stop was requested.
    StopRequested,
    /// The front has had time to notice the stop, and calls that arrive now may not finish.
    FrontNotified,
    /// No call is open.
    Idle,
    /// The time for stopping is over.
    StopTimedOut,
}

const TRANSITIONS: [(Phase, Step, Phase); 12] = [
    (Phase::Starting, Step::ExecutorsKnown, Phase::Serving),
    (Phase::Starting, Step::StopRequested, Phase::Leaving),
    (Phase::Starting, Step::Reload, Phase::Starting),
    (Phase::Serving, Step::StopRequested, Phase::Leaving),
    (Phase::Serving, Step::Reload, Phase::Reloading),
    (Phase::Reloading, Step::Reload, Phase::Reloading),
    (Phase::Reloading, Step::ListFollowed, Phase::Serving),
    (Phase::Reloading, Step::StopRequested, Phase::Leaving),
    (Phase::Leaving, Step::FrontNotified, Phase::Closing),
    (Phase::Leaving, Step::StopTimedOut, Phase::Ended),
    (Phase::Closing, Step::Idle, Phase::Ended),
    (Phase::Closing, Step::StopTimedOut, Phase::Ended),
];
