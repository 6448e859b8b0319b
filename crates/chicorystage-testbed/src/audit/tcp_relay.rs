use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Something between two processes that can lose track of open connections.
///
/// A connection that is silenced stays open at both ends and carries nothing
/// more; connections opened later work.
#[derive(Debug)]
pub struct TcpRelay {
    /// Address to connect to.
    pub address: SocketAddr,
    silenced: watch::Sender<u64>,
}

impl TcpRelay {
    /// Starts a relay to an address; it ends when dropped.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let silenced = watch::Sender::new(0);
        tokio::spawn(accept(listener, target, silenced.subscribe()));
        Ok(Self { address, silenced })
    }

    /// Silences every connection that is open now.
    pub fn silence_open(&self) {
        self.silenced.send_modify(|count| *count += 1);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mut silenced: watch::Receiver<u64>) {
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((near, _peer)) = accepted {
                    tokio::spawn(relay(near, target, silenced.clone()));
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

async fn relay(mut near: TcpStream, target: SocketAddr, mut silenced: watch::Receiver<u64>) {
    let Ok(mut far) = TcpStream::connect(target).await else {
        return;
    };
    silenced.mark_unchanged();
    let changed = tokio::select! {
        _ended = copy_bidirectional(&mut near, &mut far) => return,
        changed = silenced.changed() => changed,
    };
    if changed.is_err() {
        return;
    }
    // Both ends stay open; what they send is swallowed until one closes.
    tokio::join!(swallow(near), swallow(far));
}

async fn swallow(mut stream: TcpStream) {
    let mut buffer = [0; 4_096];
    while let Ok(count) = stream.read(&mut buffer).await {
        if count == 0 {
            // The other end stays open, as it never hears of this one.
            let _closed = stream.shutdown().await;
            return;
        }
    }
}
