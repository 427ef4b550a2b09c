//! Several rigs that run side by side and are measured at the same times, so that other load on the machine affects all.
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use coveroute::types::Standing;
use coveroute_engine::Listing;
use nix::sys::signal::Signal;
use serde::Serialize;
use tokio::time::sleep;

use super::fit::{expected_max_over_mean, median};
use crate::load::{shares, LoadPlan, Rig, Snapshot};

/// Measurements of a rig under load.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadFigures {
    pub nodes: usize,
    pub executors: usize,
    pub tenants: usize,
    /// Starts per second over all nodes, requested and achieved.
    pub rate: f64,
    pub starts: f64,
    /// Fraction of the calls that ended without a result.
    pub other: f64,
    /// Processor time of the nodes per start, in microseconds: in each window, and the median.
    #[serde(skip)]
    pub windows: Vec<f64>,
    pub start_us: f64,
    /// Cores that each node uses.
    pub cores: f64,
    /// Fraction of the time in which a node waited for a core.
    pub starved: f64,
    /// New connections to executors per start.
    pub dials: f64,
    /// Jobs running at the end, per node.
    pub running: f64,
    /// Resident memory of the node that has most.
    pub resident_mb: f64,
    /// Least and greatest number of jobs of an executor, over the mean.
    pub share_least: f64,
    pub share_most: f64,
    /// The expected value of `share_most` if all executors are equally likely.
    pub share_chance: f64,
    /// Latency of the calls beyond the duration of their jobs, in milliseconds: median and 99th percentile.
    pub wait_half: f64,
    pub wait_most: f64,
    /// Time until all nodes served, and the processor time each node took for it, in seconds.
    pub up: f64,
    pub up_cpu: f64,
}

/// Cost of control messages at a rig's nodes while there are no calls, in milliseconds of processor time.
#[derive(Clone, Debug, Default, Serialize)]
pub struct IdleFigures {
    pub executors: usize,
    /// Fraction of a core when idle.
    pub cores: f64,
    pub list_bytes: usize,
    /// A full list with no change; then a change in which a fifth of the executors leave, and one in which they return.
    pub list_ms: f64,
    pub fifth_bytes: usize,
    pub fifth_goes_ms: f64,
    pub fifth_comes_ms: f64,
    pub change_bytes: usize,
    pub change_ms: f64,
    /// A reload of the configuration, whose list is the known one.
    pub reload_ms: f64,
}

/// Rigs that run side by side.
pub struct RigGroup {
    rigs: Vec<(LoadPlan, Rig)>,
    /// Version of the next list.
    version: AtomicU64,
}

/// Pauses between two measured actions, after the last of them, and after a load.
const BETWEEN_ACTIONS: Duration = Duration::from_millis(40);
const AFTER_ACTIONS: Duration = Duration::from_millis(300);
const SETTLE_TIME: Duration = Duration::from_secs(2);

impl RigGroup {
    /// Starts a rig for each plan, one after the other.
    pub async fn start(plans: &[LoadPlan]) -> Result<RigGroup, String> {
        let mut rigs = Vec::new();
        for plan in plans {
            rigs.push((plan.clone(), Rig::start(plan).await?));
        }
        Ok(RigGroup { rigs, version: AtomicU64::new(100) })
    }

    fn sample(&self) -> Vec<Snapshot> {
        self.rigs.iter().map(|(_, rig)| rig.snapshot()).collect()
    }

    /// Starts the load, and measures `windows` windows of `each` seconds after a warm-up of `warm` seconds.
    pub async fn load(&self, warm: f64, windows: usize, each: f64) -> Vec<LoadFigures> {
        self.rigs.iter().for_each(|(_, rig)| rig.start_clients());
        self.continue_load(warm, windows, each).await
    }

    /// Like `load`, with the load that is already running.
    pub async fn continue_load(&self, warm: f64, windows: usize, each: f64) -> Vec<LoadFigures> {
        sleep(Duration::from_secs_f64(warm)).await;
        self.rigs.iter().for_each(|(_, rig)| rig.reset());
        let mut samples = vec![self.sample()];
        for _ in 0..windows {
            sleep(Duration::from_secs_f64(each)).await;
            samples.push(self.sample());
        }
        let of_rig = |at: usize| samples.iter().map(|sample| &sample[at]).collect::<Vec<_>>();
        self.rigs.iter().enumerate().map(|(at, (plan, rig))| load_figures(plan, rig, &of_rig(at))).collect()
    }

    /// Makes discovery unreachable for all nodes from now on.
    pub fn cut_discovery(&self) {
        self.rigs.iter().for_each(|(_, rig)| rig.disconnect_discovery());
    }

    /// Stops the calls and waits until the running jobs have ended.
    pub async fn stop_calls(&self) {
        self.rigs.iter().for_each(|(_, rig)| rig.stop_calls());
        let longest = self.rigs.iter().map(|(plan, _)| plan.runs).fold(0.0, f64::max);
        sleep(Duration::from_secs_f64(0.5 + longest / 1e3)).await;
    }

    /// Processor time of each rig's nodes per action, in milliseconds: the time taken during `many` actions and a while
    /// after, less the time taken in an equally long idle period just before: idle cost changes from period to period.
    async fn cost_per_action(&self, many: usize, action: impl Fn(&RigGroup, usize)) -> Vec<f64> {
        let mut spent = Vec::new();
        for active in [false, true] {
            let before = self.sample();
            for turn in 0..many {
                if active {
                    action(self, turn);
                }
                sleep(BETWEEN_ACTIONS).await;
            }
            sleep(AFTER_ACTIONS).await;
            let after = self.sample();
            spent.push(after.iter().zip(&before).map(|(after, before)| after.cpu() - before.cpu()).collect());
        }
        let [idle, active]: &[Vec<f64>; 2] = &spent.try_into().unwrap_or_default();
        idle.iter().zip(active).map(|(idle, active)| 1e3 * (active - idle) / many as f64).collect()
    }

    /// Measures the cost of lists, changes and new configurations at nodes without calls; medians over `times` rounds.
    pub async fn measure_idle(&self, times: usize) -> Vec<IdleFigures> {
        sleep(SETTLE_TIME).await;
        let (before, start) = (self.sample(), Instant::now());
        sleep(Duration::from_secs(2)).await;
        let (after, elapsed) = (self.sample(), start.elapsed().as_secs_f64());
        let mut all: Vec<IdleFigures> = Vec::new();
        for (at, (plan, _)) in self.rigs.iter().enumerate() {
            let cores = (after[at].cpu() - before[at].cpu()) / elapsed;
            all.push(IdleFigures { executors: plan.executors, cores, ..IdleFigures::default() });
        }
        let full_list =
            |list: &Listing| Listing { full: true, hosts: list.hosts.clone(), ..Listing::default() };
        let fifth = |standing| {
            move |list: &Listing| {
                let mut hosts = list.hosts[..list.hosts.len() / 5].to_vec();
                hosts.iter_mut().for_each(|host| host.standing = standing);
                Listing { hosts, ..Listing::default() }
            }
        };
        let one_change = |turn: usize| {
            let standing = if turn.is_multiple_of(2) { Standing::Draining } else { Standing::Ready };
            move |list: &Listing| {
                let mut host = list.hosts[(turn / 2) % list.hosts.len()].clone();
                host.standing = standing;
                Listing { hosts: vec![host], ..Listing::default() }
            }
        };
        let mut measured: Vec<[Vec<f64>; 5]> = vec![Default::default(); all.len()];
        for _ in 0..times {
            let costs = [
                self.cost_per_action(3, |group, _| drop(group.send_listing(full_list))).await,
                self.cost_per_action(1, |group, _| drop(group.send_listing(fifth(Standing::Gone)))).await,
                self.cost_per_action(1, |group, _| drop(group.send_listing(fifth(Standing::Ready)))).await,
                self.cost_per_action(20, |group, turn| drop(group.send_listing(one_change(turn)))).await,
                self.cost_per_action(3, |group, _| {
                    group.rigs.iter().for_each(|(_, rig)| rig.signal(Signal::SIGHUP))
                })
                .await,
            ];
            for (at, measured) in measured.iter_mut().enumerate() {
                measured.iter_mut().zip(&costs).for_each(|(figures, cost)| figures.push(cost[at]));
            }
        }
        let (full_bytes, fifth_bytes, change_bytes) = (
            self.send_listing(full_list),
            self.send_listing(fifth(Standing::Ready)),
            self.send_listing(one_change(1)),
        );
        for (at, figures) in all.iter_mut().enumerate() {
            let [list, leave, return_, change, reload] = &measured[at];
            (figures.list_ms, figures.fifth_goes_ms) = (median(list), median(leave));
            (figures.fifth_comes_ms, figures.change_ms) = (median(return_), median(change));
            (figures.reload_ms, figures.list_bytes) = (median(reload), full_bytes[at]);
            (figures.fifth_bytes, figures.change_bytes) = (fifth_bytes[at], change_bytes[at]);
        }
        all
    }

    /// Sends each rig's nodes a listing derived from the rig's list, with the next version; returns its size in bytes per
    /// rig.
    fn send_listing(&self, listing: impl Fn(&Listing) -> Listing) -> Vec<usize> {
        let version = self.version.fetch_add(1, Ordering::Relaxed);
        self.rigs.iter().map(|(_, rig)| rig.publish(&Listing { version, ..listing(&rig.list) })).collect()
    }

    /// Number of connections for which this process had no descriptor.
    pub fn failed_accepts(&self) -> u64 {
        self.rigs.iter().map(|(_, rig)| rig.failed_accepts()).sum()
    }

    /// Stops all rigs; fails if a node had ended before.
    pub async fn stop(self) -> Result<(), String> {
        for (_, rig) in self.rigs {
            rig.stop().await?;
        }
        Ok(())
    }
}

fn load_figures(plan: &LoadPlan, rig: &Rig, samples: &[&Snapshot]) -> LoadFigures {
    let us_per_start = |pair: &[&Snapshot]| {
        1e6 * (pair[1].cpu() - pair[0].cpu()) / (pair[1].starts() - pair[0].starts()).max(1) as f64
    };
    let windows: Vec<f64> = samples.windows(2).map(us_per_start).collect();
    let (first, last) = (samples[0], samples[samples.len() - 1]);
    let elapsed = (last.at - first.at).as_secs_f64();
    let starts = (last.starts() - first.starts()) as f64;
    let (other, served) = ((last.other - first.other) as f64, (last.served - first.served) as f64);
    let (share_least, share_most) = shares(first, last);
    let (nodes, waits) = (plan.nodes as f64, rig.latencies([0.5, 0.99]).map(|ms| ms - plan.runs));
    LoadFigures {
        nodes: plan.nodes,
        executors: plan.executors,
        tenants: plan.tenants,
        rate: plan.rate.unwrap_or(f64::NAN),
        starts: starts / elapsed,
        other: other / (other + served).max(1.0),
        start_us: median(&windows),
        windows,
        cores: (last.cpu() - first.cpu()) / elapsed / nodes,
        starved: (last.waited.iter().sum::<f64>() - first.waited.iter().sum::<f64>()) / elapsed / nodes,
        dials: (last.connections_accepted - first.connections_accepted) as f64 / starts.max(1.0),
        running: rig.running() as f64 / nodes,
        resident_mb: rig.resident().into_iter().fold(0.0, f64::max),
        share_least,
        share_most,
        share_chance: expected_max_over_mean(starts / plan.executors as f64, plan.executors),
        wait_half: waits[0],
        wait_most: waits[1],
        up: rig.up,
        up_cpu: rig.up_cpu / nodes,
    }
}
