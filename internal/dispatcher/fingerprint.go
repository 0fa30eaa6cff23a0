package dispatcher

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
)

// fingerprint is the hash of the contents of a request. Attempts of a job use it concurrently.
type fingerprint struct {
	once sync.Once
	hash uint64
}

// of returns the hash of the method, the host, the URI and the body. The ID of a request and the time it has left are not
// included, because they differ each time that the request comes again.
func (f *fingerprint) of(h *fasthttp.RequestHeader, body []byte) uint64 {
	f.once.Do(func() {
		d := xxhash.New()
		for _, part := range [][]byte{h.Method(), h.Host(), h.RequestURI(), body} {
			// The separator keeps apart requests whose parts have the same concatenation.
			_, _ = d.Write(part)
			_, _ = d.Write([]byte{0})
		}
		f.hash = d.Sum64()
	})
	return f.hash
}
