//! Tests that the documented table of result codes matches the code.

use endivelanding::ResultCode;

#[test]
fn every_code_stands_in_the_documented_table_and_no_other() {
    let table = include_str!("../docs/errors.md");
    let documented: Vec<(u16, &str, &str)> = table
        .lines()
        .filter_map(|line| {
            let mut cells = line.split('|').map(str::trim).skip(1);
            let number = cells.next()?.parse().ok()?;
            Some((number, cells.next()?, cells.nth(1)?))
        })
        .collect();
    let defined: Vec<(u16, String, &str)> = ResultCode::ALL
        .iter()
        .map(|code| (code.number(), format!("{code:?}"), code.meaning()))
        .collect();
    assert_eq!(documented.len(), defined.len());
    for (row, code) in documented.iter().zip(&defined) {
        assert_eq!((row.0, row.1, row.2), (code.0, code.1.as_str(), code.2));
    }
}
