//! The text form of messages between nodes: a letter for the kind, six hex digits for the executor's mark and two for a
//! count.
use coveroute::types::Told;

const KINDS: [Told; 3] = [Told::Held, Told::Asks, Told::Room];

fn kind_letter(told: Told) -> char {
    match told {
        Told::Held => 'h',
        Told::Asks => 'q',
        Told::Room => 'r',
    }
}

/// Formats a message.
pub fn words(told: Told, mark: u32, count: u8) -> String {
    format!("{}{:06x}{count:02x}", kind_letter(told), mark & 0xff_ffff)
}

/// Parses a message; `None` if the text is not a valid one.
pub fn message(text: &str) -> Option<(Told, u32, u8)> {
    let told = KINDS.into_iter().find(|told| text.starts_with(kind_letter(*told)))?;
    let number = u32::from_str_radix(text.get(1..9).filter(|_| text.len() == 9)?, 16).ok()?;
    Some((told, number >> 8, number as u8))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn messages_are_parsed_back_and_other_texts_rejected() {
        for told in KINDS {
            assert_eq!(message(&words(told, 0xab_cdef, 7)), Some((told, 0xab_cdef, 7)));
        }
        for odd in ["", "h", "x00000000", "h0000000g", "hé000000", "h0000000000"] {
            assert_eq!(message(odd), None, "{odd}");
        }
    }
}
