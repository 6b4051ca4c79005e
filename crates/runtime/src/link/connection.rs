//! The task that serves one connection: its control stream and one stream for each attempt.
//!
//! The first frame of an attempt opens its stream and its last one ends it. Frames of an attempt
//! without an open stream, and frames that belong to no attempt, are sent on the control stream.
//! Each stream is read by one task and written by another.

use super::stream::{StreamError, read_frame, write_frame};
use super::{LinkEvent, Shared};
use hickorycross_core::{AttemptId, LinkId};
use hickorycross_protocol::{Frame, Version};
use indexmap::IndexMap;
use quinn::{Connection, RecvStream, SendStream};
use std::sync::Arc;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// A command to the task of a connection.
pub(crate) enum Command {
    /// Send a frame.
    Send(Frame),
    /// Close the connection.
    Close,
    /// Use a stream that the other end opened for an attempt. Its reader sends this before it
    /// reports the first frame, so that the stream is registered when the answer is sent.
    Register { attempt: AttemptId, stream: SendStream },
    /// Remove the stream of an attempt, because the other end has finished it.
    Finished { attempt: AttemptId, serial: u64 },
}

struct AttemptStream {
    /// Distinguishes a stream from a later one for the same attempt.
    serial: u64,
    frames: UnboundedSender<Frame>,
}

/// Runs one connection until it ends.
pub(crate) struct ConnectionTask {
    pub(crate) shared: Arc<Shared>,
    pub(crate) link: LinkId,
    pub(crate) connection: Connection,
    pub(crate) commands: UnboundedSender<Command>,
    version: Version,
    streams: IndexMap<AttemptId, AttemptStream>,
    next_serial: u64,
}

impl ConnectionTask {
    pub(crate) fn new(
        shared: Arc<Shared>,
        link: LinkId,
        connection: Connection,
        commands: UnboundedSender<Command>,
        version: Version,
    ) -> Self {
        let streams = IndexMap::new();
        Self { shared, link, connection, commands, version, streams, next_serial: 0 }
    }

    /// Serves commands and streams until the connection ends, and returns the reason.
    pub(crate) async fn run(
        mut self,
        control: (SendStream, RecvStream),
        mut commands: UnboundedReceiver<Command>,
    ) -> String {
        let (control_send, control_recv) = control;
        let control_frames = spawn_writer(control_send);
        self.spawn_control_reader(control_recv);
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(Command::Send(frame)) => self.send(frame, &control_frames),
                    Some(Command::Register { attempt, stream }) => self.register(attempt, stream),
                    Some(Command::Finished { attempt, serial }) => self.remove(attempt, serial),
                    Some(Command::Close) | None => {
                        self.connection.close(0_u32.into(), b"closed");
                        return "closed by this end".to_owned();
                    }
                },
                accepted = self.connection.accept_bi() => match accepted {
                    Ok((send, recv)) => self.spawn_accepted_reader(send, recv),
                    Err(error) => return error.to_string(),
                },
            }
        }
    }

    /// Sends a frame, unless the other end is of an earlier release that cannot decode it.
    fn send(&mut self, frame: Frame, control: &UnboundedSender<Frame>) {
        if frame.first_version() > self.version {
            let (link, version) = (self.link.0, self.version.0);
            log::debug!(target: "link", link, version; "frame left out");
            return;
        }
        let Some(attempt) = frame.attempt() else {
            let _ = control.send(frame);
            return;
        };
        let ends = frame.ends_stream();
        if let Some(stream) = self.streams.get(&attempt) {
            let _ = stream.frames.send(frame);
        } else if frame.opens_stream() {
            self.open_stream(attempt, frame);
        } else {
            let _ = control.send(frame);
        }
        if ends {
            self.streams.swap_remove(&attempt);
        }
    }

    fn open_stream(&mut self, attempt: AttemptId, first: Frame) {
        let (frames, receiver) = unbounded_channel();
        let _ = frames.send(first);
        let serial = self.insert_stream(attempt, frames);
        let connection = self.connection.clone();
        let reader = self.reader();
        tokio::spawn(async move {
            let Ok((send, recv)) = connection.open_bi().await else {
                reader.finished(attempt, serial);
                return;
            };
            tokio::spawn(write_all(send, receiver));
            reader.read_attempt(attempt, serial, recv).await;
        });
    }

    fn register(&mut self, attempt: AttemptId, stream: SendStream) {
        let frames = spawn_writer(stream);
        self.insert_stream(attempt, frames);
    }

    fn insert_stream(&mut self, attempt: AttemptId, frames: UnboundedSender<Frame>) -> u64 {
        self.next_serial += 1;
        let serial = self.next_serial;
        self.streams.insert(attempt, AttemptStream { serial, frames });
        serial
    }

    fn remove(&mut self, attempt: AttemptId, serial: u64) {
        let is_same = self.streams.get(&attempt).is_some_and(|stream| stream.serial == serial);
        if is_same {
            self.streams.swap_remove(&attempt);
        }
    }

    fn reader(&self) -> Reader {
        Reader {
            shared: Arc::clone(&self.shared),
            link: self.link,
            connection: self.connection.clone(),
            commands: self.commands.clone(),
        }
    }

    fn spawn_control_reader(&self, stream: RecvStream) {
        let reader = self.reader();
        tokio::spawn(async move { reader.read_control(stream).await });
    }

    fn spawn_accepted_reader(&self, send: SendStream, recv: RecvStream) {
        let reader = self.reader();
        tokio::spawn(async move { reader.read_accepted(send, recv).await });
    }
}

/// Reads the frames of one stream and reports them as events.
struct Reader {
    shared: Arc<Shared>,
    link: LinkId,
    connection: Connection,
    commands: UnboundedSender<Command>,
}

impl Reader {
    fn report_frame(&self, frame: Frame) {
        self.shared.report(LinkEvent::Frame { link: self.link, frame });
    }

    fn finished(&self, attempt: AttemptId, serial: u64) {
        let _ = self.commands.send(Command::Finished { attempt, serial });
    }

    /// Reads the control stream and closes the connection when it ends or fails.
    ///
    /// Without a control stream, neither heartbeats nor cancellations would arrive, while attempts
    /// would appear to continue.
    async fn read_control(self, mut stream: RecvStream) {
        let error = self.read_until_end(&mut stream).await;
        self.connection.close(1_u32.into(), error.to_string().as_bytes());
    }

    async fn read_attempt(self, attempt: AttemptId, serial: u64, mut stream: RecvStream) {
        let error = self.read_until_end(&mut stream).await;
        self.close_on_malformed(&error);
        self.finished(attempt, serial);
    }

    async fn read_accepted(self, send: SendStream, mut stream: RecvStream) {
        let Ok(first) = read_frame(&mut stream).await else {
            return;
        };
        let Some(attempt) = first.attempt() else {
            self.connection.close(1_u32.into(), b"a stream without an attempt");
            return;
        };
        let _ = self.commands.send(Command::Register { attempt, stream: send });
        self.report_frame(first);
        let error = self.read_until_end(&mut stream).await;
        self.close_on_malformed(&error);
    }

    async fn read_until_end(&self, stream: &mut RecvStream) -> StreamError {
        loop {
            match read_frame(stream).await {
                Ok(frame) => self.report_frame(frame),
                Err(error) => return error,
            }
        }
    }

    fn close_on_malformed(&self, error: &StreamError) {
        if matches!(error, StreamError::Codec(_)) {
            self.connection.close(1_u32.into(), error.to_string().as_bytes());
        }
    }
}

fn spawn_writer(stream: SendStream) -> UnboundedSender<Frame> {
    let (frames, receiver) = unbounded_channel();
    tokio::spawn(write_all(stream, receiver));
    frames
}

async fn write_all(mut stream: SendStream, mut frames: UnboundedReceiver<Frame>) {
    while let Some(frame) = frames.recv().await {
        if let Err(error) = write_frame(&mut stream, &frame).await {
            log::debug!(target: "link", error = error.to_string().as_str(); "stream write failed");
            return;
        }
    }
    let _ = stream.finish();
}
