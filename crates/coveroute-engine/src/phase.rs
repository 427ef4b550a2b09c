//! The node's life from start to exit.
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

impl Phase {
    /// Whether the front may send clients here.
    pub fn is_up(self) -> bool {
        matches!(self, Phase::Serving | Phase::Reloading)
    }

    /// Whether a configuration that is read anew still counts.
    pub fn takes_settings(self) -> bool {
        matches!(self, Phase::Starting | Phase::Serving | Phase::Reloading)
    }

    /// The phase after the step, where the table knows it from here.
    pub fn after(self, step: Step) -> Option<Phase> {
        let row = TABLE.iter().find(|row| row.0 == self && row.1 == step)?;
        info!("{:?} -> {:?}", row.0, row.2);
        Some(row.2)
    }
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
