// Package callercrowd holds tests that start a whole entry process, send it crowds of callers
// that hold its memory and connections, and check that it stays within the memory and the
// descriptors of its VM.
package callercrowd
