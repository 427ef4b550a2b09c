//! Several rigs side by side: all are measured in the same moments, so that what else the machine does strikes all.
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use coveroute::types::Standing;
use coveroute_engine::Listing;
use nix::sys::signal::Signal;
use serde::Serialize;
use tokio::time::sleep;

use super::fit::{busiest_by_chance, median};
use crate::load::{shares, Look, Plan, Rig};

/// What a rig came to under load, window by window.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Loaded {
    pub nodes: usize,
    pub executors: usize,
    pub tenants: usize,
    /// Starts a second over all nodes, wanted and had.
    pub rate: f64,
    pub starts: f64,
    /// Calls that ended without their result, of all.
    pub other: f64,
    /// A node's processor time a start, in microseconds, window by window, and its median.
    #[serde(skip)]
    pub windows: Vec<f64>,
    pub start_us: f64,
    /// Of a node.
    pub cores: f64,
    /// Part of the time in which a node wanted a core and had none.
    pub starved: f64,
    /// Connections to executors that came up, a start.
    pub dials: f64,
    /// Jobs that ran at the end, a node.
    pub running: f64,
    /// Of the node that has most.
    pub resident_mb: f64,
    pub share_least: f64,
    pub share_most: f64,
    /// What the latter comes to by chance alone, where all are equal.
    pub share_chance: f64,
    /// What calls took beyond what their jobs run, in milliseconds: half and 99 of 100 at most.
    pub wait_half: f64,
    pub wait_most: f64,
    /// Until all served, and a node's processor time for it, in seconds.
    pub up: f64,
    pub up_cpu: f64,
}

/// What a node spends on what comes while nobody calls, in milliseconds of processor time.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Quiet {
    pub executors: usize,
    /// Part of a core, with nothing to do.
    pub cores: f64,
    pub list_bytes: usize,
    /// A whole list of what is known; then a fifth of it goes, and comes back.
    pub list_ms: f64,
    pub fifth_bytes: usize,
    pub fifth_goes_ms: f64,
    pub fifth_comes_ms: f64,
    pub change_bytes: usize,
    pub change_ms: f64,
    /// The configuration read again, with the list as it was known in it.
    pub reload_ms: f64,
}

pub struct Side {
    rigs: Vec<(Plan, Rig)>,
    /// Of the next list.
    version: AtomicU64,
}

/// Between two acts whose price is asked for, after the last of them, and after a load.
const BETWEEN: Duration = Duration::from_millis(40);
const AFTER: Duration = Duration::from_millis(300);
const SETTLES: Duration = Duration::from_secs(2);

impl Side {
    pub async fn begin(plans: &[Plan]) -> Result<Side, String> {
        let mut rigs = Vec::new();
        for plan in plans {
            rigs.push((plan.clone(), Rig::begin(plan).await?));
        }
        Ok(Side { rigs, version: AtomicU64::new(100) })
    }

    fn look(&self) -> Vec<Look> {
        self.rigs.iter().map(|(_, rig)| rig.look()).collect()
    }

    /// So many windows under load, after `warm` seconds of it.
    pub async fn load(&self, warm: f64, windows: usize, each: f64) -> Vec<Loaded> {
        self.rigs.iter().for_each(|(_, rig)| rig.call());
        self.go_on(warm, windows, each).await
    }

    /// The same under the load that there is.
    pub async fn go_on(&self, warm: f64, windows: usize, each: f64) -> Vec<Loaded> {
        sleep(Duration::from_secs_f64(warm)).await;
        self.rigs.iter().for_each(|(_, rig)| rig.reset());
        let mut looks = vec![self.look()];
        for _ in 0..windows {
            sleep(Duration::from_secs_f64(each)).await;
            looks.push(self.look());
        }
        let of = |at: usize| looks.iter().map(|look| &look[at]).collect::<Vec<_>>();
        self.rigs.iter().enumerate().map(|(at, (plan, rig))| loaded(plan, rig, &of(at))).collect()
    }

    /// Discovery can't be reached by any node from now on.
    pub fn part(&self) {
        self.rigs.iter().for_each(|(_, rig)| rig.part());
    }

    /// Nobody calls any more, and what ran has ended.
    pub async fn hush(&self) {
        self.rigs.iter().for_each(|(_, rig)| rig.hush());
        let longest = self.rigs.iter().map(|(plan, _)| plan.runs).fold(0.0, f64::max);
        sleep(Duration::from_secs_f64(0.5 + longest / 1e3)).await;
    }

    /// Processor time of each rig's nodes for one of `many` acts, in milliseconds: what they take while these are done and
    /// for a while more, less what they take in as long a rest before. A rest is never as quiet as the one before it.
    async fn price(&self, many: usize, act: impl Fn(&Side, usize)) -> Vec<f64> {
        let mut spent = Vec::new();
        for acts in [false, true] {
            let before = self.look();
            for turn in 0..many {
                if acts {
                    act(self, turn);
                }
                sleep(BETWEEN).await;
            }
            sleep(AFTER).await;
            let after = self.look();
            spent.push(after.iter().zip(&before).map(|(after, before)| after.cpu() - before.cpu()).collect());
        }
        let [rest, acted]: &[Vec<f64>; 2] = &spent.try_into().unwrap_or_default();
        rest.iter().zip(acted).map(|(rest, acted)| 1e3 * (acted - rest) / many as f64).collect()
    }

    /// Lists, changes and new configurations, told to nodes that nobody calls.
    pub async fn quiet(&self, times: usize) -> Vec<Quiet> {
        sleep(SETTLES).await;
        let (before, began) = (self.look(), Instant::now());
        sleep(Duration::from_secs(2)).await;
        let (after, took) = (self.look(), began.elapsed().as_secs_f64());
        let mut all: Vec<Quiet> = Vec::new();
        for (at, (plan, _)) in self.rigs.iter().enumerate() {
            let cores = (after[at].cpu() - before[at].cpu()) / took;
            all.push(Quiet { executors: plan.executors, cores, ..Quiet::default() });
        }
        let whole = |list: &Listing| Listing { full: true, hosts: list.hosts.clone(), ..Listing::default() };
        let fifth = |standing| {
            move |list: &Listing| {
                let mut hosts = list.hosts[..list.hosts.len() / 5].to_vec();
                hosts.iter_mut().for_each(|host| host.standing = standing);
                Listing { hosts, ..Listing::default() }
            }
        };
        let one = |turn: usize| {
            let standing = if turn.is_multiple_of(2) { Standing::Draining } else { Standing::Ready };
            move |list: &Listing| {
                let mut host = list.hosts[(turn / 2) % list.hosts.len()].clone();
                host.standing = standing;
                Listing { hosts: vec![host], ..Listing::default() }
            }
        };
        let mut found: Vec<[Vec<f64>; 5]> = vec![Default::default(); all.len()];
        for _ in 0..times {
            let told = [
                self.price(3, |side, _| drop(side.tell(whole))).await,
                self.price(1, |side, _| drop(side.tell(fifth(Standing::Gone)))).await,
                self.price(1, |side, _| drop(side.tell(fifth(Standing::Ready)))).await,
                self.price(20, |side, turn| drop(side.tell(one(turn)))).await,
                self.price(3, |side, _| side.rigs.iter().for_each(|(_, rig)| rig.signal(Signal::SIGHUP)))
                    .await,
            ];
            for (at, found) in found.iter_mut().enumerate() {
                found.iter_mut().zip(&told).for_each(|(figures, told)| figures.push(told[at]));
            }
        }
        let (bytes, fifths, ones) = (self.tell(whole), self.tell(fifth(Standing::Ready)), self.tell(one(1)));
        for (at, quiet) in all.iter_mut().enumerate() {
            let [list, goes, comes, change, reload] = &found[at];
            (quiet.list_ms, quiet.fifth_goes_ms) = (median(list), median(goes));
            (quiet.fifth_comes_ms, quiet.change_ms) = (median(comes), median(change));
            (quiet.reload_ms, quiet.list_bytes) = (median(reload), bytes[at]);
            (quiet.fifth_bytes, quiet.change_bytes) = (fifths[at], ones[at]);
        }
        all
    }

    /// Tells each rig's watches a listing made of its list, as the next; its bytes.
    fn tell(&self, listing: impl Fn(&Listing) -> Listing) -> Vec<usize> {
        let version = self.version.fetch_add(1, Ordering::Relaxed);
        self.rigs.iter().map(|(_, rig)| rig.tell(&Listing { version, ..listing(&rig.list) })).collect()
    }

    /// Connections that this process had no descriptor for.
    pub fn turned_away(&self) -> u64 {
        self.rigs.iter().map(|(_, rig)| rig.turned_away()).sum()
    }

    pub async fn end(self) -> Result<(), String> {
        for (_, rig) in self.rigs {
            rig.end().await?;
        }
        Ok(())
    }
}

fn loaded(plan: &Plan, rig: &Rig, looks: &[&Look]) -> Loaded {
    let a_start = |pair: &[&Look]| {
        1e6 * (pair[1].cpu() - pair[0].cpu()) / (pair[1].starts() - pair[0].starts()).max(1) as f64
    };
    let windows: Vec<f64> = looks.windows(2).map(a_start).collect();
    let (first, last) = (looks[0], looks[looks.len() - 1]);
    let took = (last.at - first.at).as_secs_f64();
    let starts = (last.starts() - first.starts()) as f64;
    let (other, served) = ((last.other - first.other) as f64, (last.served - first.served) as f64);
    let (share_least, share_most) = shares(first, last);
    let (nodes, waits) = (plan.nodes as f64, rig.latencies([0.5, 0.99]).map(|ms| ms - plan.runs));
    Loaded {
        nodes: plan.nodes,
        executors: plan.executors,
        tenants: plan.tenants,
        rate: plan.rate.unwrap_or(f64::NAN),
        starts: starts / took,
        other: other / (other + served).max(1.0),
        start_us: median(&windows),
        windows,
        cores: (last.cpu() - first.cpu()) / took / nodes,
        starved: (last.waited.iter().sum::<f64>() - first.waited.iter().sum::<f64>()) / took / nodes,
        dials: (last.dialled - first.dialled) as f64 / starts.max(1.0),
        running: rig.running() as f64 / nodes,
        resident_mb: rig.resident().into_iter().fold(0.0, f64::max),
        share_least,
        share_most,
        share_chance: busiest_by_chance(starts / plan.executors as f64, plan.executors),
        wait_half: waits[0],
        wait_most: waits[1],
        up: rig.up,
        up_cpu: rig.up_cpu / nodes,
    }
}
