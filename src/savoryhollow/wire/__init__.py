"""The inner protocol between daemons: websockets carrying CBOR."""
