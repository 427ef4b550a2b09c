//! Tests of events that cross, on real connections: each forces its order, and what must hold holds in either.
use std::cell::RefCell;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::task::spawn_blocking;
use actix_rt::time::timeout;
use nix::libc;
use test_case::test_case;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};

use crate::clock::{seconds, Clock};
use crate::guest::{Guest, Guests, Stream};
use crate::happening::Happening;
use crate::phase::Life;
use crate::server::{self, Door};
use crate::tests::block;

/// What the operators give a node to notice that a client has left.
pub const NOTICED: f64 = 0.1;
/// A turn of the node's thread, of which a machine that is busy elsewhere gives it fewer: they count beside the time.
const TURN: f64 = 0.001;

/// A door on a port of its own, and what it tells its driver: the test is that.
async fn door() -> (SocketAddr, UnboundedReceiver<Happening>, Rc<Door>) {
    let (happenings, happens) = unbounded_channel();
    let door = Rc::new(Door::new(Clock::new(), Rc::new(Life::new()), happenings, (8, 4)));
    let listener = actix_rt::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    actix_rt::spawn(server::accept(listener, door.clone(), unbounded_channel().1));
    (addr, happens, door)
}

fn request(id: usize) -> String {
    format!("POST /look HTTP/1.1\r\nHost: n\r\nX-Call-Id: {id}\r\nX-Budget-Ms: 9000\r\nContent-Length: 2\r\n\r\nok")
}

#[derive(Clone, Copy)]
pub enum Leaves {
    Closes,
    HalfCloses,
    Resets,
}

pub fn leave(stream: TcpStream, how: Leaves) {
    match how {
        Leaves::Closes => drop(stream),
        Leaves::HalfCloses => {
            stream.shutdown(Shutdown::Write).expect("half a close");
            std::thread::sleep(seconds(1.5));
        }
        Leaves::Resets => {
            let socket = socket2::SockRef::from(&stream);
            socket.set_linger(Some(Duration::ZERO)).expect("a reset");
        }
    }
}

/// Until the first job is taken.
async fn taken(happens: &mut UnboundedReceiver<Happening>) -> (u64, Box<dyn std::any::Any>) {
    loop {
        if let Happening::Taken(id, _, answer) = happens.recv().await.expect("a happening") {
            return (id.into(), Box::new(answer));
        }
    }
}

/// The turns of this thread, and whether the kernel then had nothing for it from its clients: no byte and no close.
fn turns(guests: Guests) -> Rc<RefCell<Vec<(Instant, bool)>>> {
    let turns: Rc<RefCell<Vec<(Instant, bool)>>> = Rc::default();
    let mine = turns.clone();
    actix_rt::spawn(async move {
        loop {
            let unread = |guest: &Rc<Guest>| guest.unread();
            let some = |guest| unread(guest) > 0 || guest.has_left();
            let idle = !guests.borrow().is_empty() && !guests.borrow().values().any(some);
            mine.borrow_mut().push((Instant::now(), idle));
            actix_rt::time::sleep(seconds(TURN)).await;
        }
    });
    turns
}

/// A figure that the kernel has of a socket.
pub fn kernel(socket: &impl AsRawFd, figure: libc::Ioctl) -> i32 {
    let mut told = 0;
    // SAFETY: writes one number.
    assert_eq!(unsafe { libc::ioctl(socket.as_raw_fd(), figure, &mut told) }, 0, "the kernel tells");
    told
}

// A client that leaves while its request waits: whatever it has said beyond that request, and however it goes, that is
// noticed in time. Guards against bytes that stand ahead of the end: a server that reads no further never comes to it.
#[test_case(0, 0, Leaves::Closes; "it closes")]
#[test_case(0, 0, Leaves::HalfCloses; "it closes its half")]
#[test_case(0, 0, Leaves::Resets; "it resets")]
#[test_case(0, 30, Leaves::Closes; "behind half a request")]
#[test_case(1, 0, Leaves::Closes; "behind another request")]
#[test_case(1, 0, Leaves::HalfCloses; "behind another request, by half")]
#[test_case(1, 0, Leaves::Resets; "behind another request, by a reset")]
#[test_case(40, 0, Leaves::Closes; "behind more requests than are kept")]
#[test_case(6000, 0, Leaves::Closes; "behind more than is read ahead")]
#[test_case(6000, 0, Leaves::HalfCloses; "behind more than is read ahead, by half")]
#[test_case(0, 300_000, Leaves::Closes; "behind what is no request")]
fn who_leaves_while_its_request_waits_is_noticed(ahead: usize, junk: usize, how: Leaves) {
    block(async move {
        let (addr, mut happens, door) = door().await;
        let (go, told) = std::sync::mpsc::channel::<()>();
        let client = spawn_blocking(move || {
            let mut stream = TcpStream::connect(addr).expect("a door");
            stream.write_all(request(0).as_bytes()).expect("a request");
            told.recv().expect("a word");
            stream.set_write_timeout(Some(seconds(0.2))).expect("a limit");
            let requests: String = (1..=ahead).map(request).collect();
            // As much as goes: who sends much at once and leaves does not wait.
            let _ = stream.write_all(requests.as_bytes());
            let _ = stream.write_all("X".repeat(junk).as_bytes());
            let left = Instant::now();
            leave(stream, how);
            left
        });
        let (id, _answer) = taken(&mut happens).await;
        let turns = turns(door.guests());
        go.send(()).expect("a client");
        let noticed = timeout(seconds(3.0), async {
            loop {
                match happens.recv().await {
                    Some(Happening::Left(left)) if u64::from(left) == id => return Instant::now(),
                    Some(_) => {}
                    None => panic!("the door is gone"),
                }
            }
        });
        let noticed = noticed.await.expect("it is never noticed");
        let left = client.await.expect("a client");
        // A close behind more than the kernels hold comes when that has come: till then the node has all there is.
        let turns = turns.borrow();
        let from = turns.iter().rfind(|turn| turn.1).map_or(left, |turn| left.max(turn.0));
        let took = noticed.saturating_duration_since(from);
        let given = turns.iter().filter(|turn| turn.0 > from && turn.0 < noticed).count() as f64;
        // A turn goes by in two of its lengths at most, where the thread is given the time.
        assert!(took < seconds(NOTICED) || given < NOTICED / (2.0 * TURN), "{took:?}, {given} turns");
    });
}

// Guards against a core that is spent on a client that has said too much: bytes that can't be read on must not wake
// whoever can't read them.
#[test]
fn a_client_that_says_too_much_while_it_waits_costs_no_core() {
    block(async move {
        let (addr, mut happens, _door) = door().await;
        let client = spawn_blocking(move || {
            let mut stream = TcpStream::connect(addr).expect("a door");
            stream.set_write_timeout(Some(seconds(0.2))).expect("a limit");
            let requests: String = (0..6000).map(request).collect();
            let _ = stream.write_all(requests.as_bytes());
            stream
        });
        let _answer = taken(&mut happens).await;
        let stream = client.await.expect("a client");
        let used = || {
            let time =
                nix::time::clock_gettime(nix::time::ClockId::CLOCK_THREAD_CPUTIME_ID).expect("a clock");
            Duration::from(time)
        };
        let before = used();
        actix_rt::time::sleep(seconds(0.5)).await;
        let spent = used() - before;
        assert!(spent < seconds(0.1), "{spent:?} of half a second");
        drop(stream);
    });
}

// Guards against a process that ends while an answer is still on its way out: the client reads slowly, and the kernel
// holds less than all of it.
#[test]
fn an_answer_that_is_not_all_written_keeps_the_connection() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    block(async {
        let listener = actix_rt::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let client = actix_rt::net::TcpStream::connect(addr).await.expect("a connection");
        let socket = listener.accept().await.expect("a connection").0;
        let guest = Rc::new(Guest::new(-1));
        let mut stream = Stream::new(socket, guest.clone());
        guest.set_answered();
        assert!(!guest.is_busy(), "nothing is on its way");
        // More than the kernel takes for a client that reads nothing.
        let answer = vec![b'x'; 32 << 20];
        let mut client = client;
        let write = stream.write_all(&answer);
        tokio::pin!(write);
        assert!(timeout(seconds(0.2), &mut write).await.is_err(), "it can't all be written");
        assert!(guest.is_busy() && !guest.idle_for(Duration::ZERO), "a part is on its way");
        let read = async {
            let mut held = vec![0; 1 << 20];
            let mut many = 0;
            while many < answer.len() {
                many += client.read(&mut held).await.expect("more");
            }
        };
        let (written, ()) = tokio::join!(write, read);
        written.expect("all of it");
        assert!(!guest.is_busy(), "it has left");
    });
}

// Guards against a connection that goes on in another process, in the middle of what was dropped here.
#[test]
fn a_client_that_has_said_too_much_stays_where_its_job_is() {
    let guest = Guest::new(-1);
    guest.set_waiting();
    guest.set_job(1);
    assert!(guest.leaves().is_some() && guest.is_reusable());
    guest.set_overrun();
    assert!(guest.leaves().is_none() && !guest.is_reusable());
}
