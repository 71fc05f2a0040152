//! Bounds on the memory of what a process holds for its callers.
//!
//! Each request and each answer has a bound of its own. Without one on their sum, many at the
//! same time could exhaust the memory of a small machine, and the process would be killed with
//! all its requests.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;

/// A bound on the bytes that are held at the same time.
#[derive(Clone, Debug)]
pub struct MemoryBound {
    reserved_bytes: Rc<Cell<u64>>,
    max_bytes: u64,
}

/// Bytes that count towards a bound until this is dropped.
#[derive(Debug)]
pub struct Reservation {
    bound: MemoryBound,
    bytes: u64,
}

/// Bytes that count towards a bound until this is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    /// The bytes.
    pub bytes: Bytes,
    _reservation: Option<Reservation>,
}

impl HeldBytes {
    /// Creates bytes for which memory is reserved.
    pub fn new(bytes: Bytes, reservation: Reservation) -> Self {
        HeldBytes {
            bytes,
            _reservation: Some(reservation),
        }
    }
}

impl From<Bytes> for HeldBytes {
    /// Creates short bytes of the process's own, which count towards no bound.
    fn from(bytes: Bytes) -> Self {
        HeldBytes {
            bytes,
            _reservation: None,
        }
    }
}

/// The bytes would exceed the bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no memory is left for more bytes")]
pub struct NoRoom;

impl MemoryBound {
    /// Creates a bound.
    pub fn new(max_bytes: u64) -> Self {
        MemoryBound {
            reserved_bytes: Rc::default(),
            max_bytes,
        }
    }

    /// Returns the number of bytes that are held now.
    pub fn reserved_bytes(&self) -> u64 {
        self.reserved_bytes.get()
    }

    /// Returns a reservation of no bytes.
    pub fn start_reservation(&self) -> Reservation {
        Reservation {
            bound: self.clone(),
            bytes: 0,
        }
    }

    /// Reserves bytes. Fails if they would exceed the bound.
    pub fn reserve(&self, bytes: u64) -> Result<Reservation, NoRoom> {
        let mut reservation = self.start_reservation();
        reservation.resize(bytes)?;
        Ok(reservation)
    }
}

impl Reservation {
    /// Changes the number of reserved bytes. Fails, and changes nothing, if they would exceed the
    /// bound.
    pub fn resize(&mut self, bytes: u64) -> Result<(), NoRoom> {
        let others_bytes = self.bound.reserved_bytes.get() - self.bytes;
        let reserved_bytes = others_bytes.saturating_add(bytes);
        if bytes > self.bytes && reserved_bytes > self.bound.max_bytes {
            return Err(NoRoom);
        }
        self.bound.reserved_bytes.set(reserved_bytes);
        self.bytes = bytes;
        Ok(())
    }

    /// Decreases the number of reserved bytes if it is higher.
    pub fn shrink_to(&mut self, bytes: u64) {
        drop(self.split(self.bytes.saturating_sub(bytes)));
    }

    /// Moves some of the reserved bytes, or all if there are fewer, to a reservation of their own.
    pub fn split(&mut self, bytes: u64) -> Reservation {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Reservation {
            bound: self.bound.clone(),
            bytes,
        }
    }

    /// Increases the number of reserved bytes if it is lower. Fails, and changes nothing, if they
    /// would exceed the bound.
    pub fn grow_to(&mut self, bytes: u64) -> Result<(), NoRoom> {
        self.resize(bytes.max(self.bytes))
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let reserved_bytes = self.bound.reserved_bytes.get();
        self.bound.reserved_bytes.set(reserved_bytes - self.bytes);
    }
}
