package transport

import (
	"errors"
	"io"
)

// Limits of what is read from an endpoint for one request.
const (
	// maxHeaderBytes bounds the headers of a response and of those before it. Parsed
	// header fields take many times their size in memory.
	maxHeaderBytes = 32 << 10
	// maxBodyBytes bounds the body with its chunk framing, since a faulty endpoint
	// may send without end.
	maxBodyBytes = 64 << 20
)

// ErrResponseTooLarge is returned when a response exceeds a size limit.
var ErrResponseTooLarge = errors.New("the response of the endpoint exceeds the size limit; remedy: use another endpoint")

// limitedReader limits the bytes that are read from a connection. The limit is
// reset for each part of a response.
type limitedReader struct {
	reader    io.Reader
	remaining int64
}

// setLimit sets how many more bytes may be read.
func (l *limitedReader) setLimit(n int64) { l.remaining = n }

// Read implements io.Reader. It returns ErrResponseTooLarge once the limit is
// reached.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, ErrResponseTooLarge
	}
	n, err := l.reader.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	return n, err
}
