//! A relay that passes a TCP connection on and counts its bytes.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

/// Buffer of one direction, in bytes.
const BUFFER: usize = 64 << 10;

/// Bytes passed on.
#[derive(Debug, Default)]
pub struct Counts {
    /// Towards the server.
    up: AtomicU64,
    /// Towards the client.
    down: AtomicU64,
}

/// A relay; its threads end with the connections and the process.
pub struct Relay {
    /// Address to connect to.
    pub address: SocketAddr,
    counts: Arc<Counts>,
}

impl Relay {
    /// Starts a relay in front of `server`.
    ///
    /// # Errors
    /// No port is free.
    pub fn start(server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let counts = Arc::new(Counts::default());
        let shared = counts.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if let Err(error) = join(client, server, &shared) {
                    eprintln!("relay to {server}: {error}");
                }
            }
        });
        Ok(Self { address, counts })
    }

    /// Returns the bytes passed to the server and to its clients so far.
    pub fn bytes(&self) -> (u64, u64) {
        let get = |count: &AtomicU64| count.load(Ordering::Relaxed);
        (get(&self.counts.up), get(&self.counts.down))
    }
}

fn join(client: TcpStream, server: SocketAddr, counts: &Arc<Counts>) -> io::Result<()> {
    let server = TcpStream::connect(server)?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let up = (client.try_clone()?, server.try_clone()?, counts.clone());
    let down = (server, client, counts.clone());
    thread::spawn(move || pass(up.0, up.1, &up.2.up));
    thread::spawn(move || pass(down.0, down.1, &down.2.down));
    Ok(())
}

fn pass(mut from: TcpStream, mut to: TcpStream, count: &AtomicU64) {
    let mut buffer = vec![0; BUFFER];
    while let Ok(read) = from.read(&mut buffer) {
        if read == 0 || to.write_all(&buffer[..read]).is_err() {
            break;
        }
        count.fetch_add(read as u64, Ordering::Relaxed);
    }
    // Either side's end ends the other; it may have ended already.
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
