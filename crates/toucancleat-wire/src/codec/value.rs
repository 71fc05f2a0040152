//! Bounds and values that the encodings of all messages share.

use std::net::SocketAddr;

use capnp::text;

use crate::accounts_capnp::id;
use crate::error::DecodeError;

/// Maximum length of a name in bytes.
const NAME_BYTES_MAX: usize = 256;

/// Maximum number of entries in a list.
const LIST_ENTRIES_MAX: u32 = 4_096;

/// Reads a name, which must be UTF-8 text of at most [`NAME_BYTES_MAX`] bytes.
pub(crate) fn read_name<'a, T>(
    field: &'static str,
    text: capnp::Result<text::Reader<'a>>,
) -> Result<T, DecodeError>
where
    T: From<&'a str>,
{
    let text = text?;
    if text.len() > NAME_BYTES_MAX {
        return Err(DecodeError::invalid_value(
            field,
            "a name of at most 256 bytes",
        ));
    }
    let text = text
        .to_str()
        .map_err(|_| DecodeError::invalid_value(field, "UTF-8 text"))?;
    Ok(T::from(text))
}

/// Reads an IP address with a port.
pub(crate) fn read_address(
    field: &'static str,
    text: capnp::Result<text::Reader<'_>>,
) -> Result<SocketAddr, DecodeError> {
    let text = text?
        .to_str()
        .map_err(|_| DecodeError::invalid_value(field, "UTF-8 text"))?;
    text.parse()
        .map_err(|_| DecodeError::invalid_value(field, "an IP address with a port"))
}

/// Returns an error if a list has too many entries, before memory is allocated for them.
pub(crate) fn check_length(field: &'static str, found: u32) -> Result<(), DecodeError> {
    if found > LIST_ENTRIES_MAX {
        return Err(DecodeError::too_many_entries(
            field,
            LIST_ENTRIES_MAX,
            found,
        ));
    }
    Ok(())
}

/// Reads a list of at most [`LIST_ENTRIES_MAX`] entries.
pub(crate) fn read_list<R, T>(
    field: &'static str,
    list: impl ExactSizeIterator<Item = R>,
    read: impl Fn(R) -> Result<T, DecodeError>,
) -> Result<Vec<T>, DecodeError> {
    check_length(field, list.len() as u32)?;
    list.map(read).collect()
}

/// Reads a list of at most [`LIST_ENTRIES_MAX`] names.
pub(crate) fn read_names<T>(
    field: &'static str,
    list: capnp::text_list::Reader<'_>,
) -> Result<Vec<T>, DecodeError>
where
    T: for<'a> From<&'a str>,
{
    read_list(field, list.iter(), |text| read_name(field, text))
}

/// Writes a 128-bit identifier.
pub(crate) fn write_id(number: u128, mut out: id::Builder<'_>) {
    out.set_high((number >> 64) as u64);
    out.set_low(number as u64);
}

/// Reads a 128-bit identifier.
pub(crate) fn read_id(id: id::Reader<'_>) -> u128 {
    (u128::from(id.get_high()) << 64) | u128::from(id.get_low())
}

/// Reads UTF-8 text, whose length only the bound on the whole message limits.
pub(crate) fn read_text<'a>(
    field: &'static str,
    text: capnp::Result<text::Reader<'a>>,
) -> Result<&'a str, DecodeError> {
    text?
        .to_str()
        .map_err(|_| DecodeError::invalid_value(field, "UTF-8 text"))
}
