//! A case: its record, its folder and its verdict.
use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Case {
    begun: Instant,
    file: Arc<Mutex<File>>,
    pub trouble: bool,
    pub root: PathBuf,
    pub temp: PathBuf,
}

impl Case {
    /// The case whose folder is the first argument; the repository's root is the second.
    pub fn begin() -> Case {
        let mut arguments = std::env::args().skip(1);
        let folder = PathBuf::from(arguments.next().unwrap_or_else(|| quit("usage: CASE FOLDER ROOT")));
        let root = PathBuf::from(arguments.next().unwrap_or_else(|| quit("usage: CASE FOLDER ROOT")));
        let record = folder.join("record.txt");
        let file = File::create(&record).unwrap_or_else(|e| quit(&format!("{}: {e}", record.display())));
        // A Unix socket's path has 107 bytes at most, and the node puts one into its folder.
        let base = Some(std::env::temp_dir()).filter(|base| base.as_os_str().len() < 40);
        let temp = base.unwrap_or("/tmp".into()).join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&temp).unwrap_or_else(|e| quit(&format!("{}: {e}", temp.display())));
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let case = Case { begun: Instant::now(), file: Arc::new(Mutex::new(file)), trouble, root, temp };
        case.say(format!("trouble: {trouble}"));
        // The whole run is bounded: a script may take 120 s.
        let watchdog = case.clone();
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_secs(100));
            watchdog.finish(Verdict::CouldNotRun("the case took over 100 s".into()));
        });
        case
    }

    pub fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    /// Adds a line to the record, with the time since the start.
    pub fn say(&self, line: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.now(), line.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes the verdict, ends all processes that the case started, and exits.
    pub fn finish(&self, verdict: Verdict) -> ! {
        let (code, line) = match &verdict {
            Verdict::Held(why) => (0, format!("HELD: {why}")),
            Verdict::Broken(why) => (1, format!("BROKEN: {why}")),
            Verdict::CouldNotRun(why) => (2, format!("COULD NOT RUN: {why}")),
        };
        crate::node::end_all();
        self.say(&line);
        println!("{line}");
        let _ = std::fs::remove_dir_all(&self.temp);
        std::process::exit(code)
    }

    /// Waits until `done` or the time is over; returns whether it was done.
    pub fn wait(&self, most: f64, mut done: impl FnMut() -> bool) -> bool {
        let end = Instant::now() + Duration::from_secs_f64(most);
        while Instant::now() < end {
            if done() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        done()
    }

    pub fn sleep(&self, seconds: f64) {
        std::thread::sleep(Duration::from_secs_f64(seconds));
    }
}

pub enum Verdict {
    Held(String),
    Broken(String),
    CouldNotRun(String),
}

fn quit(why: &str) -> ! {
    eprintln!("{why}");
    std::process::exit(2)
}
