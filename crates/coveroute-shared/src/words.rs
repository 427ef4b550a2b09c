//! What nodes tell each other, as text: a letter for its sense, six hex digits of an executor's mark, two of a count.
use coveroute::types::Told;

const SENSES: [Told; 3] = [Told::Held, Told::Asks, Told::Room];

fn sense(told: Told) -> char {
    match told {
        Told::Held => 'h',
        Told::Asks => 'q',
        Told::Room => 'r',
    }
}

pub fn words(told: Told, mark: u32, count: u8) -> String {
    format!("{}{:06x}{count:02x}", sense(told), mark & 0xff_ffff)
}

/// Reads such a text; `None` for anything else.
pub fn message(text: &str) -> Option<(Told, u32, u8)> {
    let told = SENSES.into_iter().find(|told| text.starts_with(sense(*told)))?;
    let number = u32::from_str_radix(text.get(1..9).filter(|_| text.len() == 9)?, 16).ok()?;
    Some((told, number >> 8, number as u8))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_told_is_read_again_and_nothing_else_is() {
        for told in SENSES {
            assert_eq!(message(&words(told, 0xab_cdef, 7)), Some((told, 0xab_cdef, 7)));
        }
        for odd in ["", "h", "x00000000", "h0000000g", "hé000000", "h0000000000"] {
            assert_eq!(message(odd), None, "{odd}");
        }
    }
}
