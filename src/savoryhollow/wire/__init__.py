"""The inner protocol between daemons: CBOR messages over websockets."""
