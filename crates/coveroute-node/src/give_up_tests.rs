//! Tests of giving up forwards whose executors may run the job although no answer has arrived.
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use test_case::test_case;
use tokio::sync::oneshot;

use crate::client_connection::Client;
use crate::clock::Clock;
use crate::event::DriverEvent;
use crate::tests::{block, config_with, discovery_connected, driver_with_config, job};

const CALL: &str = "c";
/// Within this time after a further forward the earlier one has to be given up.
const GIVEN_UP_WITHIN: Duration = Duration::from_millis(50);
/// Several times the time without an acknowledgement after which a job is sent to another executor.
const RUN: Duration = Duration::from_millis(1500);

/// What becomes of an executor's acknowledgement.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Acknowledgement {
    /// It is lost on its way.
    Lost,
    /// The connection is reset instead of it.
    Reset,
}

/// A request that an executor received: its index, the request line, and when its head was read.
type Received = (usize, String, Instant);

/// Executors that run each job and acknowledge none.
struct Executors {
    addrs: Vec<SocketAddr>,
    received: Arc<Mutex<Vec<Received>>>,
}

impl Executors {
    fn start(count: usize, acknowledgement: Acknowledgement) -> Self {
        let received = Arc::default();
        let addrs = (0..count).map(|at| start_executor(at, acknowledgement, &received)).collect();
        Executors { addrs, received }
    }

    /// The requests whose line begins so.
    fn received(&self, method: &str) -> Vec<Received> {
        let received = self.received.lock().expect("a lock");
        received.iter().filter(|request| request.1.starts_with(method)).cloned().collect()
    }
}

fn start_executor(
    at: usize,
    acknowledgement: Acknowledgement,
    received: &Arc<Mutex<Vec<Received>>>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let received = received.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let received = received.clone();
            thread::spawn(move || serve(stream, at, acknowledgement, &received));
        }
    });
    addr
}

/// Serves the requests of a connection. Their bodies are the text `body`, or nothing.
fn serve(
    mut stream: TcpStream,
    at: usize,
    acknowledgement: Acknowledgement,
    received: &Mutex<Vec<Received>>,
) {
    let mut requests = BufReader::new(stream.try_clone().expect("a second handle"));
    loop {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if !requests.read_line(&mut head).is_ok_and(|count| count > 0) {
                return;
            }
        }
        let line = head.lines().next().unwrap_or_default().to_owned();
        received.lock().expect("a lock").push((at, line.clone(), Instant::now()));
        if !line.starts_with("POST") {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{\"x0\":2}");
            continue;
        }
        let _ = requests.read_exact(&mut [0; 4]);
        if acknowledgement == Acknowledgement::Reset {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            return;
        }
    }
}

// Guards against a job that runs twice side by side: an acknowledgement was lost, the node closed the connection, which
// gives up nothing once an executor has answered, and sent the job to another executor.
#[test_case(Acknowledgement::Lost; "the acknowledgement is lost")]
#[test_case(Acknowledgement::Reset; "the connection is reset")]
fn an_executor_is_told_to_give_up_a_job_that_another_one_gets(acknowledgement: Acknowledgement) {
    let executors = Executors::start(2, acknowledgement);
    let entry = |at: usize| format!(r#"{{"id":"s-{at}","addr":"{}","state":"up"}}"#, executors.addrs[at]);
    let known = format!("\"servers\": [{},{}]", entry(0), entry(1));
    let settings = [
        ("\"servers\": []", known.as_str()),
        ("127.0.0.1:8500", "127.0.0.1:1"),
        ("\"cancelling\": true,", "\"cancelling\": true, \"secondCopies\": false,"),
    ];
    block(async {
        let (driver, events, event_receiver, _) = driver_with_config(config_with(&settings));
        actix_rt::spawn(driver.run(event_receiver));
        let _ = events.send(discovery_connected());
        let (answer, _answered) = oneshot::channel();
        let client = Client { answer, connection: None };
        let job = job(CALL, "look", 4.0, Clock::new().now());
        let _ = events.send(DriverEvent::Accepted(7, Box::new(job), client));
        sleep(RUN).await;
    });
    let (jobs, given_up) = (executors.received("POST"), executors.received("DELETE"));
    assert_eq!(jobs.len(), 2, "{jobs:?}");
    let first = given_up.iter().find(|request| request.0 == jobs[0].0);
    let (_, line, at) = first.unwrap_or_else(|| panic!("not given up: {jobs:?}, {given_up:?}"));
    assert!(line.starts_with(&format!("DELETE /jobs/{CALL} ")), "{line}");
    assert!(*at < jobs[1].2 + GIVEN_UP_WITHIN, "{jobs:?}, {given_up:?}");
}
