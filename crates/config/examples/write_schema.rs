//! Prints the JSON schema of the document; its output is committed as `docs/document.schema.json`.

fn main() {
    println!("{:#}", hickorycross_config::schema());
}
