//! Listen: the sockets that a process begins with.
use std::net::SocketAddr;
use std::os::fd::OwnedFd;

use actix_rt::net::TcpListener;
use log::info;
use tokio::net::TcpSocket;

use crate::transient::retry;

/// Where operators call: shared with nobody.
pub async fn operators(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = retry(|| std::net::TcpListener::bind(addr)).await?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// The sockets that the process before handed over, or new ones. The address can be shared: a process that takes this
/// one's place may come without anything being handed over.
pub async fn sockets(
    listen: SocketAddr,
    hears: Option<SocketAddr>,
    sockets: Vec<OwnedFd>,
) -> Result<(TcpListener, Option<std::net::UdpSocket>), String> {
    let mut sockets = sockets.into_iter();
    let listener = match sockets.next() {
        Some(socket) => {
            let handed =
                TcpListener::from_std(std::net::TcpListener::from(socket)).map_err(|e| e.to_string())?;
            let there = handed.local_addr().map_err(|e| e.to_string())?;
            if there != listen {
                return Err(format!("{listen}: the process before serves at {there}"));
            }
            info!("takes over {there}");
            handed
        }
        None => {
            let listener = retry(|| reuse(listen)).await.map_err(|e| format!("{listen}: {e}"))?;
            info!("listens on {listen}");
            listener
        }
    };
    let datagrams = match (hears, sockets.next()) {
        (None, _) => None,
        (Some(hears), Some(socket)) => {
            let socket = std::net::UdpSocket::from(socket);
            let there = socket.local_addr().map_err(|e| e.to_string())?;
            if there != hears {
                return Err(format!("{hears}: the process before hears nodes at {there}"));
            }
            Some(socket)
        }
        (Some(hears), None) => Some(
            retry(|| std::net::UdpSocket::bind(hears))
                .await
                .map_err(|e| format!("nodes' messages: {hears}: {e}"))?,
        ),
    };
    Ok((listener, datagrams))
}

/// Listens at an address that another process of this user may share.
fn reuse(addr: SocketAddr) -> std::io::Result<TcpListener> {
    const BACKLOG: u32 = 1024; // As the standard library's many times over: a burst while both processes start.
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}
