use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A TCP relay that can make open connections hang, as a middlebox that lost their state.
///
/// A silenced connection stays open at both ends, and all further data is
/// discarded. Connections opened later work.
#[derive(Debug)]
pub struct TcpRelay {
    /// Address on which the relay accepts connections.
    pub address: SocketAddr,
    silenced: watch::Sender<u64>,
}

impl TcpRelay {
    /// Starts a relay to an address.
    ///
    /// Dropping it stops accepting and closes the connections that are not silenced.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error where it cannot listen.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let silenced = watch::Sender::new(0);
        tokio::spawn(accept_connections(listener, target, silenced.subscribe()));
        Ok(Self { address, silenced })
    }

    /// Silences every connection that is open at the moment.
    pub fn silence_open_connections(&self) {
        self.silenced.send_modify(|count| *count += 1);
    }
}

async fn accept_connections(
    listener: TcpListener,
    target: SocketAddr,
    mut silenced: watch::Receiver<u64>,
) {
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((client, _peer)) = accepted {
                    tokio::spawn(relay_connection(client, target, silenced.clone()));
                }
            }
            changed = silenced.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

async fn relay_connection(
    mut client: TcpStream,
    target: SocketAddr,
    mut silenced: watch::Receiver<u64>,
) {
    let Ok(mut server) = TcpStream::connect(target).await else {
        return;
    };
    silenced.mark_unchanged();
    let changed = tokio::select! {
        _ended = copy_bidirectional(&mut client, &mut server) => return,
        changed = silenced.changed() => changed,
    };
    if changed.is_err() {
        return;
    }
    // Both ends stay open. Each one's data is discarded until it closes.
    tokio::join!(discard(client), discard(server));
}

async fn discard(mut stream: TcpStream) {
    let mut buffer = [0; 4_096];
    while let Ok(count) = stream.read(&mut buffer).await {
        if count == 0 {
            // The other end stays open, as it is not notified that this one closed.
            let _closed = stream.shutdown().await;
            return;
        }
    }
}
