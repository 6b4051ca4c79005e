//! Prints the JSON schema of the document, as committed in `docs/document.schema.json`.

fn main() {
    println!("{:#}", hickorycross_config::schema());
}
