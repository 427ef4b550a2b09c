//! Tests of races between events, on real connections: each test forces an order of the events.
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

use crate::client_connection::{ClientConnection, ClientConnections};
use crate::client_stream::ClientStream;
use crate::clock::{seconds, Clock};
use crate::event::DriverEvent;
use crate::held_bytes::HeldBytes;
use crate::node_state::NodeState;
use crate::server::{self, ClientServer};
use crate::tests::block;

/// The time in seconds in which a node must notice that a client has disconnected; set by the operators.
pub const MAX_NOTICE_DELAY: f64 = 0.1;
/// Interval in seconds at which the node's thread should run. On a busy machine it runs less often, so the
/// number of its turns counts beside the time.
const TURN_INTERVAL: f64 = 0.001;

/// Starts a server on a port of its own. The test takes the place of the driver and receives its events.
async fn server() -> (SocketAddr, UnboundedReceiver<DriverEvent>, Rc<ClientServer>) {
    let (events, event_receiver) = unbounded_channel();
    let server = Rc::new(ClientServer::new(
        Clock::new(),
        Rc::new(NodeState::new()),
        events,
        (8, 4),
        HeldBytes::unlimited(),
    ));
    let listener = actix_rt::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    actix_rt::spawn(server::accept(listener, server.clone(), unbounded_channel().1));
    (addr, event_receiver, server)
}

fn request(id: usize) -> String {
    format!("POST /look HTTP/1.1\r\nHost: n\r\nX-Call-Id: {id}\r\nX-Budget-Ms: 9000\r\nContent-Length: 2\r\n\r\nok")
}

/// How a client disconnects.
#[derive(Clone, Copy)]
pub enum Disconnect {
    Close,
    HalfClose,
    Reset,
}

pub fn disconnect(stream: TcpStream, how: Disconnect) {
    match how {
        Disconnect::Close => drop(stream),
        Disconnect::HalfClose => {
            stream.shutdown(Shutdown::Write).expect("half a close");
            std::thread::sleep(seconds(1.5));
        }
        Disconnect::Reset => {
            let socket = socket2::SockRef::from(&stream);
            socket.set_linger(Some(Duration::ZERO)).expect("a reset");
        }
    }
}

/// Waits for the first accepted job.
async fn first_job(event_receiver: &mut UnboundedReceiver<DriverEvent>) -> (u64, Box<dyn std::any::Any>) {
    loop {
        let event = event_receiver.recv().await.expect("an event");
        let DriverEvent::FromClient(event, _slot) = event else { continue };
        if let DriverEvent::Accepted(id, _, client) = *event {
            return (id.into(), Box::new(client));
        }
    }
}

/// Records the turns of this thread, and whether the kernel then had neither a byte nor a close from any
/// client for it.
fn turns(connections: ClientConnections) -> Rc<RefCell<Vec<(Instant, bool)>>> {
    let turns: Rc<RefCell<Vec<(Instant, bool)>>> = Rc::default();
    let mine = turns.clone();
    actix_rt::spawn(async move {
        loop {
            let unread = |connection: &Rc<ClientConnection>| connection.unread();
            let has_event = |connection| unread(connection) > 0 || connection.has_disconnected();
            let idle = !connections.borrow().is_empty() && !connections.borrow().values().any(has_event);
            mine.borrow_mut().push((Instant::now(), idle));
            actix_rt::time::sleep(seconds(TURN_INTERVAL)).await;
        }
    });
    turns
}

/// Queries an integer that the kernel holds for a socket.
pub fn kernel_value(socket: &impl AsRawFd, request: libc::Ioctl) -> i32 {
    let mut value = 0;
    // SAFETY: writes one integer.
    assert_eq!(unsafe { libc::ioctl(socket.as_raw_fd(), request, &mut value) }, 0, "the ioctl succeeds");
    value
}

// A client disconnects while its request is pending. That must be noticed in time, whatever the client has
// sent after the request and however it disconnects: a server that stops reading would never reach the end
// behind the unread bytes.
#[test_case(0, 0, Disconnect::Close; "it closes")]
#[test_case(0, 0, Disconnect::HalfClose; "it half-closes")]
#[test_case(0, 0, Disconnect::Reset; "it resets")]
#[test_case(0, 30, Disconnect::Close; "behind part of a request")]
#[test_case(1, 0, Disconnect::Close; "behind another request")]
#[test_case(1, 0, Disconnect::HalfClose; "behind another request, half-closed")]
#[test_case(1, 0, Disconnect::Reset; "behind another request, by a reset")]
#[test_case(40, 0, Disconnect::Close; "behind more requests than are queued")]
#[test_case(6000, 0, Disconnect::Close; "behind more than is buffered")]
#[test_case(6000, 0, Disconnect::HalfClose; "behind more than is buffered, half-closed")]
#[test_case(0, 300_000, Disconnect::Close; "behind invalid bytes")]
fn a_disconnect_while_the_request_is_pending_is_noticed(ahead: usize, junk: usize, how: Disconnect) {
    block(async move {
        let (addr, mut event_receiver, server) = server().await;
        let (go, started) = std::sync::mpsc::channel::<()>();
        let client = spawn_blocking(move || {
            let mut stream = TcpStream::connect(addr).expect("a connection");
            stream.write_all(request(0).as_bytes()).expect("a request");
            started.recv().expect("a signal");
            stream.set_write_timeout(Some(seconds(0.2))).expect("a limit");
            let requests: String = (1..=ahead).map(request).collect();
            // Sends as much as the connection takes without waiting long.
            let _ = stream.write_all(requests.as_bytes());
            let _ = stream.write_all("X".repeat(junk).as_bytes());
            let left = Instant::now();
            disconnect(stream, how);
            left
        });
        let (id, _answer) = first_job(&mut event_receiver).await;
        let turns = turns(server.connections());
        go.send(()).expect("a client");
        let noticed = timeout(seconds(3.0), async {
            loop {
                match event_receiver.recv().await {
                    Some(DriverEvent::Disconnected(left)) if u64::from(left) == id => return Instant::now(),
                    Some(_) => {}
                    None => panic!("the server has ended"),
                }
            }
        });
        let noticed = noticed.await.expect("it is never noticed");
        let left = client.await.expect("a client");
        // A close behind more bytes than the kernels buffer arrives after these. The time counts from the
        // last turn before the notice at which the node had processed everything that had arrived.
        let turns = turns.borrow();
        let from = turns.iter().rfind(|turn| turn.1).map_or(left, |turn| left.max(turn.0));
        let took = noticed.saturating_duration_since(from);
        let turns = turns.iter().filter(|turn| turn.0 > from && turn.0 < noticed).count() as f64;
        // A turn takes two intervals at most unless the machine is busy.
        let is_thread_delayed = turns < MAX_NOTICE_DELAY / (2.0 * TURN_INTERVAL);
        assert!(took < seconds(MAX_NOTICE_DELAY) || is_thread_delayed, "{took:?}, {turns} turns");
    });
}

// A client sends more than is buffered while its request is pending. The unread bytes must not wake the task
// again and again, which would take up a core.
#[test]
fn a_client_that_sends_too_much_while_it_waits_takes_up_no_core() {
    block(async move {
        let (addr, mut event_receiver, _server) = server().await;
        let client = spawn_blocking(move || {
            let mut stream = TcpStream::connect(addr).expect("a connection");
            stream.set_write_timeout(Some(seconds(0.2))).expect("a limit");
            let requests: String = (0..6000).map(request).collect();
            let _ = stream.write_all(requests.as_bytes());
            stream
        });
        let _answer = first_job(&mut event_receiver).await;
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

// A client reads slowly, and the kernel buffers only a part of the response. The process must not end before
// the rest is written.
#[test]
fn a_partly_written_response_keeps_the_connection_busy() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    block(async {
        let listener = actix_rt::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let client = actix_rt::net::TcpStream::connect(addr).await.expect("a connection");
        let socket = listener.accept().await.expect("a connection").0;
        let connection = Rc::new(ClientConnection::new(-1, HeldBytes::unlimited()));
        let mut stream = ClientStream::new(socket, connection.clone());
        connection.set_answered();
        assert!(!connection.is_busy(), "nothing is being written");
        // More than the kernel buffers for a client that reads nothing.
        let answer = vec![b'x'; 32 << 20];
        let mut client = client;
        let write = stream.write_all(&answer);
        tokio::pin!(write);
        assert!(timeout(seconds(0.2), &mut write).await.is_err(), "it can't be written completely");
        assert!(
            connection.is_busy() && !connection.idle_for(Duration::ZERO),
            "a part is still to be written"
        );
        let read = async {
            let mut buffer = vec![0; 1 << 20];
            let mut count = 0;
            while count < answer.len() {
                count += client.read(&mut buffer).await.expect("more");
            }
        };
        let (written, ()) = tokio::join!(write, read);
        written.expect("all of it");
        assert!(!connection.is_busy(), "everything is written");
    });
}

// Bytes of a client were discarded in this process. Its connection must not be handed over to another
// process, which would continue in the middle of them.
#[test]
fn a_connection_with_discarded_bytes_is_not_handed_over() {
    let connection = ClientConnection::new(-1, HeldBytes::unlimited());
    connection.set_waiting();
    connection.set_job(1);
    assert!(connection.handover().is_some() && connection.is_reusable());
    connection.set_overrun();
    assert!(connection.handover().is_none() && !connection.is_reusable());
}

// The parser may hold a second request behind one that is answered at once. Guards against a handover in between, which
// would lose it.
#[test]
fn a_connection_that_waits_for_its_turn_is_not_handed_over() {
    let connection = ClientConnection::new(-1, HeldBytes::unlimited());
    connection.set_answered();
    assert!(connection.handover().is_some() && !connection.is_busy());
    connection.set_paused(true);
    assert!(connection.handover().is_none() && connection.is_busy());
    connection.set_paused(false);
    assert!(connection.handover().is_some() && !connection.is_busy());
}

// A client may come again from the port that it has just left, before the end of its first connection is noticed.
// Guards against a second connection that is forgotten with the first: its client would not be seen to leave.
#[test]
fn the_end_of_a_connection_leaves_a_later_one_from_the_same_port() {
    let (node_state, events) = (Rc::new(NodeState::new()), unbounded_channel().0);
    let server = ClientServer::new(Clock::new(), node_state, events, (8, 4), HeldBytes::unlimited());
    let (connections, peer) = (server.connections(), ([127, 0, 0, 1], 40_000).into());
    let connect = || Rc::new(ClientConnection::new(-1, HeldBytes::unlimited()));
    let (first, second) = (connect(), connect());
    connections.borrow_mut().insert(peer, first.clone());
    connections.borrow_mut().insert(peer, second.clone());
    server.remove_connection(peer, &first);
    assert!(connections.borrow().contains_key(&peer));
    server.remove_connection(peer, &second);
    assert!(connections.borrow().is_empty());
}
