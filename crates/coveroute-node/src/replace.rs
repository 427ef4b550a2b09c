//! Process replacement: a new process of this node takes over from one that still runs. The two are connected by a
//! link, a Unix socket in `$TMPDIR`. Over it the old process passes its listening sockets and its state, and while
//! both run each relays executors' reports on the other's jobs. docs/design/replacement.md compares the alternatives.
use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, IoSliceMut};
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, FromRawFd, OwnedFd, RawFd};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::timeout;
use bytes::BytesMut;
use log::{info, warn};
use nix::errno::Errno;
use nix::sys::socket::{recvmsg, sendmsg, ControlMessage, ControlMessageOwned, MsgFlags};
use tokio::io::Interest;
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot};

use crate::event::{DriverEvent, EventSender};
use crate::handover::HandoverState;
use crate::link::{Link, LinkEvent, Message, OutgoingMessage, Side};

/// Protocol version of the link. Processes with different versions can't be connected.
const PROTOCOL_VERSION: u32 = 1;
/// Time limit for the whole handover of state: a sixth of the time in which a new process must be ready.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest message: the state of a node with some thousands of executors.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Reads messages from a stream, one per line. Sockets arrive with the first byte of their message, and so in the order
/// of the messages.
struct Reader {
    half: OwnedReadHalf,
    buffer: BytesMut,
    sockets: VecDeque<OwnedFd>,
}

impl Reader {
    fn new(half: OwnedReadHalf) -> Self {
        Reader { half, buffer: BytesMut::new(), sockets: VecDeque::new() }
    }

    async fn next(&mut self) -> io::Result<Message> {
        loop {
            if let Some(end) = self.buffer.iter().position(|&b| b == b'\n') {
                let line = self.buffer.split_to(end + 1);
                return Ok(serde_json::from_slice(&line)?);
            }
            if self.buffer.len() > MAX_MESSAGE_BYTES {
                return Err(io::Error::other("link message too long"));
            }
            let Reader { half, buffer, sockets } = self;
            let socket: &UnixStream = half.as_ref();
            let read = || receive(socket.as_raw_fd(), buffer, sockets);
            if socket.async_io(Interest::READABLE, read).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn socket(&mut self) -> io::Result<OwnedFd> {
        self.sockets.pop_front().ok_or(io::Error::other("link message without its socket"))
    }
}

async fn write(half: &mut OwnedWriteHalf, message: &Message, sockets: &[OwnedFd]) -> io::Result<()> {
    let mut line = serde_json::to_vec(message)?;
    line.push(b'\n');
    let mut rest = &line[..];
    if !sockets.is_empty() {
        let socket: &UnixStream = (*half).as_ref();
        let written =
            socket.async_io(Interest::WRITABLE, || send(socket.as_raw_fd(), &line, sockets)).await?;
        rest = &line[written..];
    }
    while !rest.is_empty() {
        half.writable().await?;
        match half.try_write(rest) {
            Ok(written) => rest = &rest[written..],
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Repeats a system call that was interrupted by a signal.
fn retry_on_eintr<T>(mut call: impl FnMut() -> nix::Result<T>) -> nix::Result<T> {
    loop {
        match call() {
            Err(Errno::EINTR) => {}
            done => return done,
        }
    }
}

/// The most sockets that one message carries.
const MAX_SOCKETS_PER_MESSAGE: usize = 4;

fn receive(from: RawFd, buffer: &mut BytesMut, sockets: &mut VecDeque<OwnedFd>) -> io::Result<usize> {
    let (mut chunk, mut space) = ([0; 16 * 1024], nix::cmsg_space!([RawFd; MAX_SOCKETS_PER_MESSAGE]));
    let count = retry_on_eintr(|| {
        let mut parts = [IoSliceMut::new(&mut chunk)];
        let message = recvmsg::<()>(from, &mut parts, Some(&mut space), MsgFlags::MSG_CMSG_CLOEXEC)?;
        for control in message.cmsgs()? {
            if let ControlMessageOwned::ScmRights(raw) = control {
                // SAFETY: the kernel has just created these descriptors for this process, and nothing else owns them.
                sockets.extend(raw.into_iter().map(|fd| unsafe { OwnedFd::from_raw_fd(fd) }));
            }
        }
        Ok(message.bytes)
    })?;
    buffer.extend_from_slice(&chunk[..count]);
    Ok(count)
}

fn send(to: RawFd, line: &[u8], sockets: &[OwnedFd]) -> io::Result<usize> {
    let raw: Vec<RawFd> = sockets.iter().map(AsRawFd::as_raw_fd).collect();
    let rights = [ControlMessage::ScmRights(&raw)];
    let sent = retry_on_eintr(|| sendmsg::<()>(to, &[IoSlice::new(line)], &rights, MsgFlags::empty(), None))?;
    Ok(sent)
}

/// The Unix socket path at which the process that serves this address accepts a successor; none without `$TMPDIR`.
pub fn socket_path(listen: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    let name = format!("coveroute-{listen}.sock").replace([':', '[', ']'], "_");
    Some(Path::new(&folder).join(name))
}

/// A connection to the predecessor process, with the state that it handed over.
pub struct Predecessor {
    /// The listening socket for clients, and the datagram socket for other nodes if there is one.
    pub sockets: Vec<OwnedFd>,
    pub state: HandoverState,
    reader: Reader,
    writer: OwnedWriteHalf,
}

/// Requests the state of the process that serves there, if there is one. On any failure the start continues without it.
pub async fn predecessor(path: &Path) -> Option<Predecessor> {
    match timeout(HANDOVER_TIMEOUT, request_handover(path)).await {
        Ok(Ok(predecessor)) => Some(predecessor),
        Ok(Err(e)) if matches!(e.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused) => None,
        Ok(Err(e)) => {
            info!("starting without a predecessor's state: {}: {e}", path.display());
            None
        }
        Err(_) => {
            info!("starting without a predecessor's state: {}: no reply in time", path.display());
            None
        }
    }
}

async fn request_handover(path: &Path) -> io::Result<Predecessor> {
    let (half, mut writer) = UnixStream::connect(path).await?.into_split();
    let mut reader = Reader::new(half);
    write(&mut writer, &Message::Hello(PROTOCOL_VERSION), &[]).await?;
    match reader.next().await? {
        Message::State(state, count) => {
            let sockets = (0..count).map(|_| reader.socket()).collect::<io::Result<_>>()?;
            Ok(Predecessor { sockets, state: *state, reader, writer })
        }
        _ => Err(io::Error::other("unexpected reply to the handover request")),
    }
}

impl Predecessor {
    /// Starts the link, which from now on reports the predecessor's messages as events.
    pub fn into_link(self, events: EventSender) -> ((Rc<Link>, HandoverState), Vec<OwnedFd>) {
        let link = start_link(Side::Predecessor, 0, self.reader, self.writer, events);
        ((link, self.state), self.sockets)
    }
}

fn start_link(
    side: Side,
    number: u64,
    mut reader: Reader,
    mut writer: OwnedWriteHalf,
    events: EventSender,
) -> Rc<Link> {
    let (out, mut outs) = mpsc::unbounded_channel::<OutgoingMessage>();
    let link = Rc::new(Link::new(side, number, out));
    let (incoming, outgoing) = (link.clone(), link.clone());
    actix_rt::spawn(async move {
        let receive_all = async {
            loop {
                let event = match reader.next().await {
                    Ok(Message::Serving) => LinkEvent::Serving,
                    Ok(Message::Stopped) => LinkEvent::Stopped,
                    Ok(Message::ReportReply(number, known)) => {
                        incoming.complete_report(number, known);
                        continue;
                    }
                    Ok(Message::ExecutorReport(number, body)) => {
                        let ((reply, replied), incoming) = (oneshot::channel(), incoming.clone());
                        actix_rt::spawn(async move {
                            let known = replied.await.unwrap_or(false);
                            incoming.send(Message::ReportReply(number, known), Vec::new());
                        });
                        LinkEvent::ExecutorReport(body.into(), reply)
                    }
                    Ok(Message::IdleConnection) => match reader.socket() {
                        Ok(socket) => LinkEvent::IdleConnection(socket),
                        Err(e) => return e.to_string(),
                    },
                    Ok(Message::Job(job)) => match reader.socket() {
                        Ok(socket) => LinkEvent::Job(job, socket),
                        Err(e) => return e.to_string(),
                    },
                    Ok(Message::Hello(_) | Message::State(..)) => return "unexpected message".to_owned(),
                    Err(e) => return e.to_string(),
                };
                let _ = events.send(DriverEvent::LinkMessage(side, number, event));
            }
        };
        let send_all = async {
            while let Some((message, sockets)) = outs.recv().await {
                if let Err(e) = write(&mut writer, &message, &sockets).await {
                    return e.to_string();
                }
                outgoing.mark_written();
            }
            String::new()
        };
        let ended = tokio::select! { ended = receive_all => ended, ended = send_all => ended };
        info!(
            "the link to the process {} has ended: {ended}",
            if side == Side::Predecessor { "before" } else { "after" }
        );
        incoming.close();
        let _ = events.send(DriverEvent::LinkMessage(side, number, LinkEvent::Ended));
    });
    link
}

/// The bound socket for successors. Its path is removed on drop, unless another process has bound it by then.
pub struct BoundSocket {
    path: PathBuf,
    inode: u64,
}

impl Drop for BoundSocket {
    fn drop(&mut self) {
        let own = std::fs::symlink_metadata(&self.path).is_ok_and(|found| found.ino() == self.inode);
        if own {
            let _ = std::fs::remove_file(&self.path);
        }
    }
}

/// Accepts successors at this path, and replaces whatever socket was there: a stale one, or the predecessor's.
pub fn listen_for_successors(path: &Path, sockets: Vec<OwnedFd>, events: EventSender) -> Option<BoundSocket> {
    let own = path.with_extension(format!("{}", std::process::id()));
    let bound = || -> io::Result<(UnixListener, u64)> {
        let _ = std::fs::remove_file(&own);
        let listener = UnixListener::bind(&own)?;
        let inode = std::fs::symlink_metadata(&own)?.ino();
        std::fs::rename(&own, path)?;
        Ok((listener, inode))
    };
    match bound() {
        Ok((listener, inode)) => {
            actix_rt::spawn(accept_successors(listener, sockets, events));
            Some(BoundSocket { path: path.to_owned(), inode })
        }
        Err(e) => {
            let _ = std::fs::remove_file(&own);
            info!("a successor will start without this process's state: {}: {e}", path.display());
            None
        }
    }
}

async fn accept_successors(listener: UnixListener, sockets: Vec<OwnedFd>, events: EventSender) {
    for number in 0.. {
        let Ok((stream, _)) = listener.accept().await else {
            actix_rt::time::sleep(Duration::from_millis(100)).await;
            continue;
        };
        let handover = timeout(HANDOVER_TIMEOUT, hand_over(stream, number, &sockets, &events)).await;
        match handover {
            Ok(Ok(link)) => drop(events.send(DriverEvent::SuccessorConnected(link))),
            Ok(Err(e)) => warn!("handover failed: {e}"),
            Err(_) => warn!("handover failed: timed out"),
        }
    }
}

async fn hand_over(
    stream: UnixStream,
    number: u64,
    sockets: &[OwnedFd],
    events: &EventSender,
) -> io::Result<Rc<Link>> {
    // Only processes of the same user may replace this one: other users of the machine are rejected.
    let (theirs, ours) = (stream.peer_cred()?.uid(), nix::unistd::geteuid().as_raw());
    if theirs != ours {
        return Err(io::Error::other(format!("request from user {theirs}")));
    }
    let (half, mut writer) = stream.into_split();
    let mut reader = Reader::new(half);
    match reader.next().await? {
        Message::Hello(PROTOCOL_VERSION) => {}
        Message::Hello(other) => {
            return Err(io::Error::other(format!("unsupported link protocol version {other}")))
        }
        _ => return Err(io::Error::other("expected a hello message")),
    }
    let (reply, replied) = oneshot::channel();
    let _ = events.send(DriverEvent::HandoverRequested(reply));
    let state = replied.await.map_err(io::Error::other)?;
    write(&mut writer, &Message::State(Box::new(state), sockets.len()), sockets).await?;
    Ok(start_link(Side::Successor, number, reader, writer, events.clone()))
}
