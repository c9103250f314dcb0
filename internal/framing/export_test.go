package framing

// AtStart reports whether the next byte begins a request.
func (s *Scanner) AtStart() bool { return !s.inBody && s.head == newHead() }
