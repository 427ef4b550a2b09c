//! The entries of operations: the current one of each name, and older ones that running jobs still use. An entry
//! never changes while a job uses it: new settings add an entry, and the name then refers to that one.
use std::sync::Arc;

use coveroute::reconfigure::OperationMapping;
use coveroute::types::Operation;

#[derive(Clone, Copy, Debug, PartialEq)]
enum EntryState {
    /// The name refers to this entry.
    Current,
    /// The settings no longer have the name. Clients that were throttled may retry until this time.
    Removed(f64),
    /// Only running jobs may still use it.
    Replaced,
    /// Unused, and available for another operation.
    Free,
}

#[derive(Debug)]
struct Entry {
    name: Arc<str>,
    /// Client timeout in seconds.
    timeout: f64,
    state: EntryState,
}

#[derive(Debug)]
pub struct Operations {
    entries: Vec<Entry>,
}

impl Operations {
    pub fn new(names: Vec<String>, timeouts: &[f64]) -> Self {
        let entry = |(name, timeout): (String, &f64)| {
            let (name, timeout) = (name.into(), *timeout);
            Entry { name, timeout, state: EntryState::Current }
        };
        Operations { entries: names.into_iter().zip(timeouts).map(entry).collect() }
    }

    /// The entry for a new job of this operation; `None` if such jobs are not accepted now.
    pub fn find(&self, name: &str, now: f64) -> Option<usize> {
        let open = |entry: &Entry| match entry.state {
            EntryState::Current => true,
            EntryState::Removed(until) => now < until,
            EntryState::Replaced | EntryState::Free => false,
        };
        self.entries.iter().position(|entry| open(entry) && &*entry.name == name)
    }

    pub fn name(&self, at: usize) -> &Arc<str> {
        &self.entries[at].name
    }

    /// The name that currently refers to this entry, if any.
    pub fn current(&self, at: usize) -> Option<&str> {
        let entry = self.entries.get(at).filter(|entry| entry.state == EntryState::Current);
        entry.map(|entry| &*entry.name)
    }

    pub fn timeout(&self, at: usize) -> f64 {
        self.entries[at].timeout
    }

    pub fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.entries.iter().filter(|entry| entry.state == EntryState::Current).map(|entry| &entry.name)
    }

    /// The longest client timeout of all entries that jobs may use.
    pub fn longest_timeout(&self) -> f64 {
        let used = self.entries.iter().filter(|entry| entry.state != EntryState::Free);
        used.map(|entry| entry.timeout).fold(0.0, f64::max)
    }

    /// Applies new settings. `new` has the operations by name, and `held` the contents of the entries, which it updates.
    /// Entries that no job uses according to `busy` are reused, so that memory does not grow with each reload.
    pub fn apply_settings(
        &mut self,
        now: f64,
        new: Vec<(String, f64, Operation)>,
        held: &mut Vec<Operation>,
        busy: impl Fn(usize) -> bool,
    ) -> Vec<OperationMapping> {
        for (at, entry) in self.entries.iter_mut().enumerate() {
            let unused_name = match entry.state {
                EntryState::Removed(until) => now >= until,
                EntryState::Replaced => true,
                EntryState::Current | EntryState::Free => false,
            };
            if unused_name && !busy(at) {
                entry.state = EntryState::Free;
                held[at].kind = None; // Otherwise the split would still be solved separately for its kind.
            }
        }
        let before: Vec<Option<usize>> = new.iter().map(|new| self.reusable(&new.0)).collect();
        for (at, entry) in self.entries.iter_mut().enumerate() {
            if entry.state == EntryState::Current && !before.contains(&Some(at)) {
                entry.state = EntryState::Removed(now + entry.timeout);
            }
        }
        let mut mappings = Vec::new();
        for ((name, timeout, operation), from) in new.into_iter().zip(before) {
            if let Some(at) = from.filter(|&at| held[at] == operation && self.entries[at].timeout == timeout)
            {
                self.entries[at].state = EntryState::Current;
                continue;
            }
            from.into_iter().for_each(|at| self.entries[at].state = EntryState::Replaced);
            let entry = Entry { name: name.into(), timeout, state: EntryState::Current };
            let free = self.entries.iter().position(|entry| entry.state == EntryState::Free);
            let to = free.unwrap_or(self.entries.len());
            if to == self.entries.len() {
                self.entries.push(entry);
                held.push(operation);
            } else {
                (self.entries[to], held[to]) = (entry, operation);
            }
            mappings.push(OperationMapping { from, to });
        }
        mappings
    }

    /// An entry with exactly this name and content, for a job that comes from another process: an existing one, or a
    /// new one that only this job uses.
    pub fn entry(
        &mut self,
        name: &str,
        timeout: f64,
        operation: &Operation,
        held: &mut Vec<Operation>,
    ) -> usize {
        let same = |(at, entry): (usize, &Entry)| {
            entry.state != EntryState::Free
                && &*entry.name == name
                && entry.timeout == timeout
                && held[at] == *operation
        };
        if let Some(at) = (0..self.entries.len()).find(|&at| same((at, &self.entries[at]))) {
            return at;
        }
        self.entries.push(Entry { name: name.into(), timeout, state: EntryState::Replaced });
        held.push(operation.clone());
        self.entries.len() - 1
    }

    /// The latest entry of the name, if it can become current again.
    fn reusable(&self, name: &str) -> Option<usize> {
        let last = |entry: &Entry| matches!(entry.state, EntryState::Current | EntryState::Removed(_));
        self.entries.iter().position(|entry| last(entry) && &*entry.name == name)
    }
}
