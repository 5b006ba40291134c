//! Generates the Rust types of the operators' settings from `proto/operator.proto`.
fn main() {
    protobuf_codegen::Codegen::new()
        .pure()
        .includes(["proto"])
        .input("proto/operator.proto")
        .cargo_out_dir("operator")
        .run_from_script();
}
