package callermemory

import (
	"errors"
	"io"
)

// ErrUsedUp is the error of a read for which no memory is left.
var ErrUsedUp = errors.New("the memory held for callers is used up; remedy: send the request again, or raise ram_mb of the VM")

// firstPiece is the size of the first buffer; each one has twice the size of the one before.
const firstPiece = 4 << 10

// Buffer reads a body into memory that grows with what has arrived.
type Buffer struct {
	Account *Account
	Max     int64 // The size of the largest buffer; it may be what the sender states.
	Wait    bool  // Whether it waits for bytes of callers that are dropped.

	data []byte
}

// ReadAll reads until the end of a body, until Max bytes, or until no memory is left, which is
// ErrUsedUp. What was read is in Bytes.
func (b *Buffer) ReadAll(body io.Reader) error {
	for int64(len(b.data)) < b.Max {
		if len(b.data) == cap(b.data) && !b.grow() {
			return ErrUsedUp
		}
		n, err := body.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// grow moves the data to a larger buffer. Both are held meanwhile.
func (b *Buffer) grow() bool {
	size := min(max(firstPiece, 2*int64(cap(b.data))), b.Max)
	if !b.reserve(size) {
		return false
	}
	former := int64(cap(b.data))
	b.data = append(make([]byte, 0, size), b.data...)
	b.Account.Release(former)
	return true
}

func (b *Buffer) reserve(size int64) bool {
	if b.Wait {
		return b.Account.Reserve(size)
	}
	return b.Account.TryReserve(size)
}

// Bytes returns what was read.
func (b *Buffer) Bytes() []byte { return b.data }

// Discard releases what was read.
func (b *Buffer) Discard() {
	b.Account.Release(int64(cap(b.data)))
	b.data = nil
}
