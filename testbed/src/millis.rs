//! Serde helpers for durations in settings, which are written as milliseconds with fractions.

use {
    serde::{Deserialize, Deserializer, Serializer, de::Error},
    std::time::Duration,
};

pub(crate) fn serialize<S: Serializer>(time: &Duration, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_f64(time.as_secs_f64() * 1e3)
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
    let millis = f64::deserialize(from)?;
    Duration::try_from_secs_f64(millis / 1e3).map_err(D::Error::custom)
}
