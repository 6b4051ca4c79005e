//! Links between places: they lose, double, delay and overtake, go silent for good, and are cut.

use crate::world::adapter::{Frame, Hello, Input};
use crate::world::{What, World};
use hickorycross_core::LinkId;
use rand::RngExt;
use std::net::SocketAddr;

/// A dead connection is noticed by its idle timeout after this long.
const IDLE_TIMEOUT_MS: u64 = 40_000;
/// Numbers that a process gives to links that others open.
const FIRST_ACCEPTED: u64 = 1 << 63;

/// One end of a link.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct End {
    pub(crate) place: usize,
    pub(crate) life: u64,
    pub(crate) link: LinkId,
}

/// One link: the end that opened it, and the other one.
pub(crate) struct Wire {
    pub(crate) ends: [Option<End>; 2],
    pub(crate) open: [bool; 2],
    /// The end that opened it has been greeted.
    pub(crate) greeted: bool,
    /// It delivers nothing any more, for good.
    pub(crate) silent: bool,
}

/// How messages fare.
#[derive(Clone, Copy)]
pub(crate) struct Weather {
    pub(crate) loss_permille: u32,
    pub(crate) double_permille: u32,
    pub(crate) delay_ms: u64,
}

impl Weather {
    pub(crate) const FAIR: Self = Self { loss_permille: 0, double_permille: 0, delay_ms: 4 };
    pub(crate) const FOUL: Self = Self { loss_permille: 60, double_permille: 100, delay_ms: 700 };
}

impl World {
    pub(crate) fn open(&mut self, from: End, address: SocketAddr) {
        let Some(target) = self.places.iter().position(|place| place.address() == address) else {
            return;
        };
        let wire = self.wires.len();
        self.wires.push(Wire {
            ends: [Some(from), None],
            open: [true, false],
            greeted: false,
            silent: false,
        });
        self.wire_of.insert(from, (wire, 0));
        let at_ms = self.arrival_ms();
        self.agenda.set(at_ms, What::OpenArrives { wire, target });
    }

    pub(crate) fn open_arrives(&mut self, wire: usize, target: usize) {
        let Some(from) = self.wires[wire].ends[0] else { return };
        if self.is_cut(from.place, target) {
            return;
        }
        let Some(node) = &self.places[target].node else {
            if self.random.random() {
                self.set_input(from, 5, Input::Closed { link: from.link });
            }
            return;
        };
        if self.places[target].is_frozen(self.now_ms) {
            let at_ms = self.places[target].frozen_until_ms + 1;
            return self.agenda.set(at_ms, What::OpenArrives { wire, target });
        }
        let hello = node.hello();
        let link = LinkId(FIRST_ACCEPTED + wire as u64);
        let end = End { place: target, life: self.places[target].life, link };
        self.wires[wire].ends[1] = Some(end);
        self.wires[wire].open[1] = true;
        self.wire_of.insert(end, (wire, 1));
        if let Some(opener) =
            self.places[from.place].node.as_ref().map(crate::world::adapter::Node::hello)
        {
            self.input(target, Input::Opened { link, hello: opener });
        }
        let at_ms = self.arrival_ms();
        self.agenda.set(at_ms, What::OpenReply { wire, hello });
    }

    pub(crate) fn open_reply(&mut self, wire: usize, hello: Hello) {
        self.wires[wire].greeted = true;
        if let Some(end) = self.receiver(wire, 0) {
            self.input(end.place, Input::Opened { link: end.link, hello });
        }
    }

    pub(crate) fn close(&mut self, end: End) {
        let Some((wire, side)) = self.wire_of.swap_remove(&end) else { return };
        self.wires[wire].open[side] = false;
        self.tell_closed(wire, 1 - side, true);
    }

    /// Lets the other end learn that a link is over, soon or by its idle timeout.
    fn tell_closed(&mut self, wire: usize, side: usize, said: bool) {
        let Some(end) = self.wires[wire].ends[side] else { return };
        let heard = said && !self.wires[wire].silent && !self.is_wire_cut(wire);
        let wait_ms = if heard { 5 } else { IDLE_TIMEOUT_MS };
        self.set_input(end, wait_ms, Input::Closed { link: end.link });
    }

    pub(crate) fn send(&mut self, end: End, frame: &Frame) {
        let Some((wire, side)) = self.wire_of.get(&end).copied() else { return };
        let copies = match self.random.random_range(0..1_000) {
            roll if roll < self.weather.loss_permille => 0,
            roll if roll < self.weather.loss_permille + self.weather.double_permille => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let at_ms = self.arrival_ms();
            let what = What::Deliver { wire, side: 1 - side, frame: frame.clone() };
            self.agenda.set(at_ms, what);
        }
    }

    pub(crate) fn deliver(&mut self, wire: usize, side: usize, frame: Frame) {
        if side == 0 && !self.wires[wire].greeted {
            let at_ms = self.arrival_ms();
            return self.agenda.set(at_ms, What::Deliver { wire, side, frame });
        }
        if let Some(end) = self.receiver(wire, side) {
            self.input(end.place, Input::Frame { link: end.link, frame });
        }
    }

    /// The end that hears something now, if it can.
    fn receiver(&self, wire: usize, side: usize) -> Option<End> {
        let row = &self.wires[wire];
        let end = row.ends[side]?;
        let alive = self.places[end.place].life == end.life && row.open[side];
        (alive && !row.silent && !self.is_wire_cut(wire)).then_some(end)
    }

    /// A process is gone: its peers hear of it, or not before the idle timeout.
    pub(crate) fn drop_links(&mut self, place: usize) {
        let ends: Vec<End> =
            self.wire_of.keys().filter(|end| end.place == place).copied().collect();
        for end in ends {
            let Some((wire, side)) = self.wire_of.swap_remove(&end) else { continue };
            self.wires[wire].open[side] = false;
            let said = self.random.random_range(0..3) > 0;
            self.tell_closed(wire, 1 - side, said);
        }
    }

    /// Something between the two ends loses track of a share of the links that are open.
    pub(crate) fn silence_links(&mut self, share_permille: u32) {
        for wire in 0..self.wires.len() {
            let row = &self.wires[wire];
            if row.silent || row.open != [true, true] {
                continue;
            }
            if self.random.random_range(0..1_000) < share_permille {
                self.wires[wire].silent = true;
                self.tell_closed(wire, 0, false);
                self.tell_closed(wire, 1, false);
            }
        }
    }

    fn is_wire_cut(&self, wire: usize) -> bool {
        match self.wires[wire].ends {
            [Some(one), Some(other)] => self.is_cut(one.place, other.place),
            _ => false,
        }
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        self.places[one].side != self.places[other].side
    }

    fn arrival_ms(&mut self) -> u64 {
        let delay_ms = match self.random.random_range(0..4) {
            0 => self.random.random_range(1..=self.weather.delay_ms),
            _ => self.random.random_range(1..=4),
        };
        self.now_ms + delay_ms
    }

    fn set_input(&mut self, end: End, wait_ms: u64, input: Input) {
        let what = What::Input { place: end.place, life: end.life, input: Box::new(input) };
        self.agenda.set(self.now_ms + wait_ms, what);
    }
}
