package link

import (
	"errors"
	"io"
)

// Bounds of what is taken from an endpoint for one request, in bytes on the wire.
const (
	// maxHeads bounds the heads of an answer and of all that comes before it.
	// Parsed header fields take many times their size in memory.
	maxHeads = 32 << 10
	// maxBody bounds the body with its framing: a faulty endpoint may send
	// without end.
	maxBody = 64 << 20
)

// ErrOverlong says that an endpoint sends more than any answer holds.
var ErrOverlong = errors.New("the endpoint sends more bytes than an answer may have; remedy: use another endpoint")

// intake reads from a connection as many bytes as it was allowed. It holds back
// an endpoint that sends bytes without end.
type intake struct {
	source io.Reader
	left   int64
}

// allow sets how many bytes may still be read.
func (i *intake) allow(n int64) { i.left = n }

// Read implements io.Reader. It fails with ErrOverlong when all that is allowed
// was read.
func (i *intake) Read(p []byte) (int, error) {
	if i.left <= 0 {
		return 0, ErrOverlong
	}
	n, err := i.source.Read(p[:min(int64(len(p)), i.left)])
	i.left -= int64(n)
	return n, err
}
