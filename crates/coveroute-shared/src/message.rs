//! The text form of messages between nodes: a letter for the kind, six hex digits for the executor's mark and two for a
//! count.
use coveroute::types::PeerMessageKind;

const KINDS: [PeerMessageKind; 3] =
    [PeerMessageKind::Held, PeerMessageKind::Query, PeerMessageKind::FreeSlots];

fn kind_letter(kind: PeerMessageKind) -> char {
    match kind {
        PeerMessageKind::Held => 'h',
        PeerMessageKind::Query => 'q',
        PeerMessageKind::FreeSlots => 'r',
    }
}

/// Formats a message.
pub fn format_message(kind: PeerMessageKind, mark: u32, count: u8) -> String {
    format!("{}{:06x}{count:02x}", kind_letter(kind), mark & 0xff_ffff)
}

/// Parses a message; `None` if the text is not a valid one.
pub fn parse_message(text: &str) -> Option<(PeerMessageKind, u32, u8)> {
    let kind = KINDS.into_iter().find(|kind| text.starts_with(kind_letter(*kind)))?;
    let number = u32::from_str_radix(text.get(1..9).filter(|_| text.len() == 9)?, 16).ok()?;
    Some((kind, number >> 8, number as u8))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn messages_are_parsed_back_and_other_texts_rejected() {
        for kind in KINDS {
            assert_eq!(parse_message(&format_message(kind, 0xab_cdef, 7)), Some((kind, 0xab_cdef, 7)));
        }
        for odd in ["", "h", "x00000000", "h0000000g", "hé000000", "h0000000000"] {
            assert_eq!(parse_message(odd), None, "{odd}");
        }
    }
}
