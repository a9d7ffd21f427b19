//! Reservations of future work: a timer wheel whose slots divide the near future evenly and hold work up to a capacity.

use crate::interface::Nanos;

/// Work reserved in the slots of a future span. Memory is bounded by the number of slots; slots in the past are cleared
/// as the wheel turns.
#[derive(Debug, Clone)]
pub struct TimerWheel {
    /// The length of a slot, in nanoseconds.
    width: u64,
    /// Reserved work, indexed by slot number modulo the number of slots.
    reserved: Vec<f64>,
    /// The number of the slot that contains the present.
    first: u64,
    /// Every slot before this one was found full.
    open_from: u64,
}

impl TimerWheel {
    /// An empty wheel that covers `span` with `slots` slots.
    pub fn new(span: Nanos, slots: usize) -> Self {
        let slots = slots.max(1);
        let width = (span.0 / slots as u64).max(1);
        TimerWheel { width, reserved: vec![0.0; slots], first: 0, open_from: 0 }
    }

    /// The length of one slot.
    pub fn width(&self) -> Nanos {
        Nanos(self.width)
    }

    /// The index of a slot.
    fn index(&self, slot: u64) -> usize {
        (slot % self.reserved.len() as u64) as usize
    }

    /// Moves on to the slot of `now` and clears those behind it.
    fn advance(&mut self, now: Nanos) {
        let first = now.0 / self.width;
        if first > self.first {
            let passed = (first - self.first).min(self.reserved.len() as u64);
            for slot in self.first..self.first + passed {
                let at = self.index(slot);
                self.reserved[at] = 0.0;
            }
            self.first = first;
            self.open_from = self.open_from.max(first);
        }
    }

    /// Lets the next search start at the present: slots that were full may have room, as their capacity has changed.
    pub fn reopen(&mut self) {
        self.open_from = self.first;
    }

    /// Reserves `work` in the first slot from `earliest` on that is not full and returns when that slot begins; `None`
    /// if all are full. `capacity` gives the capacity of the slot that begins at a time. The last reservation may
    /// overflow its slot: the excess is charged to the slots after it.
    pub fn reserve(
        &mut self,
        now: Nanos,
        earliest: Nanos,
        work: f64,
        capacity: impl Fn(Nanos) -> f64,
    ) -> Option<Nanos> {
        self.advance(now);
        let len = self.reserved.len() as u64;
        let from = self.open_from.max(earliest.0.div_ceil(self.width)).max(self.first);
        for slot in from..self.first + len {
            let at = self.index(slot);
            let begins = Nanos(slot * self.width);
            let limit = capacity(begins);
            if self.reserved[at] < limit {
                self.reserved[at] += work;
                self.spill(slot, &capacity);
                return Some(begins);
            }
            if slot == self.open_from {
                self.open_from += 1;
            }
        }
        None
    }

    /// Moves what overflows a slot into the slots after it.
    fn spill(&mut self, slot: u64, capacity: &impl Fn(Nanos) -> f64) {
        for slot in slot..self.first + self.reserved.len() as u64 - 1 {
            let (at, next) = (self.index(slot), self.index(slot + 1));
            let over = self.reserved[at] - capacity(Nanos(slot * self.width));
            if over <= 0.0 {
                return;
            }
            self.reserved[at] -= over;
            self.reserved[next] += over;
        }
    }

    /// The sum of work that is reserved from `now` on.
    pub fn reserved_work(&mut self, now: Nanos) -> f64 {
        self.advance(now);
        self.reserved.iter().sum()
    }
}
