//! Nodes that know each other, rehearsed: links that fail, processes that stand still, and a referee of their own.
pub mod callers;
pub mod links;
pub mod measure;
pub mod model;
pub mod model_limits;
pub mod processes;
pub mod proof;
pub mod stage;
pub mod witness;

#[cfg(test)]
mod tests;
