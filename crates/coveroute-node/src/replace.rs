//! Replace: a process of this node takes the place of another one that still runs. Both are joined by a link, a Unix
//! socket in `$TMPDIR`: over it the listening sockets go to the new process with what the old one knows, and for as
//! long as both live each passes on what executors tell of the other's jobs. docs/design/replacement.md weighs the ways.
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

use crate::handed::Handed;
use crate::happening::{Happening, Happenings};
use crate::link::{Link, Message, Parted, Said, Side};

/// Of what is said on the link; another one is not understood.
const VERSION: u32 = 1;
/// For all that is said before the new process goes its way: a sixth of what it may take to be ready.
const HANDED_WITHIN: Duration = Duration::from_secs(1);
/// The longest message: a list of some thousands of executors, with what is known of each.
const LINE_MOST: usize = 4 * 1024 * 1024;
/// Messages out of a stream: one a line. Sockets come with a message's first byte, and so in the messages' order.
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
            if self.buffer.len() > LINE_MOST {
                return Err(io::Error::other("a message is too long"));
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
        self.sockets.pop_front().ok_or(io::Error::other("a socket is missing"))
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

/// Makes the call again for as long as a signal interrupts it.
fn uninterrupted<T>(mut call: impl FnMut() -> nix::Result<T>) -> nix::Result<T> {
    loop {
        match call() {
            Err(Errno::EINTR) => {}
            done => return done,
        }
    }
}

/// The most sockets that one message brings.
const SOCKETS_MOST: usize = 4;

fn receive(from: RawFd, buffer: &mut BytesMut, sockets: &mut VecDeque<OwnedFd>) -> io::Result<usize> {
    let (mut chunk, mut space) = ([0; 16 * 1024], nix::cmsg_space!([RawFd; SOCKETS_MOST]));
    let many = uninterrupted(|| {
        let mut parts = [IoSliceMut::new(&mut chunk)];
        let message = recvmsg::<()>(from, &mut parts, Some(&mut space), MsgFlags::MSG_CMSG_CLOEXEC)?;
        for control in message.cmsgs()? {
            if let ControlMessageOwned::ScmRights(raw) = control {
                // SAFETY: the kernel has just made these for us, and nobody else knows of them.
                sockets.extend(raw.into_iter().map(|fd| unsafe { OwnedFd::from_raw_fd(fd) }));
            }
        }
        Ok(message.bytes)
    })?;
    buffer.extend_from_slice(&chunk[..many]);
    Ok(many)
}

fn send(to: RawFd, line: &[u8], sockets: &[OwnedFd]) -> io::Result<usize> {
    let raw: Vec<RawFd> = sockets.iter().map(AsRawFd::as_raw_fd).collect();
    let rights = [ControlMessage::ScmRights(&raw)];
    let sent = uninterrupted(|| sendmsg::<()>(to, &[IoSlice::new(line)], &rights, MsgFlags::empty(), None))?;
    Ok(sent)
}

/// Where the process that serves at this address waits for its successor; none without `$TMPDIR`.
pub fn place(listen: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    let name = format!("coveroute-{listen}.sock").replace([':', '[', ']'], "_");
    Some(Path::new(&folder).join(name))
}

/// What the process before hands over.
pub struct Predecessor {
    /// The clients' listening socket, and the one for other nodes' messages if it has one.
    pub sockets: Vec<OwnedFd>,
    pub handed: Handed,
    reader: Reader,
    writer: OwnedWriteHalf,
}

/// Asks the process that serves there, if one does, for what it has. Whatever goes wrong, a start goes on without.
pub async fn predecessor(place: &Path) -> Option<Predecessor> {
    match timeout(HANDED_WITHIN, ask(place)).await {
        Ok(Ok(predecessor)) => Some(predecessor),
        Ok(Err(e)) if matches!(e.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused) => None,
        Ok(Err(e)) => {
            info!("starts without what a process before knows: {}: {e}", place.display());
            None
        }
        Err(_) => {
            info!("starts without what a process before knows: {}: no answer in time", place.display());
            None
        }
    }
}

async fn ask(place: &Path) -> io::Result<Predecessor> {
    let (half, mut writer) = UnixStream::connect(place).await?.into_split();
    let mut reader = Reader::new(half);
    write(&mut writer, &Message::Hello(VERSION), &[]).await?;
    match reader.next().await? {
        Message::Handed(handed, many) => {
            let sockets = (0..many).map(|_| reader.socket()).collect::<io::Result<_>>()?;
            Ok(Predecessor { sockets, handed: *handed, reader, writer })
        }
        _ => Err(io::Error::other("it hands nothing over")),
    }
}

impl Predecessor {
    /// From now on the link brings what the process before says.
    pub fn link(self, happenings: Happenings) -> ((Rc<Link>, Handed), Vec<OwnedFd>) {
        let link = join(Side::Before, 0, self.reader, self.writer, happenings);
        ((link, self.handed), self.sockets)
    }
}

fn join(
    side: Side,
    number: u64,
    mut reader: Reader,
    mut writer: OwnedWriteHalf,
    happenings: Happenings,
) -> Rc<Link> {
    let (out, mut outs) = mpsc::unbounded_channel::<Parted>();
    let link = Rc::new(Link::new(side, number, out));
    let (hears, told) = (link.clone(), link.clone());
    actix_rt::spawn(async move {
        let hear = async {
            loop {
                let said = match reader.next().await {
                    Ok(Message::Serves) => Said::Serves,
                    Ok(Message::Stopped) => Said::Stopped,
                    Ok(Message::Heard(number, held)) => {
                        hears.heard(number, held);
                        continue;
                    }
                    Ok(Message::News(number, body)) => {
                        let ((tell, told), hears) = (oneshot::channel(), hears.clone());
                        actix_rt::spawn(async move {
                            let held = told.await.unwrap_or(false);
                            hears.send(Message::Heard(number, held), Vec::new());
                        });
                        Said::News(body.into(), tell)
                    }
                    Ok(Message::Guest) => match reader.socket() {
                        Ok(socket) => Said::Guest(socket),
                        Err(e) => return e.to_string(),
                    },
                    Ok(Message::Job(job)) => match reader.socket() {
                        Ok(socket) => Said::Job(job, socket),
                        Err(e) => return e.to_string(),
                    },
                    Ok(Message::Hello(_) | Message::Handed(..)) => return "out of turn".to_owned(),
                    Err(e) => return e.to_string(),
                };
                let _ = happenings.send(Happening::Said(side, number, said));
            }
        };
        let tell = async {
            while let Some((message, sockets)) = outs.recv().await {
                if let Err(e) = write(&mut writer, &message, &sockets).await {
                    return e.to_string();
                }
                told.wrote();
            }
            String::new()
        };
        let ended = tokio::select! { ended = hear => ended, ended = tell => ended };
        info!(
            "the link to the process {} has ended: {ended}",
            if side == Side::Before { "before" } else { "after" }
        );
        hears.end();
        let _ = happenings.send(Happening::Said(side, number, Said::Ended));
    });
    link
}

/// The place where this process waits for its successor: freed when it ends, unless another one has it by then.
pub struct Waits {
    place: PathBuf,
    inode: u64,
}

impl Drop for Waits {
    fn drop(&mut self) {
        let own = std::fs::symlink_metadata(&self.place).is_ok_and(|found| found.ino() == self.inode);
        if own {
            let _ = std::fs::remove_file(&self.place);
        }
    }
}

/// Waits for successors there, in place of whatever was there before: a stale socket, or the process before.
pub fn wait(place: &Path, sockets: Vec<OwnedFd>, happenings: Happenings) -> Option<Waits> {
    let own = place.with_extension(format!("{}", std::process::id()));
    let bound = || -> io::Result<(UnixListener, u64)> {
        let _ = std::fs::remove_file(&own);
        let listener = UnixListener::bind(&own)?;
        let inode = std::fs::symlink_metadata(&own)?.ino();
        std::fs::rename(&own, place)?;
        Ok((listener, inode))
    };
    match bound() {
        Ok((listener, inode)) => {
            actix_rt::spawn(serve(listener, sockets, happenings));
            Some(Waits { place: place.to_owned(), inode })
        }
        Err(e) => {
            let _ = std::fs::remove_file(&own);
            info!("a process after this one starts without what it knows: {}: {e}", place.display());
            None
        }
    }
}

async fn serve(listener: UnixListener, sockets: Vec<OwnedFd>, happenings: Happenings) {
    for number in 0.. {
        let Ok((stream, _)) = listener.accept().await else {
            actix_rt::time::sleep(Duration::from_millis(100)).await;
            continue;
        };
        let handed = timeout(HANDED_WITHIN, hand_over(stream, number, &sockets, &happenings)).await;
        match handed {
            Ok(Ok(link)) => drop(happenings.send(Happening::Linked(link))),
            Ok(Err(e)) => warn!("nothing is handed over: {e}"),
            Err(_) => warn!("nothing is handed over: no word in time"),
        }
    }
}

async fn hand_over(
    stream: UnixStream,
    number: u64,
    sockets: &[OwnedFd],
    happenings: &Happenings,
) -> io::Result<Rc<Link>> {
    // Guards against others on the machine: whoever may start this node may replace it.
    let (theirs, ours) = (stream.peer_cred()?.uid(), nix::unistd::geteuid().as_raw());
    if theirs != ours {
        return Err(io::Error::other(format!("user {theirs} asks")));
    }
    let (half, mut writer) = stream.into_split();
    let mut reader = Reader::new(half);
    match reader.next().await? {
        Message::Hello(VERSION) => {}
        Message::Hello(other) => return Err(io::Error::other(format!("version {other} of the link"))),
        _ => return Err(io::Error::other("no greeting")),
    }
    let (tell, told) = oneshot::channel();
    let _ = happenings.send(Happening::Handing(tell));
    let handed = told.await.map_err(io::Error::other)?;
    write(&mut writer, &Message::Handed(Box::new(handed), sockets.len()), sockets).await?;
    Ok(join(Side::After, number, reader, writer, happenings.clone()))
}
