//! The program `sorreldeckd`.

fn main() -> eyre::Result<()> {
    sorreldeckd::program::run(sorreldeckd::options::options().run())
}
