package framing

// chunkState is what the next byte of a chunked body is.
type chunkState int

const (
	noChunk chunkState = iota
	sizeDigits
	sizeExtension
	sizeLF
	chunkData
	dataCR
	dataLF
)

// maxSizeDigits is the largest number of digits of a chunk's size that does not overflow.
const maxSizeDigits = 15

// chunk reads the line with the size of a chunk, and the line end after the data of the one before it.
type chunk struct {
	state  chunkState
	size   int64
	digits int
}

// next reads a byte and reports whether it was allowed. The state is chunkData after the last one before the data.
func (c *chunk) next(b byte) bool {
	switch c.state {
	case sizeDigits:
		return c.addDigit(b)
	case sizeExtension:
		if b == '\r' {
			c.state = sizeLF
		}
		return b != '\n'
	case sizeLF:
		c.state = chunkData
		return b == '\n'
	case dataCR:
		c.state = dataLF
		return b == '\r'
	case dataLF:
		c.state = sizeDigits
		return b == '\n'
	default:
		return false
	}
}

func (c *chunk) addDigit(b byte) bool {
	var digit byte
	switch {
	case b >= '0' && b <= '9':
		digit = b - '0'
	case b >= 'a' && b <= 'f':
		digit = b - 'a' + 10
	case b >= 'A' && b <= 'F':
		digit = b - 'A' + 10
	case c.digits == 0:
		return false
	case b == '\r':
		c.state = sizeLF
		return true
	default:
		c.state = sizeExtension
		return b == ';' || b == ' ' || b == '\t'
	}
	c.size = c.size<<4 | int64(digit)
	c.digits++
	return c.digits <= maxSizeDigits
}
