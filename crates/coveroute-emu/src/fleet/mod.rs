//! Tests of a fleet of nodes that know each other: faulty links, stalled processes, and a checker for what nodes hold.
pub mod callers;
pub mod checker;
pub mod links;
pub mod measure;
pub mod model;
pub mod model_limits;
pub mod processes;
pub mod proof;
pub mod simulation;

#[cfg(test)]
mod tests;
