//! Whole numbers from zero without an upper bound, for counters that other programs count.

use {
    serde::{Deserialize, Deserializer, Serialize, Serializer, de},
    std::{cmp::Ordering, fmt, sync::Arc},
};

/// Most digits of a number, so that a short text like `1e999999999` can't take all memory.
const MAX_DIGITS: usize = 1_000;

/// A whole number from zero.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Natural {
    /// The number, or the largest of 64 bits if it is larger.
    short: u64,
    /// The digits of a number that is larger.
    digits: Option<Arc<str>>,
}

impl Natural {
    /// Parses a number as JSON writes it, with or without a fraction and an exponent. `None` if it is
    /// no whole number from zero, or has more than 1,000 digits.
    pub fn parse(text: &str) -> Option<Self> {
        let (mantissa, exponent) = match text.split_once(['e', 'E']) {
            Some((mantissa, exponent)) => (mantissa, exponent.parse::<i64>().ok()?),
            None => (text, 0),
        };
        let (whole, fraction) = mantissa.split_once('.').unwrap_or((mantissa, ""));
        if whole.is_empty()
            || !mantissa
                .bytes()
                .all(|sign| sign.is_ascii_digit() || sign == b'.')
        {
            return None;
        }
        let all = format!("{whole}{fraction}");
        let digits = all.trim_start_matches('0');
        if digits.is_empty() {
            return all.starts_with('0').then(Self::default);
        }
        // Places that the exponent moves the point beyond the last digit; behind zero are fractions.
        let zeros = exponent.checked_sub(i64::try_from(fraction.len()).ok()?)?;
        let digits = if zeros >= 0 {
            let zeros = usize::try_from(zeros)
                .ok()
                .filter(|zeros| *zeros <= MAX_DIGITS)?;
            format!("{digits}{}", "0".repeat(zeros))
        } else {
            let cut = usize::try_from(zeros.unsigned_abs()).ok()?;
            let (whole, fraction) = digits.split_at_checked(digits.len().checked_sub(cut)?)?;
            if fraction.bytes().any(|digit| digit != b'0') {
                return None;
            }
            whole.to_owned()
        };
        Self::from_digits(&digits)
    }

    /// The number with these decimal digits, of which the first is not zero.
    fn from_digits(digits: &str) -> Option<Self> {
        if digits.len() > MAX_DIGITS {
            return None;
        }
        Some(digits.parse::<u64>().map_or_else(
            |_| Self {
                short: u64::MAX,
                digits: Some(digits.into()),
            },
            Self::from,
        ))
    }

    /// The number, or the largest of 64 bits if it is larger.
    pub fn short(&self) -> u64 {
        self.short
    }

    /// The digits of a number that is larger than 64 bits hold.
    pub fn long(&self) -> Option<&str> {
        self.digits.as_deref()
    }

    /// Splits the number for messages to hosts of builds that read 64 bits: into the nearest such
    /// number, and the whole one if it is larger.
    pub fn split(&self) -> (u64, Option<Self>) {
        (self.short, self.digits.is_some().then(|| self.clone()))
    }

    /// Joins what [`Self::split`] has split, or a build of 64 bits has sent.
    pub fn join(short: u64, whole: Option<Self>) -> Self {
        whole.unwrap_or(Self::from(short))
    }
}

impl From<u64> for Natural {
    fn from(number: u64) -> Self {
        Self {
            short: number,
            digits: None,
        }
    }
}

impl PartialEq<u64> for Natural {
    fn eq(&self, other: &u64) -> bool {
        self.digits.is_none() && self.short == *other
    }
}

impl Ord for Natural {
    fn cmp(&self, other: &Self) -> Ordering {
        let long = |number: &Self| number.digits.clone().map(|digits| (digits.len(), digits));
        let by_digits = || long(self).cmp(&long(other));
        self.short.cmp(&other.short).then_with(by_digits)
    }
}

impl PartialOrd for Natural {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl fmt::Display for Natural {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.digits {
            Some(digits) => formatter.write_str(digits),
            None => self.short.fmt(formatter),
        }
    }
}

impl Serialize for Natural {
    /// A number of 64 bits where it fits, as other builds expect it, else a text of its digits.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match &self.digits {
            Some(digits) => serializer.serialize_str(digits),
            None => serializer.serialize_u64(self.short),
        }
    }
}

impl<'de> Deserialize<'de> for Natural {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Visitor;

        impl de::Visitor<'_> for Visitor {
            type Value = Natural;

            fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str("a whole number from zero, or its digits")
            }

            fn visit_u64<E: de::Error>(self, number: u64) -> Result<Natural, E> {
                Ok(number.into())
            }

            fn visit_str<E: de::Error>(self, digits: &str) -> Result<Natural, E> {
                let is_decimal = digits.bytes().all(|digit| digit.is_ascii_digit());
                let number = Natural::parse(digits).filter(|_| is_decimal);
                number.ok_or_else(|| E::invalid_value(de::Unexpected::Str(digits), &self))
            }
        }

        deserializer.deserialize_any(Visitor)
    }
}
