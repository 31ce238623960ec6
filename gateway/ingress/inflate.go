package ingress

import (
	"compress/gzip"
	"errors"
	"io"
	"net/http"
	"sync"
)

// Headers that state how a message is compressed. In the second and third one the parts of a
// body are compressed one by one.
const (
	headerContentEncoding = "Content-Encoding"
	headerConnectEncoding = "Connect-Content-Encoding"
	headerGRPCEncoding    = "Grpc-Encoding"
)

// encodingGzip is the only compression of messages between processes.
const encodingGzip = "gzip"

// InflateBodies returns a handler that decompresses the bodies of requests, so that what they
// grow to can be bounded by the handler that follows.
func InflateBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerConnectEncoding) != "" || r.Header.Get(headerGRPCEncoding) != "" {
			w.WriteHeader(http.StatusUnsupportedMediaType)
			return
		}
		if r.Header.Get(headerContentEncoding) != encodingGzip {
			next.ServeHTTP(w, r)
			return
		}
		body := &inflatedBody{compressed: r.Body}
		defer body.release()
		r.Header.Del(headerContentEncoding)
		r.Header.Del("Content-Length")
		r.ContentLength = -1 // Not known.
		r.Body = body
		next.ServeHTTP(w, r)
	})
}

// inflaters holds *gzip.Reader values that are not in use.
var inflaters sync.Pool

// inflatedBody is a body that is decompressed as it is read.
type inflatedBody struct {
	compressed io.ReadCloser
	inflater   *gzip.Reader // Nil until the first read.
	err        error        // Of the header of the compressed body.
}

// Read reads from the body.
func (b *inflatedBody) Read(p []byte) (int, error) {
	if b.inflater == nil && b.err == nil {
		b.err = b.begin()
	}
	if b.err != nil {
		return 0, b.err
	}
	return b.inflater.Read(p)
}

// begin reads the header of the compressed body.
func (b *inflatedBody) begin() error {
	inflater, ok := inflaters.Get().(*gzip.Reader)
	if !ok {
		inflater = new(gzip.Reader)
	}
	if err := inflater.Reset(b.compressed); err != nil {
		return errors.Join(errors.New("the body is not compressed as its header says; remedy: send what the header states"), err)
	}
	b.inflater = inflater
	return nil
}

// Close closes the body.
func (b *inflatedBody) Close() error { return b.compressed.Close() }

// release lets another body use the inflater. The body is not read any more.
func (b *inflatedBody) release() {
	if b.inflater != nil {
		inflaters.Put(b.inflater)
		b.inflater, b.err = nil, http.ErrBodyReadAfterClose
	}
}
