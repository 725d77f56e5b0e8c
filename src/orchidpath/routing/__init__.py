"""Request decisions: hash ring, pairing, admission, retry budget and the attempt state machine."""
