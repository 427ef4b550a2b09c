//! Operations: the entry that a name stands for now, and those that jobs under way still have. An entry never
//! changes while a job has it: new settings make a new one, and the name points there.
use std::sync::Arc;

use coveroute::adopt::Moved;
use coveroute::types::Operation;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Standing {
    /// The name points here.
    Current,
    /// The settings lack the name; who was told to come back may until then.
    Vanished(f64),
    /// Jobs under way have it, if any.
    Replaced,
    Free,
}

#[derive(Debug)]
struct Kept {
    name: Arc<str>,
    /// Its client timeout.
    timeout: f64,
    standing: Standing,
}

#[derive(Debug)]
pub struct Operations {
    kept: Vec<Kept>,
}

impl Operations {
    pub fn new(names: Vec<String>, timeouts: &[f64]) -> Self {
        let kept = |(name, timeout): (String, &f64)| {
            let (name, timeout) = (name.into(), *timeout);
            Kept { name, timeout, standing: Standing::Current }
        };
        Operations { kept: names.into_iter().zip(timeouts).map(kept).collect() }
    }

    /// The entry of the name, where a job of it is taken now.
    pub fn find(&self, name: &str, now: f64) -> Option<usize> {
        let open = |kept: &Kept| match kept.standing {
            Standing::Current => true,
            Standing::Vanished(until) => now < until,
            Standing::Replaced | Standing::Free => false,
        };
        self.kept.iter().position(|kept| open(kept) && &*kept.name == name)
    }

    pub fn name(&self, at: usize) -> &Arc<str> {
        &self.kept[at].name
    }

    /// The name, if it points there.
    pub fn current(&self, at: usize) -> Option<&str> {
        let kept = self.kept.get(at).filter(|kept| kept.standing == Standing::Current);
        kept.map(|kept| &*kept.name)
    }

    pub fn timeout(&self, at: usize) -> f64 {
        self.kept[at].timeout
    }

    pub fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.kept.iter().filter(|kept| kept.standing == Standing::Current).map(|kept| &kept.name)
    }

    /// The longest client timeout of all that jobs may have.
    pub fn longest(&self) -> f64 {
        let used = self.kept.iter().filter(|kept| kept.standing != Standing::Free);
        used.map(|kept| kept.timeout).fold(0.0, f64::max)
    }

    /// Takes new settings over: `news` by name, `held` what stands in the entries, also afterwards. Guards
    /// against memory that grows with each file: entries that no job has (`busy`) are used again.
    pub fn adopt(
        &mut self,
        now: f64,
        news: Vec<(String, f64, Operation)>,
        held: &mut Vec<Operation>,
        busy: impl Fn(usize) -> bool,
    ) -> Vec<Moved> {
        for (at, kept) in self.kept.iter_mut().enumerate() {
            let over = match kept.standing {
                Standing::Vanished(until) => now >= until,
                Standing::Replaced => true,
                Standing::Current | Standing::Free => false,
            };
            if over && !busy(at) {
                kept.standing = Standing::Free;
                held[at].kind = None; // Or its kind would go on being solved apart.
            }
        }
        let before: Vec<Option<usize>> = news.iter().map(|new| self.named(&new.0)).collect();
        for (at, kept) in self.kept.iter_mut().enumerate() {
            if kept.standing == Standing::Current && !before.contains(&Some(at)) {
                kept.standing = Standing::Vanished(now + kept.timeout);
            }
        }
        let mut moved = Vec::new();
        for ((name, timeout, operation), from) in news.into_iter().zip(before) {
            if let Some(at) = from.filter(|&at| held[at] == operation && self.kept[at].timeout == timeout) {
                self.kept[at].standing = Standing::Current;
                continue;
            }
            from.into_iter().for_each(|at| self.kept[at].standing = Standing::Replaced);
            let kept = Kept { name: name.into(), timeout, standing: Standing::Current };
            let free = self.kept.iter().position(|kept| kept.standing == Standing::Free);
            let to = free.unwrap_or(self.kept.len());
            if to == self.kept.len() {
                self.kept.push(kept);
                held.push(operation);
            } else {
                (self.kept[to], held[to]) = (kept, operation);
            }
            moved.push(Moved { from, to });
        }
        moved
    }

    /// An entry of the name that holds just this, for a job that comes from another process: one that is there, or
    /// one of its own.
    pub fn entry(
        &mut self,
        name: &str,
        timeout: f64,
        operation: &Operation,
        held: &mut Vec<Operation>,
    ) -> usize {
        let same = |(at, kept): (usize, &Kept)| {
            kept.standing != Standing::Free
                && &*kept.name == name
                && kept.timeout == timeout
                && held[at] == *operation
        };
        if let Some(at) = (0..self.kept.len()).find(|&at| same((at, &self.kept[at]))) {
            return at;
        }
        self.kept.push(Kept { name: name.into(), timeout, standing: Standing::Replaced });
        held.push(operation.clone());
        self.kept.len() - 1
    }

    /// The entry that last had the name, if it can be taken up again.
    fn named(&self, name: &str) -> Option<usize> {
        let last = |kept: &Kept| matches!(kept.standing, Standing::Current | Standing::Vanished(_));
        self.kept.iter().position(|kept| last(kept) && &*kept.name == name)
    }
}
