//! The platform: starts a node by the deploy file's command, and signals it.
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::Duration;

use crate::case::Verdict;
use crate::{http, Case};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

static STARTED: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all processes that were started, each by its id.
pub fn end_all() {
    let mut started = STARTED.lock().unwrap_or_else(|e| e.into_inner());
    for child in started.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    started.clear();
}

/// A loopback address with a free port.
pub fn free_address() -> SocketAddr {
    // Below the ports that the system gives to outgoing connections, on an address that nothing else here uses.
    let ip = format!("127.{}.{}.1", 64 + std::process::id() % 128, std::process::id() / 128 % 250);
    static NEXT: Mutex<u16> = Mutex::new(9000);
    loop {
        let mut next = NEXT.lock().unwrap();
        *next += 1;
        if let Ok(listener) = TcpListener::bind(format!("{ip}:{}", *next)) {
            return listener.local_addr().expect("an address");
        }
    }
}

pub struct Node {
    pub name: String,
    pub listen: SocketAddr,
    pub pid: i32,
    pub config: std::path::PathBuf,
    pub log: std::path::PathBuf,
    case: Case,
}

/// The command that the deploy file gives under `run`.
fn run_command(case: &Case) -> Option<String> {
    let file = std::fs::read_to_string(case.root.join("deploy/balancer.toml")).ok()?;
    let line = file.lines().find(|line| line.starts_with("run ") || line.starts_with("run="))?;
    line.split('"').nth(1).map(str::to_owned)
}

impl Node {
    /// Starts a node process with this configuration; `tag` names its files.
    pub fn start(
        case: &Case,
        tag: &str,
        listen: SocketAddr,
        discovery: SocketAddr,
        management: Option<SocketAddr>,
        config: &str,
    ) -> Node {
        let Some(run) = run_command(case) else {
            case.finish(Verdict::CouldNotRun("no run command in deploy/balancer.toml".into()))
        };
        let path = case.temp.join(format!("{tag}.json"));
        let log = case.temp.join(format!("{tag}.log"));
        let temp = case.temp.join("tmp");
        let _ = std::fs::create_dir_all(&temp);
        std::fs::write(&path, config).expect("the configuration can be written");
        let out = File::create(&log).expect("the log can be written");
        let mut command = Command::new("/bin/sh");
        command.args(["-c", &run]).current_dir(&case.root).stdin(Stdio::null());
        command.stdout(out.try_clone().expect("a descriptor")).stderr(out);
        command.env("BALANCER_NAME", "n0").env("BALANCER_LISTEN", listen.to_string());
        command
            .env("BALANCER_DISCOVERY", discovery.to_string())
            .env("BALANCER_CONFIG", &path)
            .env("TMPDIR", &temp);
        match management {
            Some(management) => command.env("BALANCER_MANAGEMENT", management.to_string()),
            None => command.env_remove("BALANCER_MANAGEMENT"),
        };
        // A node ends with its case, also if that is killed.
        const SET_PARENT_DEATH_SIGNAL: i32 = 1;
        // SAFETY: one plain system call between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(SET_PARENT_DEATH_SIGNAL, SIGKILL as u64, 0, 0, 0);
                Ok(())
            })
        };
        let child =
            command.spawn().unwrap_or_else(|e| case.finish(Verdict::CouldNotRun(format!("{run}: {e}"))));
        let pid = child.id() as i32;
        STARTED.lock().unwrap().push(child);
        case.say(format!("node {tag}: `{run}` started, listens on {listen}"));
        Node { name: tag.to_owned(), listen, pid, config: path, log, case: case.clone() }
    }

    pub fn get(&self, at: SocketAddr, path: &str) -> Option<(u16, String)> {
        let answer = http::call(at, "GET", path, "", Duration::from_millis(500)).ok()?;
        Some((answer.status(), String::from_utf8_lossy(&answer.body).into_owned()))
    }

    /// Waits until the node is up; the case can't run if it is not.
    pub fn until_up(&self) {
        if !self.case.wait(30.0, || self.get(self.listen, "/up").is_some_and(|up| up.0 == 200)) {
            self.case.say(self.log_tail());
            self.case.finish(Verdict::CouldNotRun(format!("node {} was not up within 30 s", self.name)));
        }
        self.case.say(format!("node {} is up", self.name));
    }

    pub fn signal(&self, signal: i32) {
        self.case.say(format!("node {} gets signal {signal}", self.name));
        // SAFETY: a plain system call; the process is a child that has not been waited for.
        unsafe { kill(self.pid, signal) };
    }

    /// How the process has ended, if it has.
    pub fn ended(&self) -> Option<String> {
        let mut started = STARTED.lock().unwrap();
        let child = started.iter_mut().find(|child| child.id() as i32 == self.pid)?;
        child.try_wait().ok()?.map(|status| status.to_string())
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// The last lines of the node's log, for the record.
    pub fn log_tail(&self) -> String {
        let text = self.log_text();
        let lines: Vec<&str> = text.lines().collect();
        let tail = &lines[lines.len().saturating_sub(25)..];
        format!("node {}'s log ends:\n           {}", self.name, tail.join("\n           "))
    }
}
