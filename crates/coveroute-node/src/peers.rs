//! Hints between nodes: short unacknowledged messages, each one datagram between the nodes' listening addresses, which
//! may be lost. Datagrams from any other address are ignored.
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use actix_rt::time::sleep;
use coveroute::types::PeerMessageKind;
use coveroute_fleet::message::MARKER_BYTE;
use coveroute_shared::{format_message, parse_message};
use log::debug;
use tokio::net::UdpSocket;

use crate::event::{DriverEvent, EventSender};
use crate::fleet::FleetMember;

/// Delay after a failed receive.
const RETRY_DELAY: Duration = Duration::from_millis(1);

pub struct Peers {
    /// For sending; non-blocking. A task receives.
    socket: std::net::UdpSocket,
    /// The addresses of all nodes, indexed by node number.
    addrs: Rc<[SocketAddr]>,
    me: usize,
    receiver: Rc<UdpSocket>,
    task: Option<JoinHandle<()>>,
    recipients: Recipients,
}

/// The recipients of incoming datagrams.
#[derive(Clone)]
struct Recipients {
    addrs: Rc<[SocketAddr]>,
    events: EventSender,
    fleet_member: Option<Rc<FleetMember>>,
}

impl Peers {
    /// `addrs`: the addresses of all nodes, or none where nodes don't exchange hints.
    pub fn new(
        me: usize,
        addrs: Vec<SocketAddr>,
        socket: std::net::UdpSocket,
        events: EventSender,
        fleet_member: Option<Rc<FleetMember>>,
    ) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        let (receiver, addrs) =
            (Rc::new(UdpSocket::from_std(socket.try_clone()?)?), Rc::<[SocketAddr]>::from(addrs));
        let recipients = Recipients { addrs: addrs.clone(), events, fleet_member };
        Ok(Peers { socket, addrs, me, receiver, task: None, recipients })
    }

    /// Starts or stops the receiving task. It must not run while another process of this node receives.
    pub fn set_receiving(&mut self, enabled: bool) {
        match self.task.take() {
            Some(task) if enabled => self.task = Some(task),
            Some(task) => task.abort(),
            None if enabled => {
                self.task = Some(actix_rt::spawn(receive(self.receiver.clone(), self.recipients.clone())))
            }
            None => {}
        }
        self.recipients.fleet_member.iter().for_each(|fleet_member| fleet_member.take_part(enabled));
    }

    pub fn send(&self, to: usize, kind: PeerMessageKind, mark: u32, count: u8) {
        let Some(addr) = self.addrs.get(to).filter(|_| to != self.me) else { return };
        if let Err(e) = self.socket.send_to(format_message(kind, mark, count).as_bytes(), addr) {
            debug!("hint to node {to} not sent: {e}");
        }
    }
}

async fn receive(socket: Rc<UdpSocket>, recipients: Recipients) {
    const MAX_HINT_BYTES: usize = 256; // The longest hint in any deployment.
    let mut buffer = [0; 2048];
    loop {
        let Ok((len, sender)) = socket.recv_from(&mut buffer).await else {
            // The error may concern an earlier datagram that could not be delivered, which may be lost. A persistent
            // error fails the next call as well, so wait a moment.
            sleep(RETRY_DELAY).await;
            continue;
        };
        let (bytes, Recipients { addrs, events, fleet_member }) = (&buffer[..len], &recipients);
        if let Some(fleet_member) =
            fleet_member.as_ref().filter(|_| bytes.first() == Some(&MARKER_BYTE) || addrs.is_empty())
        {
            fleet_member.receive(sender, bytes);
            continue;
        }
        let from = addrs.iter().position(|addr| *addr == sender);
        let read = std::str::from_utf8(bytes)
            .ok()
            .filter(|text| text.len() <= MAX_HINT_BYTES)
            .and_then(parse_message);
        match from.zip(read) {
            Some((from, (kind, mark, count))) => {
                if events.send(DriverEvent::PeerMessage { from, kind, mark, count }).is_err() {
                    return;
                }
            }
            None => debug!("ignored an unexpected datagram from {sender}"),
        }
    }
}
