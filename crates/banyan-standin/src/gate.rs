//! Faults of connections: every byte of a stand-in passes its [`ConnectionGate`].

use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Whether a stand-in listens and stands still.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GateMode {
    /// Whether it listens.
    pub listening: bool,
    /// Whether it stands still.
    pub frozen: bool,
    /// Whether every connection breaks.
    pub cut: bool,
}

/// Decides for each connection whether its bytes pass.
#[derive(Debug)]
pub struct ConnectionGate {
    mode: watch::Sender<GateMode>,
    table: Mutex<ConnectionTable>,
}

/// The open connections, numbered in the order in which they came.
#[derive(Debug, Default)]
struct ConnectionTable {
    next: u64,
    /// Connections below this number are silent for good.
    silent_below: u64,
    /// Connections below this number are broken.
    broken_below: u64,
    wakers: BTreeMap<u64, Waker>,
}

/// What a connection may do.
enum Passage {
    Open,
    Held,
    Silent,
    Broken,
}

impl ConnectionGate {
    /// A gate that lets everything pass.
    pub fn new() -> Arc<Self> {
        let mode = GateMode { listening: true, frozen: false, cut: false };
        Arc::new(Self { mode: watch::Sender::new(mode), table: Mutex::default() })
    }

    /// The mode, to be read and waited on.
    pub fn watch(&self) -> watch::Receiver<GateMode> {
        self.mode.subscribe()
    }

    /// Breaks all connections and refuses new ones.
    pub fn kill(&self) {
        self.mode.send_modify(|mode| mode.listening = false);
        self.break_all();
    }

    /// Listens again.
    pub fn restart(&self) {
        let mode = GateMode { listening: true, frozen: false, cut: false };
        self.mode.send_replace(mode);
    }

    /// Stands still or goes on.
    pub fn set_frozen(&self, frozen: bool) {
        self.mode.send_modify(|mode| mode.frozen = frozen);
        self.wake_all();
    }

    /// Breaks all connections, also new ones, or stops doing so.
    pub fn set_cut(&self, cut: bool) {
        self.mode.send_modify(|mode| mode.cut = cut);
        if cut {
            self.break_all();
        }
    }

    /// Makes the connections that are open now silent for good.
    pub fn silence(&self) {
        let mut table = self.lock();
        table.silent_below = table.next;
        drop(table);
        self.wake_all();
    }

    /// Waits until it does not stand still.
    pub async fn thawed(&self) {
        let mut mode = self.watch();
        // The sender lives as long as `self`, so that the wait cannot fail.
        let _ = mode.wait_for(|mode| !mode.frozen).await;
    }

    /// Takes in a connection.
    pub fn admit(self: &Arc<Self>, stream: TcpStream) -> GatedStream {
        let mut table = self.lock();
        let number = table.next;
        table.next += 1;
        drop(table);
        GatedStream { stream, number, gate: Arc::clone(self) }
    }

    fn break_all(&self) {
        let mut table = self.lock();
        table.broken_below = table.next;
        drop(table);
        self.wake_all();
    }

    fn wake_all(&self) {
        let wakers = std::mem::take(&mut self.lock().wakers);
        wakers.into_values().for_each(Waker::wake);
    }

    /// What connection `number` may do; its task is woken when that changes.
    fn passage(&self, number: u64, context: &Context<'_>) -> Passage {
        let mode = *self.mode.borrow();
        let mut table = self.lock();
        if number < table.broken_below || mode.cut || !mode.listening {
            return Passage::Broken;
        }
        match table.wakers.get_mut(&number) {
            Some(waker) => waker.clone_from(context.waker()),
            None => {
                table.wakers.insert(number, context.waker().clone());
            }
        }
        if number < table.silent_below {
            return Passage::Silent;
        }
        if mode.frozen { Passage::Held } else { Passage::Open }
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection behind a gate.
#[derive(Debug)]
pub struct GatedStream {
    stream: TcpStream,
    number: u64,
    gate: Arc<ConnectionGate>,
}

impl Drop for GatedStream {
    fn drop(&mut self) {
        self.gate.lock().wakers.remove(&self.number);
    }
}

fn broken() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionReset, "the connection was cut by a fault")
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.gate.passage(self.number, context) {
            Passage::Open => Pin::new(&mut self.stream).poll_read(context, buffer),
            Passage::Held | Passage::Silent => Poll::Pending,
            Passage::Broken => Poll::Ready(Err(broken())),
        }
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.gate.passage(self.number, context) {
            Passage::Open => Pin::new(&mut self.stream).poll_write(context, bytes),
            Passage::Held => Poll::Pending,
            // The sender of bytes that are lost on the way learns nothing.
            Passage::Silent => Poll::Ready(Ok(bytes.len())),
            Passage::Broken => Poll::Ready(Err(broken())),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.gate.passage(self.number, context) {
            Passage::Silent | Passage::Held => Poll::Pending,
            _ => Pin::new(&mut self.stream).poll_shutdown(context),
        }
    }
}
