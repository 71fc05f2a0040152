//! The records of the timeline and their JSON form.

use std::borrow::Cow;
use std::fmt;
use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::clock::Stamp;
use super::kind::RecordKind;
use crate::prelude::*;

/// Maximum number of fields of one record; further ones are omitted.
const FIELDS_MAX: usize = 8;

/// Maximum length of a text field; longer texts are truncated.
const TEXT_MAX_BYTES: usize = 160;

/// One record of the timeline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// When the event was recorded.
    pub stamp: Stamp,
    /// The host that recorded it.
    pub host: HostName,
    /// Number of the record within one incarnation of the host, from 1 and without gaps.
    pub sequence: u64,
    /// The event and the objects that it concerns.
    #[serde(flatten)]
    pub entry: Entry,
}

/// The content of a record, without its stamp.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The kind of the event.
    pub kind: RecordKind,
    /// The request that it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// The generation that it concerns, which relates the requests that resume one
    /// stream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub generation: Option<GenerationId>,
    /// The organisation of the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<OrganisationName>,
    /// The target that it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<TargetName>,
    /// Further details, such as the reason for a decision.
    #[serde(
        default,
        skip_serializing_if = "Vec::is_empty",
        serialize_with = "fields_as_map",
        deserialize_with = "fields_from_map"
    )]
    pub fields: Vec<Field>,
}

/// A named detail of a record. The name includes the unit.
#[derive(Clone, Debug, PartialEq)]
pub struct Field {
    /// The name.
    pub name: Cow<'static, str>,
    /// The value.
    pub value: FieldValue,
}

/// The value of a field.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
#[non_exhaustive]
pub enum FieldValue {
    /// A boolean.
    Flag(bool),
    /// A count, a time or a size.
    Integer(u64),
    /// A ratio or another number.
    Number(f64),
    /// A short text.
    Text(Arc<str>),
}

impl Entry {
    /// Creates an entry without a request, other objects or fields.
    pub fn new(kind: RecordKind) -> Self {
        Entry {
            kind,
            request: None,
            generation: None,
            organisation: None,
            target: None,
            fields: Vec::new(),
        }
    }

    /// Sets the request.
    pub fn request(mut self, request: RequestId) -> Self {
        self.request = Some(request);
        self
    }

    /// Sets the generation.
    pub fn generation(mut self, generation: GenerationId) -> Self {
        self.generation = Some(generation);
        self
    }

    /// Sets the organisation.
    pub fn organisation(mut self, organisation: &OrganisationName) -> Self {
        self.organisation = Some(organisation.clone());
        self
    }

    /// Sets the target.
    pub fn target(mut self, target: &TargetName) -> Self {
        self.target = Some(target.clone());
        self
    }

    /// Adds a field, unless the entry already has the maximum number.
    pub fn field(mut self, name: &'static str, value: impl Into<FieldValue>) -> Self {
        if self.fields.len() < FIELDS_MAX {
            let name = Cow::Borrowed(name);
            self.fields.push(Field {
                name,
                value: value.into(),
            });
        }
        self
    }

    /// Adds the reason for a decision as the field `reason`.
    pub fn reason(self, reason: impl fmt::Display) -> Self {
        self.field("reason", reason.to_string().as_str())
    }

    /// Returns the heap memory of the entry's fields, in bytes.
    pub(super) fn heap_bytes(&self) -> usize {
        let texts = self.fields.iter().map(|field| match &field.value {
            FieldValue::Text(text) => text.len(),
            _ => 0,
        });
        self.fields.capacity() * size_of::<Field>() + texts.sum::<usize>()
    }
}

impl From<&str> for FieldValue {
    fn from(text: &str) -> Self {
        let mut ends = (0..=text.len().min(TEXT_MAX_BYTES)).rev();
        let end = ends.find(|end| text.is_char_boundary(*end)).unwrap_or(0);
        FieldValue::Text(Arc::from(&text[..end]))
    }
}

impl From<u64> for FieldValue {
    fn from(number: u64) -> Self {
        FieldValue::Integer(number)
    }
}

impl From<u32> for FieldValue {
    fn from(number: u32) -> Self {
        FieldValue::Integer(number.into())
    }
}

impl From<usize> for FieldValue {
    fn from(number: usize) -> Self {
        FieldValue::Integer(number as u64)
    }
}

impl From<f64> for FieldValue {
    fn from(number: f64) -> Self {
        FieldValue::Number(number)
    }
}

impl From<bool> for FieldValue {
    fn from(flag: bool) -> Self {
        FieldValue::Flag(flag)
    }
}

impl fmt::Display for FieldValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FieldValue::Flag(flag) => fmt::Display::fmt(flag, f),
            FieldValue::Integer(number) => fmt::Display::fmt(number, f),
            FieldValue::Number(number) => fmt::Display::fmt(number, f),
            FieldValue::Text(text) => f.write_str(text),
        }
    }
}

fn fields_as_map<S: Serializer>(
    fields: &[Field],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_map(fields.iter().map(|field| (&field.name, &field.value)))
}

fn fields_from_map<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<Field>, D::Error> {
    let map = IndexMap::<String, FieldValue>::deserialize(deserializer)?;
    let fields = map.into_iter();
    Ok(fields
        .map(|(name, value)| Field {
            name: Cow::Owned(name),
            value,
        })
        .collect())
}
