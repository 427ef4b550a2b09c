//! Short messages between nodes, one datagram each from listening address to listening address: they may be lost,
//! and nobody waits for them. What comes from another address than a node's is passed over.
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use actix_rt::time::sleep;
use coveroute::types::Told;
use coveroute_fleet::message::MARK;
use coveroute_shared::{message, words};
use log::debug;
use tokio::net::UdpSocket;

use crate::fleet::Carrier;
use crate::happening::{Happening, Happenings};

/// Between two tries to hear where one fails.
const AFTER_ERROR: Duration = Duration::from_millis(1);

pub struct Peers {
    /// For what is told; it never blocks. What is heard comes by a task.
    socket: std::net::UdpSocket,
    /// Of all nodes, by their numbers.
    addrs: Rc<[SocketAddr]>,
    me: usize,
    ear: Rc<UdpSocket>,
    hears: Option<JoinHandle<()>>,
    whom: Whom,
}

/// Whom what is heard is for.
#[derive(Clone)]
struct Whom {
    addrs: Rc<[SocketAddr]>,
    happenings: Happenings,
    carrier: Option<Rc<Carrier>>,
}

impl Peers {
    /// `addrs`: of all nodes that take hints, none where there are no hints.
    pub fn new(
        me: usize,
        addrs: Vec<SocketAddr>,
        socket: std::net::UdpSocket,
        happenings: Happenings,
        carrier: Option<Rc<Carrier>>,
    ) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        let (ear, addrs) =
            (Rc::new(UdpSocket::from_std(socket.try_clone()?)?), Rc::<[SocketAddr]>::from(addrs));
        let whom = Whom { addrs: addrs.clone(), happenings, carrier };
        Ok(Peers { socket, addrs, me, ear, hears: None, whom })
    }

    /// Whether what comes is heard here, in a task of its own: not while another process of this node hears.
    pub fn hear(&mut self, hears: bool) {
        match self.hears.take() {
            Some(task) if hears => self.hears = Some(task),
            Some(task) => task.abort(),
            None if hears => self.hears = Some(actix_rt::spawn(hear(self.ear.clone(), self.whom.clone()))),
            None => {}
        }
        self.whom.carrier.iter().for_each(|carrier| carrier.take_part(hears));
    }

    pub fn tell(&self, to: usize, told: Told, mark: u32, count: u8) {
        let Some(addr) = self.addrs.get(to).filter(|_| to != self.me) else { return };
        if let Err(e) = self.socket.send_to(words(told, mark, count).as_bytes(), addr) {
            debug!("not told to node {to}: {e}");
        }
    }
}

async fn hear(socket: Rc<UdpSocket>, whom: Whom) {
    const MOST: usize = 256; // The longest hint that deployments allow.
    let mut buffer = [0; 2048];
    loop {
        let Ok((many, whose)) = socket.recv_from(&mut buffer).await else {
            // Of an earlier message that did not arrive, which may be lost; or the next call fails as well.
            sleep(AFTER_ERROR).await;
            continue;
        };
        let (bytes, Whom { addrs, happenings, carrier }) = (&buffer[..many], &whom);
        if let Some(carrier) = carrier.as_ref().filter(|_| bytes.first() == Some(&MARK) || addrs.is_empty()) {
            carrier.heard(whose, bytes);
            continue;
        }
        let from = addrs.iter().position(|addr| *addr == whose);
        let read = std::str::from_utf8(bytes).ok().filter(|text| text.len() <= MOST).and_then(message);
        match from.zip(read) {
            Some((from, (told, mark, count))) => {
                if happenings.send(Happening::Heard { from, told, mark, count }).is_err() {
                    return;
                }
            }
            None => debug!("a message from {whose} is none of ours"),
        }
    }
}
