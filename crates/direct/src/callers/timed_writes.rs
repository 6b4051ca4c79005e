//! A caller's connection that breaks when the caller takes nothing for too long.

use std::cell::Cell;
use std::future::Future;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// A connection whose writes fail once none has made progress for the longest allowed time.
///
/// The HTTP library waits without end for a caller that reads nothing. Its answer would keep its
/// buffers and its backend server's work for as long as the connection stays open.
#[derive(Debug)]
pub(super) struct TimedWrites {
    stream: TcpStream,
    stall_ms: u64,
    /// Ends when the write that waits has waited for too long.
    stalled_at: Option<Pin<Box<Sleep>>>,
    has_stalled: Rc<Cell<bool>>,
}

impl TimedWrites {
    /// Wraps a connection; `has_stalled` becomes true when a write fails because of `stall_ms`.
    pub(super) fn new(stream: TcpStream, stall_ms: u64, has_stalled: Rc<Cell<bool>>) -> Self {
        Self { stream, stall_ms, stalled_at: None, has_stalled }
    }

    /// Fails a write that is pending for too long.
    fn check(
        &mut self,
        context: &mut Context<'_>,
        write: Poll<Result<usize>>,
    ) -> Poll<Result<usize>> {
        if write.is_ready() {
            self.stalled_at = None;
            return write;
        }
        let stall = Duration::from_millis(self.stall_ms);
        let stalled_at = self.stalled_at.get_or_insert_with(|| Box::pin(sleep(stall)));
        ready!(stalled_at.as_mut().poll(context));
        self.has_stalled.set(true);
        Poll::Ready(Err(Error::from(ErrorKind::TimedOut)))
    }
}

impl AsyncRead for TimedWrites {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for TimedWrites {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let write = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.check(context, write)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let write = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.check(context, write)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
