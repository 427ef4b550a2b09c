//! Creates or takes over the sockets that a process starts with.
use std::net::SocketAddr;
use std::os::fd::{BorrowedFd, OwnedFd};

use actix_rt::net::TcpListener;
use log::info;
use tokio::net::TcpSocket;

use crate::transient::retry;

/// The listening socket for operators. Its address can't be shared with another process.
pub async fn bind_management(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let bind = || {
        let listener = std::net::TcpListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        TcpListener::from_std(listener)
    };
    retry(bind).await
}

/// The sockets for clients and for other nodes' datagrams: those handed over by the predecessor, or new ones. The
/// clients' address can be shared, because a process that replaces this one may start without a handover.
pub async fn open(
    listen: SocketAddr,
    peer_addr: Option<SocketAddr>,
    sockets: Vec<OwnedFd>,
) -> Result<(TcpListener, Option<std::net::UdpSocket>), String> {
    let mut sockets = sockets.into_iter();
    let listener = match sockets.next() {
        Some(socket) => {
            let socket = std::net::TcpListener::from(socket);
            let inherited =
                retry(|| TcpListener::from_std(socket.try_clone()?)).await.map_err(|e| e.to_string())?;
            let actual = inherited.local_addr().map_err(|e| e.to_string())?;
            if actual != listen {
                return Err(format!("{listen}: the predecessor process serves at {actual}"));
            }
            info!("taking over the listening socket at {actual}");
            inherited
        }
        None => {
            let listener = retry(|| bind_shared(listen)).await.map_err(|e| format!("{listen}: {e}"))?;
            info!("listening on {listen}");
            listener
        }
    };
    let datagrams = match (peer_addr, sockets.next()) {
        (None, _) => None,
        (Some(peer_addr), Some(socket)) => {
            let socket = std::net::UdpSocket::from(socket);
            let actual = socket.local_addr().map_err(|e| e.to_string())?;
            if actual != peer_addr {
                return Err(format!(
                    "{peer_addr}: the predecessor process receives nodes' datagrams at {actual}"
                ));
            }
            Some(socket)
        }
        (Some(peer_addr), None) => Some(
            retry(|| std::net::UdpSocket::bind(peer_addr))
                .await
                .map_err(|e| format!("peer socket: {peer_addr}: {e}"))?,
        ),
    };
    Ok((listener, datagrams))
}

/// Duplicates the sockets, for a successor.
pub async fn duplicate(sockets: impl Iterator<Item = BorrowedFd<'_>>) -> std::io::Result<Vec<OwnedFd>> {
    let mut duplicates = Vec::new();
    for socket in sockets {
        duplicates.push(retry(|| socket.try_clone_to_owned()).await?);
    }
    Ok(duplicates)
}

/// Listens at an address that other processes of the same user can share.
fn bind_shared(addr: SocketAddr) -> std::io::Result<TcpListener> {
    // Many times the standard library's default, for a burst of connections while both processes start.
    const BACKLOG: u32 = 1024;
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}
