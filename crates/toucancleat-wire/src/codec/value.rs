//! Bounds and small values that all concerns share.

use std::net::SocketAddr;

use capnp::text;

use crate::accounts_capnp::id;
use crate::error::DecodeError;

/// Longest name in bytes.
const NAME_BYTES_MAX: usize = 256;

/// Most entries in a list.
const LIST_ENTRIES_MAX: u32 = 4_096;

/// Reads a name, which must be short UTF-8 text.
pub(crate) fn read_name<'a, T>(
    field: &'static str,
    text: capnp::Result<text::Reader<'a>>,
) -> Result<T, DecodeError>
where
    T: From<&'a str>,
{
    let text = text?;
    if text.len() > NAME_BYTES_MAX {
        return Err(DecodeError::value(field, "a name of at most 256 bytes"));
    }
    let text = text
        .to_str()
        .map_err(|_| DecodeError::value(field, "UTF-8 text"))?;
    Ok(T::from(text))
}

/// Reads an IP address with its port.
pub(crate) fn read_address(
    field: &'static str,
    text: capnp::Result<text::Reader<'_>>,
) -> Result<SocketAddr, DecodeError> {
    let text = text?
        .to_str()
        .map_err(|_| DecodeError::value(field, "UTF-8 text"))?;
    text.parse()
        .map_err(|_| DecodeError::value(field, "an IP address with a port"))
}

/// Checks the length of a list before anything is allocated for it.
pub(crate) fn check_length(field: &'static str, found: u32) -> Result<(), DecodeError> {
    if found > LIST_ENTRIES_MAX {
        return Err(DecodeError::too_many(field, LIST_ENTRIES_MAX, found));
    }
    Ok(())
}

/// Reads a list with a bounded number of entries.
pub(crate) fn read_list<R, T>(
    field: &'static str,
    list: impl ExactSizeIterator<Item = R>,
    read: impl Fn(R) -> Result<T, DecodeError>,
) -> Result<Vec<T>, DecodeError> {
    check_length(field, list.len() as u32)?;
    list.map(read).collect()
}

/// Reads a list of names with a bounded number of entries.
pub(crate) fn read_names<T>(
    field: &'static str,
    list: capnp::text_list::Reader<'_>,
) -> Result<Vec<T>, DecodeError>
where
    T: for<'a> From<&'a str>,
{
    read_list(field, list.iter(), |text| read_name(field, text))
}

/// Writes a number of 128 bits.
pub(crate) fn write_id(number: u128, mut out: id::Builder<'_>) {
    out.set_high((number >> 64) as u64);
    out.set_low(number as u64);
}

/// Reads a number of 128 bits.
pub(crate) fn read_id(id: id::Reader<'_>) -> u128 {
    (u128::from(id.get_high()) << 64) | u128::from(id.get_low())
}

/// Reads long UTF-8 text, whose length the bound on the whole message limits.
pub(crate) fn read_text<'a>(
    field: &'static str,
    text: capnp::Result<text::Reader<'a>>,
) -> Result<&'a str, DecodeError> {
    text?
        .to_str()
        .map_err(|_| DecodeError::value(field, "UTF-8 text"))
}
