//! Media types of events and their data.

/// Returns a content type without its parameters, in lower case.
pub(super) fn media_type(content_type: &str) -> String {
    content_type
        .split(';')
        .next()
        .unwrap_or_default()
        .trim()
        .to_ascii_lowercase()
}

/// Returns whether data of a content type is JSON.
pub(super) fn is_json(content_type: &str) -> bool {
    let media_type = media_type(content_type);
    media_type.ends_with("/json") || media_type.ends_with("+json")
}

/// Returns whether data of a content type is text in UTF-8.
pub(super) fn is_utf8_text(content_type: &str) -> bool {
    let content_type = content_type.to_ascii_lowercase();
    let has_other_charset = content_type.contains("charset") && !content_type.contains("utf-8");
    content_type.starts_with("text/") && !has_other_charset
}
