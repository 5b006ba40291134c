//! Generates the typed reader of the operators' settings (protobuf text format).
fn main() {
    protobuf_codegen::Codegen::new()
        .pure()
        .includes(["proto"])
        .input("proto/operator.proto")
        .cargo_out_dir("operator")
        .run_from_script();
}
