//! Short messages between nodes, one datagram each from listening address to listening address: they may be lost,
//! and nobody waits for them. What comes from another address than a node's is passed over.
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_rt::task::JoinHandle;
use coveroute::types::Told;
use coveroute_shared::{message, words};
use log::debug;
use tokio::net::UdpSocket;

use crate::driver::{Happening, Happenings};

pub struct Peers {
    /// For what is told; it never blocks. What is heard comes by a task.
    socket: std::net::UdpSocket,
    /// Of all nodes, by their numbers.
    addrs: Rc<[SocketAddr]>,
    me: usize,
    ear: Rc<UdpSocket>,
    hears: Option<JoinHandle<()>>,
    happenings: Happenings,
}

impl Peers {
    /// Listens at its own address from now on, in a task of its own.
    pub fn new(
        me: usize,
        addrs: Vec<SocketAddr>,
        socket: std::net::UdpSocket,
        happenings: Happenings,
    ) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        let (ear, addrs) = (UdpSocket::from_std(socket.try_clone()?)?, Rc::from(addrs));
        let ear = Rc::new(ear);
        let hears = Some(actix_rt::spawn(hear(ear.clone(), Rc::clone(&addrs), happenings.clone())));
        Ok(Peers { socket, addrs, me, ear, hears, happenings })
    }

    /// Whether what comes is heard here: not once a successor does.
    pub fn hear(&mut self, hears: bool) {
        let anew = || {
            let (ear, addrs, happenings) =
                (self.ear.clone(), Rc::clone(&self.addrs), self.happenings.clone());
            actix_rt::spawn(hear(ear, addrs, happenings))
        };
        match self.hears.take() {
            Some(task) if hears => self.hears = Some(task),
            Some(task) => task.abort(),
            None if hears => self.hears = Some(anew()),
            None => {}
        }
    }

    pub fn tell(&self, to: usize, told: Told, mark: u32, count: u8) {
        let Some(addr) = self.addrs.get(to).filter(|_| to != self.me) else { return };
        if let Err(e) = self.socket.send_to(words(told, mark, count).as_bytes(), addr) {
            debug!("not told to node {to}: {e}");
        }
    }
}

async fn hear(socket: Rc<UdpSocket>, addrs: Rc<[SocketAddr]>, happenings: Happenings) {
    const MOST: usize = 256; // The longest message that deployments allow.
    let mut buffer = [0; MOST];
    loop {
        // An error here is of an earlier message that did not arrive: it may be lost.
        let Ok((many, whose)) = socket.recv_from(&mut buffer).await else { continue };
        let from = addrs.iter().position(|addr| *addr == whose);
        let read = std::str::from_utf8(&buffer[..many]).ok().and_then(message);
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
