//! Columns of text.

/// Rows under a head, in columns as wide as their widest cell.
pub(crate) fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = head.iter().map(|h| h.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = line(&widths, head.iter().copied());
    for row in rows {
        text.push_str(&line(&widths, row.iter().map(String::as_str)));
    }
    text
}

fn line<'a>(widths: &[usize], cells: impl Iterator<Item = &'a str>) -> String {
    let padded: Vec<String> = widths
        .iter()
        .zip(cells)
        .map(|(width, cell)| format!("{cell:width$}"))
        .collect();
    format!("{}\n", padded.join("  ").trim_end())
}
